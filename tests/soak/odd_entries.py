"""Randomized soak with what other writers and replicas in trouble may do.

Entries under names of any characters come and go in a store whose lists have short pages; replicas send heads that are none of
a response, and parts of responses to long uploads. At the end all gateways are killed and start beside the entries. Promises
are counted as in soak.py, and each gateway must serve again.
"""

import asyncio
import random
import re
import signal
import sys

import soak
from soak import connections, standins

ODD = ("&", "+", "#", "%", " ", "?", "/", "=", "%41", "&after=zz", "&watch=1", "\r\n", "\x01", "\u00e9", "a copy of ")
PROPER_TARGET = re.compile(r"(?:[A-Za-z0-9._~:/?@!$&'()*+,;=\[\]-]|%[0-9A-Fa-f]{2})+")  # RFC 3986
LONG_BODY = b"b" * 3_000_000
SERVED_AGAIN_S = 5.0


class Store(soak.PagedStore):
    """Lists in short pages, and rejects targets that are none."""

    PAGE_ITEMS = 3

    async def handle(self, method, target, body):
        if not PROPER_TARGET.fullmatch(target):
            return 400, b""
        return await super().handle(method, target, body)


class Replica(connections.Replica):
    """Sends some heads that are none of a response, and parts of responses to long uploads."""

    KINDS = connections.Replica.KINDS * 2 + ("odd_status", "odd_name")

    async def serve(self, reader, writer):
        if random.random() < 0.5:
            return await super().serve(reader, writer)
        with connections.open_in(self, writer):
            while head := await standins.read_head(reader):
                if int(head[1].get("content-length", 0)) == len(LONG_BODY):
                    await self.send_part(reader, writer, await self.answer(head, b""))
                    break
                writer.write(await self.answer(head, await standins.read_body(reader, head[1])))
                await writer.drain()

    async def send_part(self, reader, writer, response):
        head, body = response.split(b"\r\n\r\n", 1)
        lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
        if random.random() < 0.7:
            await reader.read(random.choice((1, 100_000, 1_000_000)))
        await self.send_plain(writer, b"\r\n".join(lines) + b"\r\n\r\n" + body[:len(body) // 2])
        await asyncio.sleep(random.choice((0, 0.001, 0.02)))
        if random.random() < 0.3:
            connections.reset_on_close(writer)

    async def send_odd_status(self, writer, response):
        status = random.choice((b"000", b"099", b"600", b"20", b"2000"))
        await self.send_plain(writer, b"HTTP/1.1 " + status + b" X\r\n" + response.split(b"\r\n", 1)[1] + response)
        return False

    async def send_odd_name(self, writer, response):
        line = random.choice((b"X Y: a", b"X\x01: a", b"\tContent-Length: 2", b"Transfer-Encoding\x0b: chunked", b"X\x7f: a"))
        await self.send_plain(writer, response.replace(b"\r\n", b"\r\n" + line + b"\r\n", 1))
        return False


class OddSoak(soak.Soak):
    STORE = Store

    def replica_kind(self):
        return Replica

    def troubles(self):
        return super().troubles() + [(self.change_entries, 1)] * 3

    def callers(self):
        return super().callers() + [self.upload] * 2

    async def change_entries(self):
        """Another writer adds, replaces and removes entries."""
        for odd in self.random.sample(ODD, 4):
            for kind, name in (("servers", self.random.choice(("", "i-", "i-8", "zz")) + odd), ("config", odd),
                               ("rollouts", soak.OLD + odd), ("crash-reports", "edge-1" + odd)):
                if self.random.random() < 0.3:
                    self.store.remove(kind, name)
                else:
                    self.store.put(kind, name, self.odd_spec(kind))

    def odd_spec(self, kind):
        copied = self.random.choice(self.replicas)
        whole = {"servers": self.store.objects.get(("servers", copied.id), {}).get("spec"),
                 "config": standins.make_config(1_000_000, []),
                 "rollouts": {"service": soak.OLD, "target": "v9", "duration_s": 9}}
        return self.random.choice((whole.get(kind), None, 17, {"note": "of another writer"}, {"batch_slots": 1e300}))

    async def upload(self, until):
        while self.record.now() < until:
            index = self.random.randrange(self.fleet.count)
            path = self.random.choice(("/once/x", "/safe/x"))
            self.answers.append((index, path, False, await self.fleet.request(index, path, body=LONG_BODY)))
            await asyncio.sleep(0.2)

    async def run(self):
        await super().run()
        if self.broken:
            return self.broken
        for odd in ODD:
            self.store.put("servers", "i-" + odd, {"note": "of another writer"})
        await asyncio.gather(*(self.restart(index, signal.SIGKILL) for index in range(self.fleet.count)))
        await asyncio.gather(*(self.check_served(index) for index in range(self.fleet.count)))
        return self.broken

    async def check_served(self, index):
        end = self.record.now() + SERVED_AGAIN_S
        while (await self.fleet.request(index, "/safe/x")).status != 200:
            if self.record.now() > end:
                return self.report(f"RECOVER: edge-{index + 1} serves nothing beside entries of another writer")
            await asyncio.sleep(0.1)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    parser = soak.make_parser(__doc__)
    parser.set_defaults(connections=0)
    sys.exit(soak.run_plays(parser.parse_args(), OddSoak))
