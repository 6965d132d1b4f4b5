"""Starts routers, agents and fake servers on loopback, for the demo, benchmarks and tests.

Each host has its own IP address in 127.NET.0.0/16, so all hosts use the same port numbers.
"""

import json
import os
import pathlib
import re
import signal
import subprocess
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
SHARED_KEY = "demo-shared-key-of-this-run-only"
POLL_SECONDS = 0.05


def send_http(url, body=None, timeout=5):
    """Sends a GET, or a POST if a body is given, and returns the response's body."""
    data = body.encode() if body is not None else None
    with urllib.request.urlopen(urllib.request.Request(url, data=data), timeout=timeout) as reply:
        return reply.read().decode()


def wait_for(description, condition, limit_seconds=60):
    """Polls until `condition` returns a true value, and returns it.

    Raises TimeoutError after the limit, which only ends a failed run.
    """
    deadline = time.monotonic() + limit_seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f"{description}: not within {limit_seconds} s")


class Host:
    """A router or an agent: its addresses, flags and process."""

    def __init__(self, name, place, ip, upstream=None):
        self.name = name
        self.place = place
        self.ip = ip
        self.upstream = upstream
        self.process = None
        self.extra_flags = []

    def address(self, port):
        return f"{self.ip}:{port}"

    @property
    def admin(self):
        return self.address(7002)


class Fleet:
    """A deployment and its fake servers. A context manager that kills its processes on exit."""

    def __init__(self, deployment, build, net, log_level="info"):
        self.deployment = deployment
        self.build = pathlib.Path(build)
        self.net = net
        self.log_level = log_level
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="primrosecove-"))
        self.platform = f"127.{net}.0.1:2379"
        self.processes = []
        self.routers = []
        self.agents = []
        self.origin_rate = 0
        (self.work / "key").write_text(SHARED_KEY + "\n")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    # Processes

    def spawn(self, name, command):
        with open(self.work / f"{name}.log", "ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log, cwd=self.work)
        self.processes.append(process)
        return process

    def start_lab(self, name, *arguments):
        return self.spawn(name, [self.build / "primrosecove-lab", *map(str, arguments)])

    def run_primrosecove(self, *arguments, check=True):
        command = [self.build / "primrosecove", *map(str, arguments)]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        if check and result.returncode != 0:
            raise RuntimeError(f"{arguments}: exit {result.returncode}: {result.stderr}")
        return result

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    # Fake servers

    def start_platform(self, weights, origin_rate, lag_ms=500, seed=1):
        arguments = ["platform", "--listen", self.platform, "--origin-rate", origin_rate,
                     "--host-list-lag-ms", lag_ms, "--seed", seed]
        for spec in weights:
            arguments += ["--weights", spec]
        self.start_lab("platform", *arguments)
        wait_for("platform", lambda: self.try_send_http(f"http://{self.platform}/lab/stats"))

    @staticmethod
    def try_send_http(url, body=None):
        try:
            return send_http(url, body)
        except OSError:
            return None

    def set_faults(self, **values):
        send_http(f"http://{self.platform}/lab/faults", json.dumps(values))

    def stats(self):
        return json.loads(send_http(f"http://{self.platform}/lab/stats"))

    def publish_host_list(self, leaving=()):
        """Sets the platform's host list, which is served after the configured lag."""
        hosts = [{"name": it.name, "peer": it.address(7001),
                  "state": "leaving" if it.name in leaving else "live"}
                 for it in self.routers + self.agents if it.process is not None]
        send_http(f"http://{self.platform}/lab/hosts", json.dumps({"hosts": hosts}))

    # Routers and agents

    def add_router(self, place):
        i = len(self.routers) + 1
        self.routers.append(Host(f"router-{i}", place, f"127.{self.net}.1.{i}"))
        return self.routers[-1]

    def add_agent(self, name, place):
        i = len(self.agents)
        ip = f"127.{self.net}.{2 + i // 200}.{i % 200 + 1}"
        self.agents.append(Host(name, place, ip, f"{ip}:9000"))
        return self.agents[-1]

    def start(self, host):
        """Starts or restarts a router or an agent."""
        command = [self.build / "primrosecove", "agent" if host.upstream else "router",
                   "--deployment", self.deployment, "--name", host.name, "--place", host.place,
                   "--listen", host.address(7000), "--peer-listen", host.address(7001),
                   "--admin-listen", host.admin, "--key-value", self.platform,
                   "--host-list", self.platform, "--key-file", self.work / "key",
                   "--log-level", self.log_level]
        if host.upstream:
            command += ["--upstream", host.upstream, "--origin", self.platform]
        host.process = self.spawn(host.name, list(map(str, command + host.extra_flags)))

    def start_all(self):
        for host in self.routers + self.agents:
            self.start(host)
        self.publish_host_list()

    def running_hosts(self):
        return [it for it in self.routers + self.agents
                if it.process is not None and it.process.poll() is None]

    # Configuration

    def apply(self, folder, author="demo", check=True):
        return self.run_primrosecove(
            "config", "apply", "--folder", folder, "--deployment", self.deployment, "--key-value",
            self.platform, "--author", author, check=check)

    def metrics(self, host):
        """Returns a process's metrics by name with labels, or None if it does not respond."""
        text = self.try_send_http(f"http://{host.admin}/metrics")
        if text is None:
            return None
        rows = (line.rsplit(" ", 1) for line in text.splitlines() if line and line[0] != "#")
        return {name: float(value) for name, value in rows}

    def status(self, host):
        request = {"jsonrpc": "2.0", "id": 1, "method": "status", "params": {}}
        text = self.try_send_http(f"http://{host.admin}/rpc", json.dumps(request))
        return json.loads(text)["result"] if text else None

    def in_force_everywhere(self, revision):
        for host in self.running_hosts():
            values = self.metrics(host)
            if not values or values["primrosecove_config_revision"] < revision:
                return False
        return True

    def count_serving(self, version, adapters=()):
        """Counts the agents that report themselves as serving the version and the adapters."""
        n = 0
        for host in self.agents:
            status = self.status(host)
            if not status:
                continue
            own_record = next(it for it in status["hosts"] if it["name"] == host.name)
            n += (own_record["version"] == version and
                  set(adapters) <= set(own_record["adapters"]))
        return n

    def sum_metric(self, hosts, name):
        return sum((self.metrics(it) or {}).get(name, 0) for it in hosts)


def read_upstreams(folder):
    """Returns (name, service, place) of each upstream of base.yaml, which has one per line."""
    text = (pathlib.Path(folder) / "base.yaml").read_text()
    pattern = r"- \{name: (\S+), service: (\S+), place: (\S+)\}"
    return re.findall(pattern, text)


def has_exited(process):
    return process.poll() is not None


def build_folder():
    """Returns the build folder: PRIMROSECOVE_BUILD, by default build/."""
    return pathlib.Path(os.environ.get("PRIMROSECOVE_BUILD", ROOT / "build")).resolve()
