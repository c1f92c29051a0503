"""One client attempt runs on more replicas than its route's max_attempts: a host that reaches no replica sends its requests
through another one, which is killed. See claim.txt."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
from fleet import Gateways, Path, Record, Replica, Store, TROUBLE, head, run_case, send  # noqa: E402

MAX_ATTEMPTS, ALLOWED, REQUESTS = 3, 3, 240
SIZES = ["small", "medium", "large"]
KEY = "key-of-desk"
CONFIG = {
    "version": 3,
    "routes": [{"name": "draft", "hostname": "desk.example", "path_prefix": "/draft/", "route_type": "stream",
                "timeout_ms": 25000, "target_latency_ms": 2000, "priority": 1, "sizes": SIZES, "service": "models",
                "max_attempts": MAX_ATTEMPTS, "public": False, "session_affinity": True, "resumable": True,
                "gap_aim_ms": 800}],
    "services": [{"name": "models", "health_path": "/healthz", "max_connections": 610,
                  "engine": {"batch_slots": 128, "kv_capacity": 1250811, "stride": 5,
                             "models": [{"name": name, "cost": cost} for name, cost in zip(SIZES, (0.014, 0.1, 0.21))]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "desk", "api_keys": [KEY]}]}


async def generate(replica, request, writer):
    """A small model has its first event after 60 ms, a large one after 1.5 s; the small one is unsure of hard requests."""
    replica.note_run(request)
    model = request.get("Foxtaildyke-Model")
    is_unsure = model == "small" and request.line.split(" ")[1].endswith("/hard")
    await asyncio.sleep(1.5 if model == "large" else 0.06)
    writer.write(head(200, replica.headers(request) + [("Content-Type", "text/event-stream"),
                                                       ("Foxtaildyke-Confidence", "20" if is_unsure else "90"),
                                                       ("Transfer-Encoding", "chunked")]))
    first = int(request.get("Last-Event-Id") or 0) + 1
    for number in range(first, 13):
        event = f"id: {number}\ndata: part {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.06)
    writer.write(b"0\r\n\r\n")


def headers(number):
    return [("Foxtaildyke-Request-Id", number), ("Foxtaildyke-Model", "*"), ("Foxtaildyke-Token-Count", "300,60"),
            ("Foxtaildyke-Prompt-Prefix", f"{number}:300"), ("Foxtaildyke-Deadline-Ms", "25000"),
            ("Authorization", "Bearer " + KEY)]


async def play(record):
    store = Store(record)
    replicas = [await Replica(record, store, f"r-{index}", "models", generate, slots=128).start() for index in range(30)]
    paths = {f"127.0.0.1:{replica.listener.port}": await Path(replica).open() for replica in replicas}
    gateways = Gateways(record)

    def over_own_paths(kind, spec):
        if kind != "servers":
            return spec
        return dict(spec, address=f"127.0.0.1:{paths[spec['address']].listener.port}")
    plain, own = await store.listen(), await store.listen(over_own_paths)
    await store.put("config", "main", CONFIG)
    names = ["edge-1", "edge-2", "edge-3"]
    gateways.add("edge-1", own)
    gateways.add("edge-2", plain)
    gateways.add("edge-3", plain)
    try:
        for name in names:
            await gateways.start(name)
        if not all([await gateways.wait_ready(name) for name in names]):
            return None
        answers = {}

        async def ask(name, number, kind):
            record.add(f"client sends {number} to {name}")
            answers[number] = await send(gateways.frontend(name), "POST", f"/draft/{kind}", headers(number), b"{}")
            record.add(f"client has {answers[number].status} for {number}, "
                       f"{'complete' if answers[number].is_complete else 'broken off'}")

        async def usual_traffic():
            for index in range(400):
                for name in names:
                    asyncio.create_task(ask(name, f"e{names.index(name)}{index:04x}", "easy"))
                await asyncio.sleep(0.05)
        traffic = asyncio.create_task(usual_traffic())
        await asyncio.sleep(3)
        record.add("edge-1 is cut off from all replicas")
        for path in paths.values():
            path.cut()
        await asyncio.sleep(4)
        hard = []
        kills = {60: "edge-2", 120: "edge-3", 180: "edge-2"} if TROUBLE else {}
        for index in range(REQUESTS):
            hard.append(asyncio.create_task(ask("edge-1", f"d{index:04x}", "hard")))
            await asyncio.sleep(0.05)
            if index in kills:
                gateways.signal(kills[index], signal.SIGKILL)
                await gateways.hosts[kills[index]]["process"].wait()
                await gateways.start(kills[index])
        await asyncio.gather(*hard)
        traffic.cancel()
        await asyncio.sleep(2.5)
        replicas_of = {f"d{index:04x}": {replica.name for replica in replicas for _, number in replica.runs
                                         if number == f"d{index:04x}"} for index in range(REQUESTS)}
        over = {number: sorted(names) for number, names in replicas_of.items() if len(names) > MAX_ATTEMPTS}
        for number, ran_on in over.items():
            record.add(f"{number} ran on {len(ran_on)} replicas of {MAX_ATTEMPTS}: {', '.join(ran_on)}")
        record.add(f"{len(over)} requests ran on more replicas than max_attempts; {ALLOWED} are allowed")
        record.add(f"{sum(answer.status == 200 for answer in answers.values())} of {len(answers)} answers are 200")
        return len(over) > ALLOWED
    finally:
        await gateways.stop()
        for replica in replicas:
            replica.close()


if __name__ == "__main__":
    sys.exit(run_case(play, os.path.join(HERE, "record.txt")))
