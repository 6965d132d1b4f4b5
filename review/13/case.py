"""A machine with a model server freezes while new weights are rolled out under load."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins_3_rollout import Deployment, main, now  # pylint: disable=wrong-import-position

VERSION_S = 8.0  # bounds.version_ms
FREEZE_S = 4.0
FREEZE_AT_S = 4.6  # After the version was named.
PER_S = 22
IDS = {"side-0": "i-a1", "side-1": "i-b2", "side-2": "i-c3"}
FROZEN = 1


async def run(record, folder, trouble):
    it = Deployment(record, folder, ids=IDS, events=14, event_s=0.15)
    late = []
    named = None

    def on_begin(request_id, version, _):
        if named is not None and version == 1 and now() - named > VERSION_S:
            late.append(request_id)
            record.write("began_on_old_version", id=request_id,
                         after_the_name=f"{now() - named:.3f}")

    for engine in it.engines:
        engine.on_begin = on_begin
    try:
        if not await it.start():
            record.write("not_run", why="the routers did not become ready")
            return 2
        traffic = asyncio.create_task(it.traffic(30, PER_S))
        await asyncio.sleep(12)
        it.store.put(f"op/version/{it.MODEL}", {"model": it.MODEL, "version": 2})
        named = now()
        record.write("version_named", version=2)
        if trouble:
            await asyncio.sleep(FREEZE_AT_S)
            engine = it.engines[FROZEN]
            it.fleet.signal(engine.name, signal.SIGSTOP)
            await engine.stand_still(FREEZE_S)
            it.fleet.signal(engine.name, signal.SIGCONT)
        await traffic
        served = sum(status == 200 for _, status, _, _ in it.answers)
        record.write("judged", requests=len(it.answers), served=served, began_late=len(late),
                     loads=[engine.version for engine in it.engines])
        return 1 if late else 0
    finally:
        await it.stop()


main(run, FOLDER / "record.txt")
