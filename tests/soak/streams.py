"""Randomized soak of streams: gateways as processes, engines that escalate, break off, crash and restart.

Some requests crash each engine that runs them, and their callers send them again at the next gateway. Processes are killed,
stopped one after another and all at once while streams of up to twenty seconds are in progress, and callers use a gateway
from the moment at which it listens. Promises are counted as in soak.py: processes that end by themselves, and streams that
end in order but aren't whole or belong to another request.
"""

import asyncio
import os
import random
import signal
import subprocess
import sys
import time

import soak
from soak import connections, standins

MODELS = ("small", "large")
ENGINES, ENGINES_NEXT, PLAIN = "drafting", "summaries", "clerk-desk"
CRASHING = b"crashes engines"


def make_config(version, routes, idle_ms):
    config = standins.make_config(version, routes)
    for service in config["services"]:
        if service["name"] != PLAIN:
            service["engine"] = {"batch_slots": 32, "kv_capacity": 1_000_000, "stride": 5,
                                 "models": [{"name": "small", "cost": 1.0}, {"name": "large", "cost": 4.0}]}
    config["limits"]["idle_timeout_ms"] = idle_ms
    return config


class Engine(standins.Replica):
    """A replica that answers by streams. The events of a request depend on its key only, so that any engine continues them."""

    def __init__(self, soak_run, service, address, port, version="v1"):
        super().__init__(soak_run.store, soak_run.record, service, address, port, version=version)
        self.soak = soak_run
        self.draws = random.Random(f"{soak_run.options.seed} {port}")

    def crash(self):
        """Resets all connections and refuses new ones."""
        self.record.line(self.id, "crashes")
        self.server.close()
        for writer in list(self.writers):
            connections.reset(writer)
        if self.beat:
            self.beat.cancel()

    async def restart(self):
        self.crash()
        await asyncio.sleep(self.draws.uniform(0.3, 3))
        if self.draws.random() < 0.5:
            self.store.remove("servers", self.id)
            self.id = "i-%08x" % self.draws.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        try:
            await self.start()
        except OSError as error:
            self.record.line(self.id, "can't restart:", error)

    async def serve(self, reader, writer):
        with connections.open_in(self, writer):
            while head := await standins.read_head(reader):
                body = await standins.read_body(reader, head[1])
                if not await self.respond(head, body, writer):
                    break

    async def respond(self, head, body, writer):
        """Returns whether the connection can be used again."""
        headers = head[1]
        request = headers.get("foxtaildyke-request-id", "")
        echo = {"Foxtaildyke-Request-Id": request, **self.more_headers}
        if head[0].startswith("GET /healthz"):
            writer.write(standins.encode(200, {"Foxtaildyke-Replica-Id": self.id}))
            return True
        if headers.get("foxtaildyke-expect-replica", self.id) != self.id:
            writer.write(standins.encode(421, {**echo, "Foxtaildyke-Not-Executed": "1"}))
            return True
        kind = self.soak.draw_fault(self.draws)
        if kind == "rejected":
            writer.write(standins.encode(503, {**echo, "Foxtaildyke-Not-Executed": "1", "Retry-After": "0.5"}))
            return True
        if kind == "error":
            writer.write(standins.encode(500, echo))
            return True
        if kind == "garbage":
            writer.write(self.draws.randbytes(200))
            return False
        if await self.stream(headers, body, echo, kind, writer):
            connections.reset(writer)  # the engine crashes once this task has ended, which would close the connection in order
            return False
        return False if kind else headers.get("connection", "") != "close"

    async def stream(self, headers, body, echo, kind, writer):
        """Returns a task if the engine crashes, otherwise None."""
        if body.startswith(CRASHING) and self.draws.random() < 0.3:
            return asyncio.ensure_future(self.restart())  # before the response begins
        model = headers.get("foxtaildyke-model", "")
        confidence = self.draws.randint(0, 100)
        fields = {**echo, "Foxtaildyke-Server-Stamp": f"{self.id}.{echo['Foxtaildyke-Request-Id']}",
                  "Foxtaildyke-Confidence": confidence, "Content-Type": "text/event-stream"}
        framing = self.draws.choice(("chunked",) * 4 + ("end",))
        fields["Connection" if framing == "end" else "Transfer-Encoding"] = "close" if framing == "end" else "chunked"
        text = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
        await asyncio.sleep(0.01 if model == "small" else 0.03)
        writer.write(text.encode())
        count, gap_s, size = parameters_of(body)
        first = int(headers.get("last-event-id", 0)) + 1
        break_at = self.draws.randint(first, count) if kind or body.startswith(CRASHING) else 0
        for number in range(first, count + 1):
            await asyncio.sleep(gap_s)
            event = event_of(body, number, count, size)
            if number == break_at and body.startswith(CRASHING):
                return asyncio.ensure_future(self.restart())
            if number == break_at and kind == "cut":
                event = event[:len(event) // 2]
            if framing == "chunked":
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
            if number == break_at and kind == "silent":
                await asyncio.sleep(5)
            if number == break_at and kind in ("cut", "silent", "reset"):
                return connections.reset(writer) if kind == "reset" or framing == "end" else writer.close()
        if framing == "chunked":
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            writer.close()


def parameters_of(body):
    """Returns the number of events, the time between them, and the size of each."""
    count, gap_ms, size = (int(part) for part in body.split(b" ")[-3:])
    return count, gap_ms / 1000, size


def event_of(body, number, count, size):
    key = body.split(b" ")[-4]
    return b"id: %d\ndata: %s %d of %d %s\n\n" % (number, key, number, count, b"x" * size)


class StreamSoak(soak.Soak):
    FAULTS = ("rejected", "error", "garbage", "cut", "silent", "reset")

    def __init__(self, record, store, fleet, options):
        super().__init__(record, store, fleet, options)
        draft = {"models": [], "sizes": list(MODELS), "resumable": True, "session_affinity": True, "timeout_ms": 30000,
                 "target_latency_ms": 1500, "gap_aim_ms": 300, "max_attempts": 4}
        self.routes = [("/draft/", ENGINES, "stream", draft), ("/once/", PLAIN, "unsafe", {}),
                       ("/safe/", PLAIN, "safe", {})]
        self.fault_share = self.random.choice((0, 0.02, 0.1))
        self.crashing_share = self.random.choice((0, 0.02, 0.1))
        self.counts = {}
        self.keys = iter(range(1, 1 << 60))
        self.trees = (standins.ROOT, options.other_tree)
        if options.wrapper:
            fleet.command = options.wrapper.split() + fleet.command

    def draw_fault(self, draws):
        return draws.choice(self.FAULTS) if draws.random() < self.fault_share else None

    def put_config(self):
        self.store.put("config", "main", make_config(self.version, self.routes, 4000))
        return self.record.now()

    async def add_engine(self, service, version="v1"):
        engine = Engine(self, service, *self.fleet.replica_address(self.next_port), version=version)
        self.next_port += 1
        await engine.start()
        self.replicas.append(engine)
        return engine

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    # Callers.

    def request_text(self, path, body, last_event):
        request = "%016x" % next(self.fleet.ids)
        parts = ",".join(f"{random.randint(1, 6):x}:{random.randint(50, 900)}" for _ in range(random.randint(1, 3)))
        more = f"Last-Event-Id: {last_event}\r\n" if last_event else ""
        more += f"Session: s{random.randint(1, 40)}\r\n" if random.random() < 0.7 else ""
        return (f"POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nFoxtaildyke-Request-Id: {request}\r\n"
                f"Foxtaildyke-Deadline-Ms: 25000\r\nAuthorization: Bearer {standins.KEY}\r\nFoxtaildyke-Model: *\r\n"
                f"Foxtaildyke-Token-Count: {random.randint(100, 3000)},{random.randint(20, 400)}\r\n"
                f"Foxtaildyke-Prompt-Prefix: {parts},{random.getrandbits(32):x}:40\r\n{more}"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    def draw_body(self):
        key = b"k%d" % next(self.keys)
        count, gap_ms = random.choice(((5, 5), (30, 10), (100, 20), (200, 100), (3, 600)))
        size = random.choice((10, 10, 60, 400, 20000))
        start = CRASHING + b" " if random.random() < self.crashing_share else b""
        return start + b"%s %d %d %d" % (key, count, gap_ms, size)

    async def stream_anew(self, until):
        """Sends a stream's request, at another gateway after each failure."""
        while self.record.now() < until:
            body, last = self.draw_body(), 0
            patience = self.record.now() + 25
            for _ in range(6):
                outcome, last = await self.try_stream(body, last, patience)
                self.count(outcome)
                if outcome in ("whole", "left", "rejected for good") or self.record.now() > min(patience, until):
                    break
                await asyncio.sleep(random.choice((0, 0, 0.3)))

    async def try_stream(self, body, last, patience):
        """Returns what became of the request, and the last event received."""
        index = random.randrange(self.fleet.count)
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.fleet.ips[index], self.fleet.port), 1)
            writer.write(self.request_text("/draft/x?q=" + body.split(b" ")[-4].decode(), body, last))
            head = await asyncio.wait_for(standins.read_head(reader), 26)
            if head is None:
                return "no response", last
            status = int(head[0].split(" ")[1])
            if status != 200:
                await asyncio.wait_for(standins.read_body(reader, head[1]), 3)
                return f"status {status}", last
            return await self.read_events(reader, body, last, patience)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            return type(error).__name__, last
        finally:
            if writer:
                writer.transport.abort() if random.random() < 0.3 else writer.close()

    async def read_events(self, reader, body, last, patience):
        count, _, size = parameters_of(body)
        leaves_at = random.randint(1, count) if random.random() < 0.1 else 0
        received = b""
        while True:
            left = patience + 2 - self.record.now()
            line = await asyncio.wait_for(reader.readline(), max(left, 0.1))
            if not line:
                return "cut", last
            length = int(line, 16)
            part = await asyncio.wait_for(reader.readexactly(length + 2), max(left, 0.1))
            received += part[:-2]
            while b"\n\n" in received:
                event, received = received.split(b"\n\n", 1)
                if event + b"\n\n" != event_of(body, last + 1, count, size):
                    self.report(f"MIXED: event {last + 1} of {body[:40]} is {event[:60]}")
                    return "mixed", last
                last += 1
            if last == leaves_at:
                return "left", last
            if length == 0:
                if last < count or received:
                    self.report(f"LOST: a stream ended in order after {last} of {count} events, {body[:40]}")
                return "whole", last

    async def pipeline_rejected(self, until):
        """Sends many requests at once that are rejected without being sent on."""
        while self.record.now() < until:
            index = random.randrange(self.fleet.count)
            try:
                reader, writer = await asyncio.open_connection(self.fleet.ips[index], self.fleet.port)
                one = b"GET /none HTTP/1.1\r\nHost: ficu95.example\r\nContent-Length: 0\r\n\r\n"
                writer.write(one * random.choice((3, 100, 2000)))
                await asyncio.sleep(random.uniform(0, 0.5))
                writer.close()
            except OSError:
                pass
            await asyncio.sleep(0.5)

    async def scrape(self, until):
        while self.record.now() < until:
            for ip in self.fleet.ips:
                try:
                    for port, path in ((self.fleet.port + 10, "/metrics"), (self.fleet.port + 1, "/v1/readyz")):
                        text = f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
                        reader, writer = await asyncio.open_connection(ip, port)
                        writer.write(text)
                        if random.random() < 0.8:
                            await asyncio.wait_for(standins.read_head(reader), 1)
                        writer.transport.abort() if random.random() < 0.5 else writer.close()
                except (OSError, asyncio.TimeoutError):
                    pass
            await asyncio.sleep(0.2)

    async def start(self, index):
        if self.options.other_tree:  # an upgrade: both builds run side by side
            standins.ROOT = self.random.choice(self.trees)
            self.fleet.command = [os.path.join(standins.ROOT, word) if number == 0 else word
                                  for number, word in enumerate(self.fleet.role["run"].split())]
        await super().start(index)

    # Troubles.

    async def crash_engine(self):
        engine = self.random.choice([each for each in self.replicas if isinstance(each, Engine)])
        await engine.restart()

    async def crash_all_engines(self):
        await asyncio.gather(*(each.restart() for each in self.replicas if isinstance(each, Engine)))

    async def stop_in_turn(self):
        """Stops the gateways one after another, while the ones before are still stopping."""
        tasks = []
        for index in range(self.fleet.count):
            if index not in self.busy:
                tasks.append(asyncio.create_task(self.restart(index, signal.SIGTERM)))
            await asyncio.sleep(1.1)
        await asyncio.gather(*tasks)

    async def kill_in_turn(self):
        for index in range(self.fleet.count):
            if index not in self.busy:
                await self.restart(index, signal.SIGKILL)

    async def kill_all(self):
        await asyncio.gather(*(self.restart(index, signal.SIGKILL) for index in range(self.fleet.count)
                               if index not in self.busy))

    async def state_needs(self):
        """An engine states a limit, a leave, brittleness or nonsense in its answers for a while."""
        engine = self.random.choice([each for each in self.replicas if isinstance(each, Engine)])
        engine.more_headers = self.random.choice((
            {"Server-Limit": "3.5"}, {"Server-Leaving": "1"}, {"Server-Brittle": "2"}, {"Server-Limit": "1e999"},
            {"Server-Limit": "-1", "Server-Leaving": "yes", "Server-Brittle": "x" * 3000}))
        await asyncio.sleep(self.random.uniform(1, 6))
        engine.more_headers = {}

    async def roll_out(self):
        """Orders a version, whose engines start beside the old ones."""
        version = f"v{self.version}"
        started = [await self.add_engine(ENGINES, version) for _ in range(2)]
        self.store.put("rollouts", ENGINES, {"service": ENGINES, "target": version,
                                             "duration_s": self.random.choice((2, 6, 15))})
        await asyncio.sleep(self.random.uniform(3, 12))
        for engine in started:
            engine.crash() if self.random.random() < 0.5 else engine.drain()
            self.store.remove("servers", engine.id)
        self.replicas = [each for each in self.replicas if each not in started]

    async def rewind_store(self):
        """The store comes back from an older copy."""
        span = self.store_trouble.begin()
        self.store.era += 1
        self.store.revision = max(100, self.store.revision - 20)
        self.store.changes.clear()
        self.store.changed.set()
        self.store.changed = asyncio.Event()
        self.put_config()
        await asyncio.sleep(3)
        self.store_trouble.end(span)

    async def move_route(self):
        service = self.random.choice((ENGINES, ENGINES_NEXT))
        self.routes = [("/draft/", service, *self.routes[0][2:])] + self.routes[1:]
        self.publish()

    async def run(self):
        self.put_config()
        for _ in range(3):
            await self.add_replica(PLAIN)
        for _ in range(6):
            await self.add_engine(ENGINES)
        for _ in range(3):
            await self.add_engine(ENGINES_NEXT)
        until = self.record.now() + self.options.seconds
        # Callers use a gateway as soon as it listens.
        callers = [asyncio.create_task(caller(until)) for caller in
                   [self.stream_anew] * self.options.streams + [self.pipeline_rejected, self.scrape]
                   + [self.keep_connection] * 5 + [self.connect_anew] * 2]
        await asyncio.gather(*(self.start(index) for index in range(self.fleet.count)))
        troubles = [(self.stop_in_turn, 10), (self.kill_in_turn, 12), (self.kill_all, 12), (self.stop_one, 5),
                    (self.hang_up, 3), (self.freeze, 8), (self.fail_store, 8), (self.crash_engine, 2),
                    (self.crash_all_engines, 10), (self.state_needs, 3), (self.roll_out, 8), (self.rewind_store, 12),
                    (self.move_route, 3)]
        drawn = [each for each in troubles if self.random.random() < 0.6]
        named = self.options.troubles.split(",") if self.options.troubles else None
        chosen = [each for each in troubles if each[0].__name__ in named] if named else drawn
        self.record.line("troubles:", *(trouble.__name__ for trouble, _ in chosen))
        await asyncio.gather(*(self.play(trouble, mean, until) for trouble, mean in chosen), *callers)
        for index in self.fleet.check_running():
            self.report(f"FAULT: {index} has ended by itself")
        print(f"seed {self.options.seed}: {dict(sorted(self.counts.items()))}, faults {self.fault_share}, crashing"
              f" {self.crashing_share}, {', '.join(trouble.__name__ for trouble, _ in chosen)}", flush=True)
        self.keep_logs()
        return self.broken

    def keep_logs(self):
        if self.options.records:
            target = os.path.join(self.options.records, f"logs-{self.options.seed}")
            subprocess.run(["cp", "-r", self.fleet.directory, target], check=True)


def main():
    parser = soak.make_parser(__doc__)
    parser.add_argument("--streams", type=int, default=40, help="callers of streams")
    parser.add_argument("--troubles", help="names, separated by commas; default: drawn from the seed")
    parser.add_argument("--other-tree", help="project whose target/ holds another build, which starts in turn with the first")
    parser.add_argument("--wrapper", help="command that runs the gateways, such as a memory checker")
    parser.set_defaults(connections=0)  # of soak.py
    return soak.run_plays(parser.parse_args(), StreamSoak)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(main())
