"""A router is turned away by the store while large configurations follow each other; one of them
takes a key away. It comes back to more changes than one answer of the store holds."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from stand_ins_2 import (  # pylint: disable=wrong-import-position
    Deployment, StoreAddress, main, make_config, now, read_message)

REVOKE_S = 5.0  # bounds.revoke_ms
DOWN_S = 9.0
ROUTES = 1400
GAP_S = 0.33
REMOVED = "key-two"
REGION_MBPS = 20  # Of the link between two regions.


def large_config(it, version, keys):
    config = make_config(version, it.SERVICE, it.origin, it.MODEL, it.weights, [it.KEY])
    config["tenants"].append({"name": "t-2", "api_keys": keys, "priority": 1})
    pattern = config["routes"][1]
    config["routes"] += [{**pattern, "name": f"r-{n}", "prefix": f"/more/{n:05d}/"}
                         for n in range(ROUTES)]
    return config


async def run(record, folder, trouble):
    it = Deployment(record, folder, routers=3)
    far = StoreAddress(f"{it.net}.3", 8007, it.store, REGION_MBPS)
    it.fleet.store_ips["edge-1"] = far.ip
    sent = {}  # When each request with the key that is taken away was sent.
    ran = []
    for engine in it.engines:
        engine.on_begin = lambda request_id, *_: ran.append(request_id)

    async def caller(stop_at):
        """Sends requests one after the other on one kept connection, as a connected client."""
        reader, writer = await asyncio.open_connection(it.fleet.ip("edge", 1), 8005)
        while now() < stop_at:
            request_id = os.urandom(8).hex()
            sent[request_id] = now()
            writer.write((f"POST /s/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {request_id}\r\n"
                          f"Model: {it.MODEL}\r\nToken-Usage: 600,70\r\n"
                          f"Prefix-Hash: aa:40,{request_id[:8]}:560\r\nDeadline-Ms: 6000\r\n"
                          f"Authorization: Bearer {REMOVED}\r\nContent-Length: 2\r\n\r\nok"
                          ).encode())
            message = await read_message(reader)
            if message is None:
                break
            record.write("answer", id=request_id, status=message[0].split(" ")[1],
                         sent=f"{sent[request_id] - record.start:.3f}")
            await asyncio.sleep(0.1)
        writer.close()

    try:
        await far.start()
        if not await it.start():
            record.write("not_run", why="the routers did not become ready")
            return 2
        keys = [REMOVED, "key-three"]
        it.store.put("op/config", large_config(it, 10, keys))
        await asyncio.sleep(4)
        began = now()
        callers = [asyncio.create_task(caller(began + DOWN_S + 6)) for _ in range(8)]
        await asyncio.sleep(1)
        far.busy = trouble
        record.write("turned_away", router=1)
        down_from = now()
        for n in range(5):
            it.store.put("op/config", large_config(it, 12 + 2 * n, keys))
            await asyncio.sleep(GAP_S)
        it.store.put("op/config", large_config(it, 24, keys[1:]))
        acknowledged = now()
        record.write("key_taken_away", version=24)
        await asyncio.sleep(down_from + DOWN_S - now())
        far.busy = False
        record.write("served_again", router=1)
        await asyncio.gather(*callers)
        late = [i for i in ran if i in sent and sent[i] > acknowledged + REVOKE_S]
        before = [i for i in ran if i in sent and sent[i] < acknowledged]
        record.write("judged", run_before_the_change=len(before),
                     sent_after_the_bound=sum(at > acknowledged + REVOKE_S
                                              for at in sent.values()),
                     run_after_the_bound=len(late),
                     longest_after_s=f"{max([sent[i] - acknowledged for i in late], default=0):.3f}")
        if not before:
            return 2
        return 1 if late else 0
    finally:
        await far.stop()
        await it.stop()


main(run, "record.txt")
