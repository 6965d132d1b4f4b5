"""After a final fault, another writer registers something of its own on the servers' machines."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from stand_ins_2 import Deployment, main, make_config, now  # pylint: disable=wrong-import-position

RECOVERY_S = 12  # bounds.recovery_s
JUDGED_S = 20
PER_S = 8


async def run(record, folder, trouble):
    it = Deployment(record, folder)
    try:
        if not await it.start():
            record.write("not_run", why="the routers did not become ready")
            return 2
        await it.traffic(8, PER_S)
        before = [status for _, status, _, _ in it.answers]
        # The final fault: all processes are killed right after a change was acknowledged.
        it.store.put("op/config", make_config(9, it.SERVICE, it.origin, it.MODEL, it.weights,
                                              [it.KEY], timeout_ms=5900))
        it.fleet.kill_all()
        await asyncio.sleep(1.5)
        it.start_processes()
        back = now()
        record.write("machines_back")
        traffic = asyncio.create_task(it.traffic(RECOVERY_S + JUDGED_S, PER_S))
        await asyncio.sleep(6)
        if trouble:
            for engine in it.engines:
                it.store.put(f"servers/inventory-{engine.name}", {
                    "service": "inventory", "address": f"{engine.ip}:{engine.port}",
                    "zone": engine.zone, "slots": 1, "state": "ready"})
                record.write("foreign_entry", address=f"{engine.ip}:{engine.port}")
        await traffic
        judged = [status for sent, status, _, _ in it.answers if sent >= back + RECOVERY_S]
        served_before = sum(status == 200 for status in before) / len(before)
        served_after = sum(status == 200 for status in judged) / len(judged)
        record.write("judged", served_before=f"{served_before:.3f}", requests=len(judged),
                     served_after=f"{served_after:.3f}")
        if served_before < 0.25:
            return 2
        return 1 if served_after < 0.25 else 0
    finally:
        await it.stop()


main(run, "record.txt")
