"""A configuration raises the limit on headers while clients keep their connections."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins as lab  # noqa: E402

HOST = "shop.example"
CLIENTS = 20
OLD_LIMIT, NEW_LIMIT = 4096, 16384
HEADER_BYTES = 6000
CONFIG_APPLY_S = 3.0


def make_config(version, max_header_bytes):
    return {"version": version,
            "routes": [lab.make_route("r-file", HOST, "/stock/", "shop-sync", "unsafe")],
            "services": [{"name": "shop-sync", "health_path": "/healthz", "max_conns": 51,
                          "protocol": "h1", "tls": False}],
            "limits": lab.make_limits(max_header_bytes=max_header_bytes),
            "tenants": [{"name": "bank", "api_keys": ["key"], "priority": 1}]}


async def main(deployment, record):
    store = lab.Store(deployment.ip(1))
    await store.listen()
    servers = [lab.PlainServer(deployment.ip(10 + n), f"shop-sync-{n}", "shop-sync", "hakata-hall",
                               record) for n in range(3)]
    for it in servers:
        await it.listen()
    # Without the trouble the same limit is in force from the start.
    store.write("op/config", make_config(7, OLD_LIMIT if lab.trouble() else NEW_LIMIT))
    beats = lab.Heartbeats(store, servers)
    beats.write_all()
    beats.start()
    front = deployment.ip(2)
    deployment.start("router", "edge-0", front, store)
    if not await deployment.wait_ready(front):
        raise RuntimeError("the router did not become ready")
    clients = [lab.Client(deployment.front(front), record, f"client-{n}") for n in range(CLIENTS)]
    total = 0
    for it in clients:
        _, status, _ = await it.request(HOST, "/stock/before", "POST", "key", body=b"x")
        total += 1
        if status != 200:
            raise RuntimeError("not served before the change")
    store.write("op/config", make_config(8, NEW_LIMIT))
    record.add(f"config  version 8 with max_header_bytes {NEW_LIMIT} acknowledged")
    await asyncio.sleep(CONFIG_APPLY_S + 1)
    denied = 0
    for it in clients:
        request_id, status, _ = await it.request(HOST, "/stock/after", "POST", "key",
                                                 [("Note", "n" * HEADER_BYTES)], b"x")
        total += 1
        if status == 431:
            denied += 1
            record.add(f"denied  {request_id} with {HEADER_BYTES} bytes of headers: 431")
        elif status != 200:
            raise RuntimeError(f"unexpected status {status}")
    allowed = 5 + total / 500
    record.add(f"denied  {denied} of {total} proper requests; allowed are {allowed:.1f}")
    return denied > allowed


if __name__ == "__main__":
    sys.exit(lab.run_case(pathlib.Path(__file__).resolve().parent, main))
