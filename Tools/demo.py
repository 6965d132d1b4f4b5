"""Demo on loopback: rolls out a new version to all replicas under live traffic.

Exits with 0 only if no guarantee to callers was violated and no request was lost.
"""

import argparse
import json
import shutil
import subprocess
import sys
import time

from fleet import ROOT, Fleet, build_folder, has_exited, read_upstreams, wait_for

MIB = 1 << 20
WEIGHTS_BYTES = 16 * MIB
# Bytes per second. The origin can send four copies in eight seconds, in which a host's link carries
# two.
ORIGIN_RATE = 8 * MIB
LIVE_SECONDS = 18
REQUESTS_PER_SECOND = 60

SETTINGS = {
    "tanagumi": {
        "model": "cove-chat", "engines": "cove-llm", "once": "/shop-sync/prices/",
        "plain": "/shop-sync/stock/", "adapters": ["listing", "takings"],
        "weights": ["name=cove-chat-a,bytes=16777216,chunk=65536,seed=11",
                    "name=cove-chat-b,bytes=16777216,chunk=65536,seed=12,base=11,shared=10",
                    "name=listing,bytes=1048576,chunk=65536,seed=13",
                    "name=takings,bytes=1048576,chunk=65536,seed=14"],
        "workspaces": "tenjin-books,yanagibashi-market,canal-storefronts,aso-dairy,chiran-tea"},
    "sabarmati": {
        "model": "lexica-gu", "engines": "lexica-llm", "once": "/casedesk/grievances/",
        "plain": "/casedesk/status/", "adapters": ["circulars"],
        "weights": ["name=lexica-a,bytes=16777216,chunk=65536,seed=21",
                    "name=lexica-b,bytes=16777216,chunk=65536,seed=22,base=21,shared=10",
                    "name=circulars,bytes=1048576,chunk=65536,seed=23"],
        "workspaces": "rajkot-collectorate,surat-municipal,anand-taluka,morbi-taluka"},
}


def start_fleet(fleet, settings, data):
    """Starts fake servers, two routers and an agent for each upstream of the deployment."""
    fleet.start_platform(settings["weights"], ORIGIN_RATE)
    upstreams = read_upstreams(data)
    places = sorted({place for _, _, place in upstreams})
    for place in places[:2]:
        fleet.add_router(place)
    engines, services = [], []
    for name, service, place in upstreams:
        host = fleet.add_agent(name, place)
        (engines if service == settings["engines"] else services).append(host.upstream)
    fleet.start_lab("engines", "engine", "--listen", ",".join(engines), "--record",
                    fleet.work / "engines.jsonl")
    fleet.start_lab("services", "service", "--listen", ",".join(services), "--record",
                    fleet.work / "services.jsonl")
    fleet.start_all()
    return engines


def copy_configuration(data, work):
    folder = work / "config"
    shutil.copytree(data, folder)
    return folder


def select_second_version(folder):
    """Edits the configuration as an operator does, to serve the second version."""
    base = folder / "base.yaml"
    base.write_text(base.read_text().replace("version: 2026-11-a", "version: 2026-11-b", 1))


def start_load(fleet, settings, record):
    return fleet.start_lab("load", "load", "--routers",
                           ",".join(it.address(7000) for it in fleet.routers),
                           "--workspaces", settings["workspaces"], "--record", record,
                           "--rate", REQUESTS_PER_SECOND, "--seconds", LIVE_SECONDS,
                           "--model", settings["model"], "--adapters",
                           ",".join(settings["adapters"]), "--plain-path", settings["plain"],
                           "--once-path", settings["once"])


def check_history(fleet, record):
    command = [fleet.build / "primrosecove-lab", "check-history", "--callers", record,
               "--upstreams", f"{fleet.work}/engines.jsonl,{fleet.work}/services.jsonl"]
    result = subprocess.run(list(map(str, command)), capture_output=True, text=True, check=False)
    sys.stderr.write(result.stderr)
    return result.returncode == 0, json.loads(result.stdout)


def print_table(rows):
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        print(f"  {name:<{width}}  {value}")


def run_demo(deployment):
    settings = SETTINGS[deployment]
    data = ROOT / "Data" / deployment
    with Fleet(deployment, build_folder(), 20) as fleet:
        engines = start_fleet(fleet, settings, data)
        folder = copy_configuration(data, fleet.work)
        fleet.apply(folder)
        wait_for("the first version", lambda: fleet.count_serving(
            "2026-11-a", settings["adapters"]) == len(engines))
        load = start_load(fleet, settings, fleet.work / "callers.jsonl")
        time.sleep(2)  # The log then also shows traffic before the edit, for comparison.
        origin_before = fleet.stats()["origin_bytes"]
        select_second_version(folder)
        started = time.monotonic()
        fleet.apply(folder)
        wait_for("the configuration", lambda: fleet.in_force_everywhere(2))
        in_force = time.monotonic() - started
        wait_for("the second version", lambda: fleet.count_serving(
            "2026-11-b", settings["adapters"]) == len(engines))
        serving = time.monotonic() - started
        copies = (fleet.stats()["origin_bytes"] - origin_before) / WEIGHTS_BYTES
        wait_for("the callers", lambda: has_exited(load))
        guarantees_kept, verdict = check_history(fleet, fleet.work / "callers.jsonl")
        print(f"{deployment}: rollout of a new version of {settings['model']} under live traffic")
        print_table([
            ("seconds until the configuration was in force everywhere", f"{in_force:.2f}"),
            (f"seconds until serving on {len(engines)} replicas", f"{serving:.2f}"),
            ("origin bytes, in copies of the weights", f"{copies:.2f}"),
            ("requests", verdict["requests"]), ("  answered", verdict["answered"]),
            ("  reported as not run", verdict["not_run"]),
            ("  outcome unknown", verdict["unknown"]),
            ("  lost", verdict["lost"]), ("  wrong response", verdict["wrong"]),
            ("  executed twice", verdict["doubled"]),
            ("guarantees", "kept" if guarantees_kept else "VIOLATED")])
        return 0 if guarantees_kept and verdict["lost"] == 0 else 1


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="tanagumi", choices=sorted(SETTINGS))
    sys.exit(run_demo(parser.parse_args().deployment))


if __name__ == "__main__":
    main()
