"""Randomized soak of the retry budget: gateways as processes, replicas that fail in bursts, hosts killed in series.

Counted at the sockets of the replicas: arrivals beyond the first of each request in every retry_window_s, against
retry_ratio x requests + retry_slack over all hosts; attempts of a request against max_attempts; deadlines handed on;
arrivals at a replica that has asked for a pause.
"""

import argparse
import asyncio
import bisect
import random
import signal
import sys

import soak
from soak import standins

BOUNDS = standins.BOUNDS
RATIO, WINDOW_S, SLACK = BOUNDS["retry_ratio"], BOUNDS["retry_window_s"], BOUNDS["retry_slack"]
SERVICE = "clerk-desk"
FAILURES = ("500", "504", "rejected", "reset", "hang", "pause")
PAUSE_S = 2


class Budget(soak.Soak):
    def __init__(self, record, store, fleet, options):
        super().__init__(record, store, fleet, options)
        self.draws = random.Random(options.seed)  # of the replicas, so that the troubles don't depend on timing
        self.attempts = options.attempts or self.random.choice((2, 3, 4))
        self.routes = [("/safe/", SERVICE, "safe", {"max_attempts": self.attempts})]
        self.handed = {}  # request -> [(time, deadline in ms, replica)]
        self.pauses = []  # (time, replica, request) of responses that ask for a pause
        self.sent, self.requests = [], []  # requests: (gateway, task)
        self.failure, self.share = "", 0.0

    def hook_of(self, replica):
        def hook(head, _body, echo):
            now, request = self.record.now(), echo["Foxtaildyke-Request-Id"]
            self.handed.setdefault(request, []).append(
                (now, float(head[1].get("foxtaildyke-deadline-ms", "inf")), replica.id))
            if self.draws.random() >= self.share:
                return None
            if self.failure in ("500", "504"):
                return standins.encode(self.failure, echo)
            if self.failure == "rejected":
                return standins.encode(503, {**echo, "Foxtaildyke-Not-Executed": "1"})
            if self.failure == "pause":
                self.pauses.append((now, replica.id, request))
                return standins.encode(503, {**echo, "Foxtaildyke-Not-Executed": "1", "Retry-After": PAUSE_S})
            raise ConnectionError if self.failure == "reset" else asyncio.CancelledError
        return hook

    async def burst(self):
        """Replicas fail for a while; hosts may be killed in series meanwhile."""
        self.failure = self.options.failure or self.random.choice(FAILURES)
        self.share = self.options.share or self.random.choice((0.4, 0.8, 1.0))
        kills = self.options.kills if self.options.kills is not None else self.random.choice((0, 1, 3))
        self.record.line("replicas fail:", self.failure, self.share, "kills:", kills)
        end = self.record.now() + self.random.uniform(8, 11)
        for _ in range(kills):
            await asyncio.sleep(self.random.uniform(2, 3))
            await asyncio.gather(*(self.restart(index, signal.SIGKILL) for index in range(self.fleet.count)))
        await asyncio.sleep(max(0, end - self.record.now()))
        self.share = 0

    async def call(self, until):
        while self.record.now() < until:
            index = self.draws.randrange(self.fleet.count)
            self.sent.append(self.record.now())
            request = self.fleet.request(index, "/safe/x", "GET", deadline_ms=1000)
            self.requests.append((index, asyncio.create_task(request)))
            await asyncio.sleep(1 / self.options.rate)
        await asyncio.wait([task for _, task in self.requests])

    def requests_in(self, begin):
        return bisect.bisect_left(self.sent, begin + WINDOW_S) - bisect.bisect_left(self.sent, begin)

    def check_budget(self):
        repeats = sorted(at for handed in self.handed.values() for at, _, _ in handed[1:])
        worst = (-1e9, "")
        for number, begin in enumerate(repeats):
            count = bisect.bisect_left(repeats, begin + WINDOW_S) - number
            requests = max(map(self.requests_in, (begin, begin - WINDOW_S / 2, begin - WINDOW_S)))
            over = count - (RATIO * requests + SLACK)
            worst = max(worst, (over, f"{count} repeats of {requests} requests from {begin:.1f}, {over:+.0f}"))
        if worst[0] > 0:
            self.report(f"BUDGET: {worst[1]}")
        return worst[1]

    def check_requests(self):
        beyond = [request for request, handed in self.handed.items() if len({each for _, _, each in handed}) > self.attempts
                  or len(handed) > self.attempts]
        if len(beyond) > 3:
            self.report(f"BUDGET: {len(beyond)} requests reached replicas more than {self.attempts} times")
        late = sum(handed[-1][0] + handed[-1][1] / 1000 > handed[0][0] + 1.5 for handed in self.handed.values())
        if late > 20:
            self.report(f"BUDGET: {late} requests were handed on with more time than was left")
        return self.check_pauses()

    def check_pauses(self):
        """Returns the most arrivals at one replica from one gateway in a pause."""
        gateways = {task.result().request: index for index, task in self.requests}
        arrivals = {}
        for request, handed in self.handed.items():
            for at, _, replica in handed:
                arrivals.setdefault((gateways[request], replica), []).append(at)
        most = 0
        for begin, replica, request in self.pauses:
            index = gateways[request]
            times = arrivals[index, replica]
            if self.losses[index].is_calm(begin, begin + PAUSE_S):
                most = max(most, sum(begin + 0.5 < at < begin + PAUSE_S for at in times))
        if most > 2:
            self.report(f"BUDGET: {most} requests from one gateway reached a replica that had asked it for a pause")
        return most

    async def run(self):
        self.store.put("config", "main", standins.make_config(self.version, self.routes))
        for _ in range(6):
            await self.add_replica(SERVICE)
            self.replicas[-1].hook = self.hook_of(self.replicas[-1])
        await asyncio.gather(*(self.start(index) for index in range(self.fleet.count)))
        until = self.record.now() + self.options.seconds
        caller = asyncio.create_task(self.call(until))
        await asyncio.sleep(WINDOW_S)
        while self.record.now() < until - 9:
            await self.burst()
            await asyncio.sleep(self.random.uniform(1, 9))
        await caller
        worst = self.check_budget()
        in_pause = self.check_requests()
        print(f"seed {self.options.seed}: max_attempts {self.attempts}, {len(self.sent)} requests, worst: {worst},"
              f" {in_pause} of {len(self.pauses)} in a pause", flush=True)
        return self.broken


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=110, help="requests per second")
    parser.add_argument("--attempts", type=int, help="max_attempts; default: drawn")
    parser.add_argument("--failure", choices=FAILURES, help="default: drawn for each burst")
    parser.add_argument("--share", type=float, help="share of the requests that fail; default: drawn")
    parser.add_argument("--kills", type=int, help="times that all hosts are killed in a burst; default: drawn")
    parser.add_argument("--work-tree", help="project whose target/ holds the gateway; default: build/ of this one")
    parser.add_argument("--records", help="folder that keeps the records")
    parser.add_argument("--seeds", type=int, default=1, help="plays, of this seed and those after it")
    parser.set_defaults(connections=0)  # of soak.py
    return soak.run_plays(parser.parse_args(), Budget)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(main())
