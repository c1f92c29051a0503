"""The store is silent for a second; later, while all is well, a replica drains."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import fleet as f  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SILENT_S = float(os.environ.get("SILENT_S", "1.0"))
SETTLE_S = f.BOUNDS["settle_window_ms"] / 1000
DRAIN_S = f.BOUNDS["drain_ms"] / 1000
LINGER_S = 7.0  # from draining to the exit
PATH = "/puxa403/2f"


async def case(record, store, fleet):
    store.put("config", "main", f.make_config(7, [("/puxa403/", "clerk-desk", "unsafe", {})]))
    replicas = [f.Replica(store, record, "clerk-desk", *fleet.replica_address(number)) for number in range(3)]
    for replica in replicas:
        await replica.start()
    for index in range(fleet.count):
        fleet.start(index)
    if not await fleet.wait_ready(range(fleet.count)):
        raise f.CannotRun("the gateways don't get ready")
    answers = []
    load = asyncio.create_task(fleet.load(range(fleet.count), PATH, 30, record.now() + 20, answers))
    await asyncio.sleep(4)  # longer than settle_window_ms
    if TROUBLE:
        record.line("the store falls silent")
        for index in range(fleet.count):
            store.faults[index] = lambda method, target: "silent"
    await asyncio.sleep(SILENT_S)
    if TROUBLE:
        store.faults.clear()
        record.line("the store answers again: calls made from now on, also on new channels")
    await asyncio.sleep(SETTLE_S + 0.3)
    leaving = replicas[0]
    acknowledged = leaving.drain()
    await asyncio.sleep(LINGER_S)
    leaving.stop()
    await load
    sent = {answer.request: answer.sent for answer in answers}
    late = [(at, request) for at, request in leaving.arrivals
            if at > acknowledged + DRAIN_S and sent[request] > acknowledged + DRAIN_S]
    failed = [answer for answer in answers if answer.sent > acknowledged and answer.status != 200]
    record.line(f"{len(answers)} requests; not served of those sent after the acknowledgement:"
                f" {sorted((answer.status, answer.request) for answer in failed)}")
    ended = fleet.check_running()
    if ended:
        raise f.CannotRun("gateways have ended: " + ", ".join(ended))
    if not late:
        return []
    return [f"DRAIN: {len(late)} requests reached {leaving.id} later than {DRAIN_S:.0f} s after the store had"
            f" acknowledged that it is draining, the last one {late[-1][0] - acknowledged:.1f} s after it"]


if __name__ == "__main__":
    sys.exit(f.main(case, FOLDER, 3))
