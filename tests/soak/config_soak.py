"""Soak of configuration changes in a large fleet, whose hosts follow relays; see soak.py. The store pages its lists and
watches, limits its calls, forgets its history, comes back from an older copy, and turns away some hosts. A withdrawn key that
runs later than revoke_ms breaks its rule on every host, in trouble or not."""

import argparse
import asyncio
import contextlib
import copy
import random
import shutil
import signal
import sys
import tempfile
import time

import soak
from soak import standins

READS_PER_S, KEPT_CHANGES, RELAYS = 6000, 400, 3
STORM_VERSIONS, STORM_GAP_S, MAX_AWAY_S = 26, 0.08, 9.0
REVOKE_S = standins.BOUNDS["revoke_ms"] / 1000
standins.BOUNDS.update(config_apply_ms=3000, settle_window_ms=4000, drain_ms=3000)
soak.SETTLE_S, soak.DRAIN_S, soak.CONFIG_S = 4.0, 3.0, 3.0


class PagedStore(soak.PagedStore):
    PAGE_ITEMS, PAGE_CHANGES = 50, 6

    def __init__(self, record):
        super().__init__(record)
        self.calls, self.refused, self.second = 0, 0, 0

    async def handle(self, method, target, body):
        if int(time.monotonic()) != self.second:
            self.second, self.calls = int(time.monotonic()), 0
        self.calls += 1
        if self.calls > READS_PER_S:
            self.refused += 1
            return 429, b""
        return await super().handle(method, target, body)

    async def watch(self, kind, query):
        era = self.era
        since = int(query["watch"])
        if self.changes and since < self.changes[0][0] - 1:
            return 410, b""
        missed = [(revision, event) for revision, of, event in self.changes if of == kind and revision > since]
        if len(missed) > self.PAGE_CHANGES:
            await asyncio.sleep(0.1)
            page = missed[:self.PAGE_CHANGES]
            return 200, b'{"events":[' + b",".join(event for _, event in page) + b'],"at":%d}' % page[-1][0]
        status, body = await super().watch(kind, query)
        return (status, body) if era == self.era else (410, b"")

    def change(self, kind, name, removed=False):
        super().change(kind, name, removed)
        del self.changes[:-KEPT_CHANGES]

    def copy_content(self):
        return copy.deepcopy((self.objects, self.changes, self.revision))

    def rewind(self, content):
        self.objects, self.changes, self.revision = content
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()


class ConfigSoak(soak.Soak):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        idle = [(f"/idle{number}/", soak.OLD, "safe", {"timeout_ms": 800}) for number in range(40)]
        self.routes += idle
        self.revoked = []  # (acknowledged at, key)
        self.keys = [standins.KEY] + [f"key{number:02}qwertyuiopas" for number in range(24)]

    def publish(self):
        self.version += self.random.randint(1, 5)
        self.store.put("config", "main", standins.make_config(self.version, self.routes, self.keys))
        self.record.line("the store took version", self.version)
        return self.record.now()

    async def add_many(self):
        prefixes = [f"/added{len(self.added) + number}/" for number in range(20)]
        self.routes += [(prefix, soak.NEW, "safe", {}) for prefix in prefixes]
        at = self.publish()
        self.added += [(at, prefix) for prefix in prefixes]

    async def revoke(self):
        if len(self.keys) > 1:
            key = self.keys.pop()
            self.revoked.append((self.publish(), key))

    @contextlib.contextmanager
    def in_trouble(self, chosen):
        spans = [(index, self.trouble[index].begin()) for index in chosen]
        yield
        for index, span in spans:
            self.trouble[index].end(span)

    @contextlib.contextmanager
    def turned_away(self, chosen, kind):
        """Within it the store doesn't serve these hosts."""
        for index in chosen:
            self.store.faults[index] = lambda method, target: kind
        yield
        for index in chosen:
            self.store.faults.pop(index, None)

    async def catch_up(self):
        """The store turns some hosts away while versions follow each other quickly and one withdraws a key; the hosts are
        asked with that key while they read what they missed."""
        if len(self.keys) < 2:
            return
        relays = list(range(RELAYS))
        some = self.random.sample(range(self.fleet.count), max(1, self.fleet.count // 6))
        chosen = [index for index in self.random.choice((relays, relays[:1], some)) if index not in self.busy]
        kind = self.random.choice(("silent", "refuse"))
        self.record.line("the store:", kind, "for", chosen, "in a series of versions")
        with self.in_trouble(chosen):
            with self.turned_away(chosen, kind):
                for _ in range(self.random.randint(2, STORM_VERSIONS)):
                    self.publish()
                    await asyncio.sleep(STORM_GAP_S)
                await self.revoke()
                at, key = self.revoked[-1]
                await asyncio.sleep(self.random.uniform(REVOKE_S, MAX_AWAY_S))
            until = self.record.now() + 2
            await asyncio.gather(*(self.ask_with(index, at, key, until) for index in chosen))

    async def ask_with(self, index, at, key, until):
        while self.record.now() < until and index not in self.busy:
            await self.ask_revoked(index, at, key)
            await asyncio.sleep(0.02)

    async def ask_revoked(self, index, at, key):
        answer = await self.fleet.request(index, "/safe/x", "GET", headers={"Authorization": f"Bearer {key}"})
        calm = self.trouble[index].is_calm(answer.sent, answer.done) and self.store_trouble.is_calm(at, answer.done)
        limit = soak.CONFIG_S if calm and not self.options.untimed else REVOKE_S
        if answer.status == 200 and answer.sent > at + limit:
            self.report(f"REVOKED: edge-{index + 1} serves {key}, {answer.sent - at:.1f} s after its revocation")

    async def trouble_relay(self):
        kind = self.random.choice((signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP, signal.SIGSTOP))
        count = self.random.choice((1, 1, 2, RELAYS))
        relays = [index for index in self.random.sample(range(RELAYS), count) if index not in self.busy]
        if kind == signal.SIGSTOP:
            return await asyncio.gather(*(self.stop_for(index) for index in relays))
        await asyncio.gather(*(self.restart(index, kind) for index in relays))

    async def stop_for(self, index):
        self.busy.add(index)
        spans = [(spans, spans.begin()) for spans in (self.trouble[index], self.losses[index])]
        self.fleet.signal(index, signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.3, 6))
        self.fleet.signal(index, signal.SIGCONT)
        for each, span in spans:
            each.end(span)
        self.busy.discard(index)

    async def restart_all(self):
        idle = [index for index in range(self.fleet.count) if index not in self.busy]
        await asyncio.gather(*(self.restart(index, signal.SIGKILL) for index in idle))

    async def turn_away(self):
        """The store doesn't serve some hosts; their trouble excuses only them."""
        kind = self.random.choice(("silent", "refuse"))
        relays = list(range(RELAYS))
        some = self.random.sample(range(self.fleet.count), self.fleet.count // 3)
        chosen = self.random.choice((relays, relays[:1], some))
        self.record.line("the store:", kind, "for", chosen)
        with self.in_trouble(chosen), self.turned_away(chosen, kind):
            await asyncio.sleep(self.random.uniform(0.5, 6))

    async def rewind(self):
        content = self.store.copy_content()
        await asyncio.sleep(self.random.uniform(0.5, 3))
        span = self.store_trouble.begin()
        for index in range(self.fleet.count):
            self.store.faults[index] = lambda method, target: "refuse"
        await asyncio.sleep(self.random.uniform(0.2, 7))
        self.store.rewind(content)
        self.record.line("the store comes back, era", self.store.era)
        self.store.put("config", "main", standins.make_config(self.version, self.routes, self.keys))
        for replica in self.replicas:
            replica.register()
        self.store.faults.clear()
        self.store_trouble.end(span)

    async def play(self, trouble, mean_s, until):
        """As in soak.py, without a wait beyond the end of the play."""
        while True:
            wait = self.random.expovariate(1 / mean_s)
            if self.record.now() + wait > until:
                return
            await asyncio.sleep(wait)
            await trouble()

    async def ask(self, index, until):
        """Sends requests to one host and checks what its configuration allows."""
        while self.record.now() < until:
            await asyncio.sleep(self.random.uniform(0.3, 0.7))
            if index in self.busy:
                continue
            if self.revoked and self.random.random() < 0.2:
                await self.ask_revoked(index, *self.random.choice(self.revoked))
                continue
            path = self.random.choice(["/safe/x", "/idle3/x"] + [each + "x" for _, each in self.added[-25:]])
            answer = await self.fleet.request(index, path, "GET")
            self.answers.append((index, path, False, answer))

    async def run(self):
        self.store.put("config", "main", standins.make_config(self.version, self.routes, self.keys))
        for number in range(self.options.replicas):
            await self.add_replica((soak.OLD, soak.NEW)[number % 2])
        spans = [trouble.begin() for trouble in self.trouble]
        await asyncio.gather(*(self.start(index) for index in range(self.fleet.count)))
        for trouble, span in zip(self.trouble, spans):
            trouble.end(span)
        until = self.record.now() + self.options.seconds
        troubles = [(self.trouble_relay, 5), (self.turn_away, 9), (self.rewind, 15), (self.restart_all, 25),
                    (self.kill_some, 15), (self.move_route, 3), (self.add_route, 4), (self.add_many, 9), (self.revoke, 3),
                    (self.catch_up, 4)]
        chosen = [each for each in troubles if self.random.random() < 0.75]
        if self.options.troubles:
            chosen = [each for each in troubles if each[0].__name__ in self.options.troubles.split(",")]
        names = " ".join(trouble.__name__ for trouble, _ in chosen)
        await asyncio.gather(*(self.play(trouble, mean, until) for trouble, mean in chosen),
                             *(self.ask(index, until) for index in range(self.fleet.count)))
        for index in self.fleet.check_running():
            self.report(f"FAULT: {index} has ended by itself")
        self.check_answers()
        checked = sum(self.trouble[index].is_calm(answer.sent, answer.done)
                      and self.store_trouble.is_calm(answer.sent - soak.CONFIG_S, answer.done)
                      for index, _, _, answer in self.answers)
        served = sum(answer.status == 200 for _, _, _, answer in self.answers)
        print(f"seed {self.options.seed}: {served} of {len(self.answers)} served, {checked} checked,"
              f" {self.version} newest,"
              f" {self.store.refused} calls beyond the store's rate, {names}", flush=True)
        return self.broken


async def play(options, directory):
    record = standins.Record(f"{options.records or directory}/seed-{options.seed}.txt")
    random.seed(options.seed)
    store = PagedStore(record)
    fleet = standins.Fleet(record, store, options.gateways)
    try:
        await fleet.start_store()
        return await ConfigSoak(record, store, fleet, options).run()
    finally:
        if options.records:
            shutil.copytree(fleet.directory, f"{options.records}/logs-{options.seed}", dirs_exist_ok=True)
        fleet.end()


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--gateways", type=int, default=88)
    parser.add_argument("--replicas", type=int, default=92)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--troubles", help="names, separated by commas; default: drawn from the seed")
    parser.add_argument("--work-tree", help="project whose target/ holds the gateway; default: build/ of this one")
    parser.add_argument("--records", help="folder that keeps the records and logs")
    parser.add_argument("--untimed", action="store_true", help="check only what no busy machine can break")
    parser.set_defaults(connections=0)  # of soak.py
    options = parser.parse_args()
    directory = tempfile.mkdtemp(prefix="foxtaildyke-soak-")
    standins.ROOT = soak.make_root(directory, options.work_tree)
    try:
        broken = asyncio.run(play(options, directory))
    finally:
        shutil.rmtree(directory, ignore_errors=True)
    for text in broken[:20]:
        print(f"seed {options.seed}: broken: {text}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(main())
