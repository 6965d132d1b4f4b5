"""Benchmarks with real processes. Link rates are limited so that the links are the bottleneck.

Writes build/bench/results.json (a flat object) and an SVG chart, and prints a table. A ratio
compares variants measured one after another in the same run, or a time with the fluid limit of the
link rates.
"""

import argparse
import json
import math
import os
import pathlib
import signal
import statistics
import subprocess
import threading
import time

from fleet import ROOT, Fleet, build_folder, wait_for

KIB = 1 << 10
CHUNK = 64 * KIB
COPY_CHUNKS = 128
COPY_BYTES = COPY_CHUNKS * CHUNK
WINDOW_SECONDS = 16.0  # A host's link carries two copies in this time, the origin's four.
HOST_RATE = int(2 * COPY_BYTES / WINDOW_SECONDS)
ORIGIN_RATE = int(4 * COPY_BYTES / WINDOW_SECONDS)
SIZES = (8, 32, 128)
SPECS = {"a": f"name=a,bytes={COPY_BYTES},chunk={CHUNK},seed=1",
         "b": f"name=b,bytes={COPY_BYTES},chunk={CHUNK},seed=2",
         "c": f"name=c,bytes={COPY_BYTES},chunk={CHUNK},seed=3,base=2,shared=90"}


def fluid_limit_seconds(n, copies=1.0):
    """Returns the fluid limit (Kumar and Ross, 2006) of the time to deliver to n hosts."""
    size = copies * COPY_BYTES
    total = ORIGIN_RATE + n * HOST_RATE
    return max(size / ORIGIN_RATE, size / HOST_RATE, n * size / total)


class BenchFleet(Fleet):
    """A fleet with one engine service of n upstreams with agents, and no callers."""

    def __init__(self, n, net, places=(("p1", "r1"),), transfer="swarm"):
        super().__init__("bench", build_folder(), net, log_level="warn")
        self.n = n
        self.places = places
        self.transfer = transfer
        self.folder = self.work / "config"
        self.folder.mkdir()
        self.digests = {}

    def set_up(self):
        for name, spec in SPECS.items():
            out = self.run_lab("weights", spec)
            self.digests[name] = out.split()[1]
        self.start_platform(SPECS.values(), ORIGIN_RATE, lag_ms=200)
        self.add_router(self.places[0][0])
        for i in range(self.n):
            host = self.add_agent(f"llm-{i}", self.places[i % len(self.places)][0])
            host.extra_flags = ["--transfer", self.transfer]
        upstreams = [it.upstream for it in self.agents]
        self.start_lab("engines", "engine", "--listen", ",".join(upstreams), "--load-ms", 10)
        # Applies a revision without models first, so that membership is complete before the
        # measurement.
        self.write_configuration(None)
        self.apply(self.folder)
        self.start_all()
        wait_for("membership", lambda: self.membership_complete(), 120)

    def run_lab(self, *arguments):
        command = [str(self.build / "primrosecove-lab"), *map(str, arguments)]
        return subprocess.run(command, capture_output=True, text=True, check=True).stdout

    def membership_complete(self):
        for host in (self.agents[0], self.agents[-1]):
            status = self.status(host)
            if not status or sum(it["state"] == "alive" for it in status["hosts"]) < self.n + 1:
                return False
        return self.in_force_everywhere(1)

    def write_configuration(self, version):
        lines = ["deployment: bench", "links:", f"  host_bytes_per_second: {HOST_RATE}",
                 f"  origin_bytes_per_second: {ORIGIN_RATE}", "places:"]
        lines += [f"  - {{name: {p}, region: {r}}}" for p, r in self.places]
        lines += ["services:", "  - {name: llm, kind: engine}", "upstreams:"]
        lines += [f"  - {{name: {it.name}, service: llm, place: {it.place}}}" for it in self.agents]
        if version:
            lines += ["models:", "  - name: chat", "    service: llm", f"    version: {version}",
                      f"    replicas: {self.n}", f"    max_out: {self.n}", "    versions:"]
            lines += [f"      - {{name: {k}, manifest: {v}}}" for k, v in self.digests.items()]
        (self.folder / "base.yaml").write_text("\n".join(lines) + "\n")

    def origin_bytes(self):
        return self.stats()["origin_bytes"]

    def chunk_bytes(self, host):
        values = self.metrics(host) or {}
        name = "primrosecove_chunk_bytes_received_total"
        return sum(values.get(f'{name}{{from="{source}"}}', 0) for source in ("peers", "origin"))

    def roll_out(self, version, limit_seconds=180, during=None):
        """Applies a version; returns (seconds until all serve it, copies sent by the origin)."""
        before = self.origin_bytes()
        self.write_configuration(version)
        started = time.monotonic()
        self.apply(self.folder)
        worker = None
        if during:
            worker = threading.Thread(target=during, args=(self, started))
            worker.start()
        wait_for(f"version {version} on {self.n}", lambda: self.all_serve_version(version),
                 limit_seconds)
        seconds = time.monotonic() - started
        if worker:
            worker.join()
        return seconds, (self.origin_bytes() - before) / COPY_BYTES

    def all_serve_version(self, version):
        """Whether all agents serve the version by the view of the router, which routes by it."""
        status = self.status(self.routers[0])
        if not status:
            return False
        return sum(it["version"] == version and it["state"] == "alive"
                   for it in status["hosts"]) >= self.n

    def received_over_sent_ratio(self):
        """Returns bytes received over bytes sent by peers and origin; 1 if nothing was lost."""
        received = sum(self.chunk_bytes(it) for it in self.agents)
        sent = self.sum_metric(self.agents, "primrosecove_chunk_bytes_sent_total")
        return received / (sent + self.origin_bytes())


def measure_sizes(results, sizes):
    for net, n in enumerate(sizes, 60):
        with BenchFleet(n, net) as it:
            it.set_up()
            cpu_before = it.sum_metric(it.agents, "primrosecove_processor_seconds_total")
            seconds, copies = it.roll_out("a")
            cpu = it.sum_metric(it.agents, "primrosecove_processor_seconds_total") - cpu_before
            record_rollout(results, f"burst.n{n}", seconds, copies, n)
            results[f"burst.n{n}.cores_used"] = round(cpu / seconds, 2)
            results[f"burst.n{n}.received_over_sent"] = round(it.received_over_sent_ratio(), 4)
            if n == 32:
                before = sum(it.chunk_bytes(host) for host in it.agents)
                it.roll_out("b")
                full = sum(it.chunk_bytes(host) for host in it.agents) - before
                it.roll_out("c")
                delta = sum(it.chunk_bytes(host) for host in it.agents) - before - full
                results["burst.delta.n32.bytes_ratio"] = round(delta / full, 3)


def measure_baselines(results):
    for net, transfer in enumerate(("origin-only", "tree"), 70):
        with BenchFleet(32, net, transfer=transfer) as it:
            it.set_up()
            seconds, copies = it.roll_out("a", limit_seconds=400)
            name = transfer.replace("-", "_")
            record_rollout(results, f"burst.{name}.n32", seconds, copies, 32)


def measure_places(results):
    """Measures four places in two regions, without added latency."""
    places = (("p1", "r1"), ("p2", "r1"), ("p3", "r2"), ("p4", "r2"))
    with BenchFleet(32, 73, places=places) as it:
        it.set_up()
        seconds, copies = it.roll_out("a")
        record_rollout(results, "burst.places4.n32", seconds, copies, 32)


def inject_faults(it, started):
    """Halfway, kills and replaces a tenth of the hosts and pauses another tenth.

    The store is down throughout.
    """
    it.set_faults(kv_down=True, origin_corrupt_percent=2)
    time.sleep(max(0.0, started + fluid_limit_seconds(it.n) / 2 - time.monotonic()))
    paused = it.agents[:it.n // 10]
    killed = it.agents[-(it.n // 10):]
    for host in paused:
        host.process.send_signal(signal.SIGSTOP)
    for host in killed:
        host.process.kill()
    for host in killed:
        host.process.wait()
        it.start(host)
    time.sleep(2)
    for host in paused:
        host.process.send_signal(signal.SIGCONT)


def measure_faults(results):
    with BenchFleet(32, 74) as it:
        it.set_up()
        seconds, copies = it.roll_out("a", during=inject_faults)
        record_rollout(results, "burst.faults.n32", seconds, copies, 32)


def record_rollout(results, name, seconds, copies, n):
    results[f"{name}.seconds"] = round(seconds, 2)
    results[f"{name}.bound_seconds"] = round(fluid_limit_seconds(n), 2)
    results[f"{name}.ratio"] = round(seconds / fluid_limit_seconds(n), 3)
    results[f"{name}.origin_copies"] = round(copies, 3)
    print(f"{name}: {seconds:.2f} s, ratio {results[f'{name}.ratio']}, {copies:.2f} copies",
          flush=True)


def measure_control(results, sizes):
    """Measures CPU, memory and control traffic of idle agents, as median and p99 over the fleet."""
    seconds = 15
    for net, n in enumerate(sizes, 80):
        with BenchFleet(n, net) as it:
            it.set_up()
            time.sleep(3)
            before = [it.metrics(host) for host in it.agents]
            calls = it.stats()["kv_calls"]
            time.sleep(seconds)
            after = [it.metrics(host) for host in it.agents]
            calls = it.stats()["kv_calls"] - calls
            pairs = [(a, b) for a, b in zip(before, after) if a and b]
            rate = lambda name: [(b[name] - a[name]) / seconds for a, b in pairs]
            cpu = [100 * v for v in rate("primrosecove_processor_seconds_total")]
            sent = rate("primrosecove_gossip_sent_bytes_total")
            received = rate("primrosecove_gossip_received_bytes_total")
            total = [s + r for s, r in zip(sent, received)]
            memory = [b["primrosecove_resident_bytes"] / (1 << 20) for _, b in pairs]
            for name, values in (("cpu_percent", cpu), ("rss_mib", memory),
                                 ("bytes_per_second", total)):
                results[f"control.{name}.n{n}"] = round(statistics.median(values), 3)
                results[f"control.{name}.n{n}.p99"] = round(percentile(values, 99), 3)
            results[f"config.kv_calls_per_second.n{n}"] = round(calls / seconds, 2)
            print(f"control n{n}: cpu {statistics.median(cpu):.2f} %, "
                  f"{statistics.median(memory):.1f} MiB, {statistics.median(total):.0f} B/s, "
                  f"service {calls / seconds:.2f} calls/s", flush=True)


def percentile(values, percent):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(len(ordered) * percent / 100) - 1)]


def write_chart(results, path):
    """Writes a bar chart of the rollouts' ratios to the fluid limit."""
    rows = [(k[:-len(".ratio")], v) for k, v in results.items()
            if k.startswith("burst.") and k.endswith(".ratio")]
    height = 24 * len(rows) + 40
    scale = 420 / max(v for _, v in rows)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="760" height="{height}" '
             'font-family="sans-serif" font-size="12">',
             '<text x="8" y="18">Time until serving everywhere, over the links\' limit</text>']
    for i, (name, value) in enumerate(rows):
        y = 30 + 24 * i
        parts.append(f'<text x="8" y="{y + 14}">{name}</text>')
        parts.append(f'<rect x="190" y="{y}" width="{value * scale:.0f}" height="18" '
                     'fill="#4a7ebb"/>')
        parts.append(f'<text x="{196 + value * scale:.0f}" y="{y + 14}">{value:.2f}</text>')
    parts.append(f'<line x1="{190 + scale:.0f}" y1="26" x2="{190 + scale:.0f}" y2="{height - 8}" '
                 'stroke="#c00"/></svg>')
    path.write_text("\n".join(parts) + "\n")


BENCHMARKS = {"sizes": lambda r: measure_sizes(r, SIZES), "baselines": measure_baselines,
              "places": measure_places, "faults": measure_faults,
              "control": lambda r: measure_control(r, SIZES)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", default=list(BENCHMARKS), help=", ".join(BENCHMARKS))
    output_folder = ROOT / "build" / "bench"
    output_folder.mkdir(parents=True, exist_ok=True)
    results = {"machine.cores": os.cpu_count()}
    for part in parser.parse_args().parts:
        BENCHMARKS[part](results)
    pathlib.Path(output_folder / "results.json").write_text(json.dumps(results, indent=1) + "\n")
    if any(k.endswith(".ratio") for k in results):
        write_chart(results, output_folder / "burst.svg")
    width = max(map(len, results))
    for name, value in results.items():
        print(f"{name:<{width}}  {value}")


if __name__ == "__main__":
    main()
