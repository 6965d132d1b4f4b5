"""A key is taken away just after the store has come back from an older copy."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins as lab  # noqa: E402

HOST = "shop.example"
COPY_AGE_S = 2.0
AWAY_S = 0.5
REVOKE_S = 5.0


def make_config(version, keys):
    return {"version": version,
            "routes": [lab.make_route("r-status", HOST, "/price/", "shop-sync")],
            "services": [{"name": "shop-sync", "health_path": "/healthz", "max_conns": 51,
                          "protocol": "h1", "tls": False}],
            "limits": lab.make_limits(),
            "tenants": [{"name": "bank", "api_keys": keys, "priority": 1},
                        {"name": "district", "api_keys": ["kept-key"], "priority": 1}]}


async def main(deployment, record):
    store = lab.Store(deployment.ip(1))
    await store.listen()
    servers = [lab.PlainServer(deployment.ip(10 + n), f"shop-sync-{n}", "shop-sync",
                               "hakata-hall", record) for n in range(14)]
    for it in servers:
        await it.listen()
    store.write("op/config", make_config(7, ["revoked-key"]))
    beats = lab.Heartbeats(store, servers)
    beats.write_all()
    beats.start()

    fronts = [deployment.ip(2), deployment.ip(3)]
    for n, ip in enumerate(fronts):
        deployment.start("router", f"edge-{n}", ip, store)
    for ip in fronts:
        if not await deployment.wait_ready(ip):
            raise RuntimeError("a router did not become ready")
    clients = [lab.Client(deployment.front(ip), record, f"client-{n}")
               for n, ip in enumerate(fronts)]
    for it in clients:
        _, status, _ = await it.request(HOST, "/price/before", key="revoked-key")
        if status != 200:
            raise RuntimeError("the key is not accepted before it is taken away")

    await asyncio.sleep(2.0)
    copy = store.take_copy()
    await asyncio.sleep(COPY_AGE_S)
    if lab.trouble():
        record.add(f"store   away, at revision {store.revision}")
        store.silent = True
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        store.silent = False
        record.add(f"store   back from a copy at revision {store.revision}, era {store.era}")
        # What the operator and the servers wrote is written again.
        if "op/config" not in store.items:
            store.write("op/config", make_config(7, ["revoked-key"]))
        beats.write_all()
    revision = store.write("op/config", make_config(8, []))
    acknowledged = lab.now()
    record.add(f"config  version 8 without revoked-key, acknowledged at revision {revision}")

    broken = False
    for wait_s in (REVOKE_S + 1, REVOKE_S + 5, REVOKE_S + 15):
        await asyncio.sleep(acknowledged + wait_s - lab.now())
        for it in clients:
            request_id, status, _ = await it.request(HOST, "/price/after", key="revoked-key")
            ran = any(request_id == run_id for server in servers for _, run_id in server.runs)
            if ran:
                broken = True
                record.add(f"broken  {request_id} ran {wait_s:.0f} s after the acknowledgement, "
                           f"status {status}")
            _, status, _ = await it.request(HOST, "/price/kept", key="kept-key")
            if status != 200:
                raise RuntimeError("the other key is not served")
    record.add(f"store   revision {store.revision}")
    for n in range(len(fronts)):
        for line in deployment.log_of(f"edge-{n}").splitlines():
            if "config_in_force" in line or "store_" in line or "history_gone" in line:
                record.add(f"log     edge-{n}: {line}")
    return broken


if __name__ == "__main__":
    sys.exit(lab.run_case(pathlib.Path(__file__).resolve().parent, main))
