"""Randomized soak of gateways as processes, as deploy/system.toml runs them, between the stand-ins of review/standins.

Series of troubles overlap, drawn from a seed: restarts, kills, freezes, signals, outages of the store, replicas that drain,
configurations that move and add routes. Promises are counted from what callers and replicas have recorded; bounds are those
of the deployment. A gateway, or the store, counts as undisturbed once settle_window_ms has passed since its last trouble.
"""

import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
REPOSITORY = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(REPOSITORY, "review", "standins"))
import connections  # noqa: E402
import fleet as standins  # noqa: E402

SETTLE_S = standins.BOUNDS["settle_window_ms"] / 1000
DRAIN_S = standins.BOUNDS["drain_ms"] / 1000
CONFIG_S = standins.BOUNDS["config_apply_ms"] / 1000
GRACE_S = standins.BOUNDS["grace_s"]
START_LIMIT_S = 20.0
PROMISES = (408, 421, 429, 503)  # statuses that say that a request hasn't run
OLD, NEW = "clerk-desk", "clerk-annex"


class Disturbances:
    """Spans of trouble of one gateway, or of the store."""

    def __init__(self, record):
        self.record, self.spans = record, []

    def begin(self):
        self.spans.append([self.record.now(), float("inf")])
        return self.spans[-1]

    def end(self, span):
        span[1] = self.record.now()

    def is_calm(self, begin, end):
        """Returns whether there was no trouble from SETTLE_S before the span until its end."""
        return all(last < begin - SETTLE_S or first > end for first, last in self.spans)


class PagedStore(standins.Store):
    """Lists in pages of PAGE_ITEMS objects."""

    def list(self, kind, query):
        names = sorted(name for of, name in self.objects if of == kind and name > query.get("after", ""))
        items = b",".join(self.encode_object(kind, name, self.objects[kind, name]) for name in names[:self.PAGE_ITEMS])
        truncated = b"true" if len(names) > self.PAGE_ITEMS else b"false"
        return 200, b'{"items":[' + items + b'],"truncated":' + truncated + b',"at":%d}' % self.revision


class Soak:
    STORE = standins.Store

    def __init__(self, record, store, fleet, options):
        self.record, self.store, self.fleet, self.options = record, store, fleet, options
        self.random = random.Random(options.seed)
        self.trouble = [Disturbances(record) for _ in range(fleet.count)]
        self.losses = [Disturbances(record) for _ in range(fleet.count)]  # kills and freezes only
        self.store_trouble = Disturbances(record)
        self.replicas, self.drained = [], []  # drained: (replica, acknowledged at)
        self.answers = []  # (gateway, path, kept, answer)
        self.moves = []  # (acknowledged at, path prefix, service from then on)
        self.added = []  # (acknowledged at, path prefix)
        self.version = 7
        self.routes = [("/once/", OLD, "unsafe", {}), ("/safe/", OLD, "safe", {})]
        self.busy = set()  # gateways that are being restarted
        self.broken = []
        self.next_port = 0

    def report(self, text):
        self.broken.append(text)
        self.record.line("BROKEN:", text)

    def replica_kind(self):
        return connections.Replica if self.options.connections else standins.Replica

    async def add_replica(self, service):
        replica = self.replica_kind()(self.store, self.record, service, *self.fleet.replica_address(self.next_port))
        self.next_port += 1
        await replica.start()
        self.replicas.append(replica)

    def publish(self):
        self.version += self.random.randint(1, 5)
        return self.put_config()

    def put_config(self):
        config = standins.make_config(self.version, self.routes)
        if self.options.connections:
            config["limits"]["idle_timeout_ms"] = int(connections.IDLE_S * 1000)
        self.store.put("config", "main", config)
        return self.record.now()

    # Troubles. Each returns once it is over.

    def pick_gateway(self):
        idle = [index for index in range(self.fleet.count) if index not in self.busy]
        return self.random.choice(idle) if idle else None

    async def restart(self, index, number):
        """Ends a gateway by a signal, waits for its end, and starts it again."""
        self.busy.add(index)
        span = self.trouble[index].begin()
        loss = self.losses[index].begin() if number == signal.SIGKILL else None
        process = self.fleet.processes[index]
        self.fleet.signal(index, number)
        if number == signal.SIGTERM and self.random.random() < 0.5:
            await asyncio.sleep(self.random.uniform(0, 1))
            if process.poll() is None:
                self.fleet.signal(index, signal.SIGHUP)
        end = self.record.now() + GRACE_S
        while process.poll() is None and self.record.now() < end:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            self.report(f"FAULT: edge-{index + 1} doesn't stop within grace_s")
            process.kill()
        if process.wait() not in (0, -number):
            self.report(f"FAULT: edge-{index + 1} ended with {process.returncode} after signal {number}")
        await asyncio.sleep(self.random.choice((0, 0.3, 1)))
        await self.start(index)
        self.trouble[index].end(span)
        if loss:
            self.losses[index].end(loss)
        self.busy.discard(index)

    async def start(self, index):
        self.fleet.start(index)
        end = self.record.now() + START_LIMIT_S
        while not await self.fleet.is_ready(index):
            if self.record.now() > end and self.store_trouble.is_calm(end - START_LIMIT_S + SETTLE_S, end):
                return self.report(f"FAULT: edge-{index + 1} isn't ready {START_LIMIT_S:.0f} s after its start")
            if self.fleet.processes[index].poll() is not None:
                return self.report(f"FAULT: edge-{index + 1} ended with {self.fleet.processes[index].returncode}"
                                   " while it started")
            await asyncio.sleep(0.1)

    async def stop_one(self):
        index = self.pick_gateway()
        if index is not None:
            await self.restart(index, signal.SIGTERM)

    async def kill_some(self):
        count = self.random.choice((1, 1, 2, max(1, self.fleet.count // 3)))
        indexes = {self.pick_gateway() for _ in range(count)} - {None}
        await asyncio.gather(*(self.restart(index, signal.SIGKILL) for index in indexes))

    async def hang_up(self):
        index = self.pick_gateway()
        if index is not None:
            self.fleet.signal(index, signal.SIGHUP)

    async def freeze(self):
        index = self.pick_gateway()
        if index is None:
            return
        self.busy.add(index)
        span, loss = self.trouble[index].begin(), self.losses[index].begin()
        self.fleet.signal(index, signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.3, 4))
        self.fleet.signal(index, signal.SIGCONT)
        self.trouble[index].end(span)
        self.losses[index].end(loss)
        self.busy.discard(index)

    async def fail_store(self):
        kind = self.random.choice(("silent", "silent", "refuse"))
        share = self.random.choice((0.3, 1, 1))
        span = self.store_trouble.begin()
        for index in range(self.fleet.count):
            if self.random.random() < share:
                self.store.faults[index] = lambda method, target: kind
        self.record.line("the store:", kind, f"for {len(self.store.faults)} gateways")
        await asyncio.sleep(self.random.uniform(0.1, 3))
        self.store.faults.clear()
        self.store_trouble.end(span)

    async def drain_replica(self):
        service = self.random.choice((OLD, NEW))
        present = [replica for replica in self.replicas if replica.service == service and replica.state == "ready"]
        if len(present) < 3:
            return
        await self.add_replica(service)
        leaving = self.random.choice(present)
        self.drained.append((leaving, leaving.drain()))
        await asyncio.sleep(self.random.uniform(DRAIN_S + 0.5, 7))
        leaving.stop()

    async def move_route(self):
        prefix = self.random.choice(("/once/", "/safe/"))
        service = self.random.choice((OLD, NEW))
        self.routes = [(each, service if each == prefix else of, kind, more) for each, of, kind, more in self.routes]
        self.moves.append((self.publish(), prefix, service))

    async def add_route(self):
        prefix = f"/added{len(self.added)}/"
        self.routes.append((prefix, NEW, "safe", {}))
        self.added.append((self.publish(), prefix))

    async def play(self, trouble, mean_s, until):
        """Repeats a trouble at random intervals."""
        while True:
            await asyncio.sleep(self.random.expovariate(1 / mean_s))
            if self.record.now() > until:
                return
            await trouble()

    # Callers.

    async def keep_connection(self, until):
        while self.record.now() < until:
            index = self.random.randrange(self.fleet.count)
            path = self.random.choice(("/once/x", "/safe/x"))
            answers = []
            await self.fleet.kept_channel(index, path, min(until, self.record.now() + self.random.uniform(1, 8)), answers)
            self.answers += [(index, path, True, answer) for answer in answers]

    async def connect_anew(self, until):
        while self.record.now() < until:
            index = self.random.randrange(self.fleet.count)
            paths = ["/once/x", "/safe/x"] + [prefix + "x" for _, prefix in self.added[-5:]]
            path = self.random.choice(paths)
            method = "POST" if path.startswith("/once/") else "GET"
            self.answers.append((index, path, False, await self.fleet.request(index, path, method)))
            await asyncio.sleep(0.02)

    # Promises.

    def check_answers(self):
        runs = {}
        for replica in self.replicas:
            for at, request, _ in replica.runs:
                runs.setdefault(request, []).append((at, replica))
        lost = 0
        for index, path, kept, answer in self.answers:
            ran = runs.get(answer.request, [])
            calm = self.trouble[index].is_calm(answer.sent, answer.done)
            if path.startswith("/once/") and len(ran) > 1:
                self.report(f"TWICE: {answer.request} ran {len(ran)} times")
            if path.startswith("/once/") and answer.status in PROMISES and ran:
                self.report(f"REFUSED: {answer.request} got {answer.status} and ran at {ran[0][0]:.3f}")
            if answer.status == 200 and answer.body not in [f"{each.id} {answer.request}".encode() for _, each in ran]:
                self.report(f"MIXED: {answer.request} got another body")
            is_late = answer.headers.get("error") == "TimeoutError"
            unanswered = not answer.status and (not self.options.untimed if is_late else ran)
            if unanswered and self.losses[index].is_calm(answer.sent, answer.done):
                lost += 1
                self.record.line("lost:", answer.request, f"at edge-{index + 1}", answer.headers, "kept" if kept else "")
            self.check_config(path, answer, ran, calm)
        if lost:
            self.report(f"LOST: {lost} requests got no answer from gateways that weren't killed or frozen")

    def check_config(self, path, answer, ran, calm):
        if self.options.untimed or not calm or not self.store_trouble.is_calm(answer.sent - CONFIG_S, answer.done):
            return
        prefix = path[:path.rindex("/") + 1]
        known = [at for at, each in self.added if each == prefix]
        if answer.status in (401, 403, 404) and (not known or answer.sent > known[0] + CONFIG_S):
            self.report(f"CONFIG: {answer.request} got {answer.status} on {path}, sent at {answer.sent:.3f}")
        history = [(0, OLD)] + [(at, service) for at, each, service in self.moves if each == prefix]
        allowed = {service for number, (_, service) in enumerate(history)
                   if number + 1 == len(history) or history[number + 1][0] + CONFIG_S > answer.sent}
        for at, replica in ran:
            if not known and replica.service not in allowed:
                self.report(f"CONFIG: {answer.request}, sent at {answer.sent:.3f}, ran on {replica.service}, moved before")

    def check_drained(self):
        sent = {answer.request: (index, answer) for index, _, _, answer in self.answers}
        for replica, acknowledged in self.drained:
            if self.options.untimed or not self.store_trouble.is_calm(acknowledged, acknowledged + DRAIN_S):
                continue
            for at, request in replica.arrivals:
                index, answer = sent.get(request, (0, None))
                if answer and answer.sent > acknowledged + DRAIN_S and self.trouble[index].is_calm(answer.sent, at) \
                        and self.store_trouble.is_calm(acknowledged, at):
                    self.report(f"DRAIN: {request} reached {replica.id} {at - acknowledged:.1f} s after it was draining")

    def troubles(self):
        """Returns the troubles to draw from, each with its mean interval in seconds."""
        per_gateway = 60 / self.fleet.count  # between troubles of one gateway
        return [(self.stop_one, per_gateway), (self.kill_some, per_gateway), (self.hang_up, per_gateway / 2),
                (self.freeze, per_gateway), (self.fail_store, 12), (self.drain_replica, 6), (self.move_route, 3),
                (self.add_route, 4)]

    def callers(self):
        return [self.keep_connection] * self.options.kept + [self.connect_anew] * self.options.new

    async def run(self):
        self.put_config()
        for service in (OLD, NEW):
            for _ in range(3):
                await self.add_replica(service)
        span = [trouble.begin() for trouble in self.trouble]
        await asyncio.gather(*(self.start(index) for index in range(self.fleet.count)))
        for trouble, begun in zip(self.trouble, span):
            trouble.end(begun)
        if self.broken:
            return self.broken
        until = self.record.now() + self.options.seconds
        callers = [asyncio.create_task(caller(until)) for caller in self.callers()]
        others = connections.Callers(self)
        callers += [asyncio.create_task(others.play(way, until))
                    for way in others.WAYS * self.options.connections]
        chosen = [each for each in self.troubles() if self.random.random() < 0.7]
        self.record.line("troubles:", *(trouble.__name__ for trouble, _ in chosen))
        await asyncio.gather(*(self.play(trouble, mean, until) for trouble, mean in chosen), *callers)
        for index in self.fleet.check_running():
            self.report(f"FAULT: {index} has ended by itself")
        self.check_answers()
        self.check_drained()
        served = sum(answer.status == 200 for _, _, _, answer in self.answers)
        print(f"seed {self.options.seed}: {served} of {len(self.answers)} served,"
              f" {', '.join(trouble.__name__ for trouble, _ in chosen)}; of {others.half_closed[0]} half-closed"
              f" callers {others.half_closed[1]} answered", flush=True)
        return self.broken


def make_root(directory, work_tree):
    """Returns a folder as the platform sees the project: with deploy/ and the built programs in target/."""
    if work_tree:
        return work_tree
    os.symlink(os.path.join(REPOSITORY, "deploy"), os.path.join(directory, "deploy"))
    os.symlink(os.path.join(REPOSITORY, "build"), os.path.join(directory, "target"))
    return directory


async def play(options, directory, kind=Soak):
    record = standins.Record(os.path.join(options.records or directory, f"seed-{options.seed}.txt"))
    random.seed(options.seed)
    store = kind.STORE(record)
    fleet = standins.Fleet(record, store, options.gateways)
    try:
        await fleet.start_store()
        return await kind(record, store, fleet, options).run()
    finally:
        fleet.end()


def make_parser(description):
    parser = argparse.ArgumentParser(description=description.split("\n")[0])
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of plays, with consecutive seeds")
    parser.add_argument("--work-tree", help="project whose target/ holds the gateway; default: build/ of this one")
    parser.add_argument("--untimed", action="store_true", help="check only what no busy machine can break")
    parser.add_argument("--records", help="folder that keeps the records")
    parser.add_argument("--kept", type=int, default=20, help="callers that keep their connections")
    parser.add_argument("--new", type=int, default=5, help="callers that open a connection for each request")
    return parser


def run_plays(options, kind):
    """Plays the seeds one after another. Returns the exit status."""
    failed = False
    for seed in range(options.seed, options.seed + options.seeds):
        options.seed = seed
        directory = tempfile.mkdtemp(prefix="foxtaildyke-soak-")
        standins.ROOT = make_root(directory, options.work_tree)
        try:
            broken = asyncio.run(play(options, directory, kind))
        finally:
            shutil.rmtree(directory, ignore_errors=True)
        for text in broken[:20]:
            print(f"seed {seed}: broken: {text}", flush=True)
        failed = failed or bool(broken)
    return 1 if failed else 0


def main():
    parser = make_parser(__doc__)
    parser.add_argument("--connections", type=int, default=0,
                        help="callers of each kind in connections.py; with its replicas instead of plain ones")
    return run_plays(parser.parse_args(), Soak)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(main())
