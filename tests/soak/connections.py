"""Replicas and callers that use connections in the less usual ways that HTTP/1.1 allows; used by soak.py."""

import asyncio
import contextlib
import random
import socket
import struct

import fleet as standins

IDLE_S = 1.0  # idle timeout of the configuration while these callers play


def reset_on_close(writer):
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def reset(writer):
    """Closes a connection so that its peer can't take it for an orderly end."""
    with contextlib.suppress(OSError):  # it is closed already
        reset_on_close(writer)
    writer.transport.abort()


@contextlib.contextmanager
def open_in(replica, writer):
    """A connection is open in a replica until its end by either side, which is no error."""
    replica.writers.add(writer)
    try:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            yield
    finally:
        replica.writers.discard(writer)
        writer.close()


class Replica(standins.Replica):
    """Ends a part of its responses and connections in other ways than a plain replica."""

    async def serve(self, reader, writer):
        with open_in(self, writer):
            while head := await standins.read_head(reader):
                is_early = random.random() < 0.05
                body = b"" if is_early else await standins.read_body(reader, head[1])
                response = await self.answer(head, body)
                kind = "plain" if head[0].startswith("GET /healthz") else random.choice(self.KINDS)
                if not await getattr(self, "send_" + kind)(writer, response):
                    break
                if is_early:
                    await standins.read_body(reader, head[1])

    KINDS = ("plain",) * 12 + ("interim", "unannounced_close", "reset_when_idle", "no_length", "split")

    @staticmethod
    async def send_plain(writer, response):
        writer.write(response)
        await writer.drain()
        return True

    async def send_interim(self, writer, response):
        writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
        return await self.send_plain(writer, response)

    async def send_unannounced_close(self, writer, response):
        await self.send_plain(writer, response)
        await asyncio.sleep(random.choice((0, 0.005, 0.03)))
        return False

    async def send_reset_when_idle(self, writer, response):
        await self.send_plain(writer, response)
        await asyncio.sleep(random.uniform(0.01, 0.05))
        reset_on_close(writer)
        return False

    async def send_no_length(self, writer, response):
        head, body = response.split(b"\r\n\r\n", 1)
        lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
        await self.send_plain(writer, b"\r\n".join(lines) + b"\r\n\r\n" + body)
        return False

    async def send_split(self, writer, response):
        for part in (response[:20], response[20:-1], response[-1:]):
            await self.send_plain(writer, part)
            await asyncio.sleep(0.002)
        return True


class Callers:
    """Callers of the gateways of a soak; their answers are added to its own."""

    def __init__(self, soak):
        self.soak, self.fleet, self.record = soak, soak.fleet, soak.record
        self.half_closed = [0, 0]  # sent, answered

    def text(self, path, body=b"{}", deadline_ms=1500):
        answer = standins.Answer("%016x" % next(self.fleet.ids), self.record.now())
        head = (f"POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nFoxtaildyke-Request-Id: {answer.request}\r\n"
                f"Foxtaildyke-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {standins.KEY}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n")
        return answer, head.encode(), body

    async def read(self, reader, answer):
        """Reads a response. Returns whether the connection stays open."""
        try:
            head = await asyncio.wait_for(standins.read_head(reader), 2)
            if head is not None:
                answer.body = await standins.read_body(reader, head[1])
                answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            answer.headers = {"error": type(error).__name__}
        answer.done = self.record.now()
        return answer.status and answer.headers.get("connection", "").lower() != "close"

    async def play(self, way, until):
        """Uses one connection after another in a way, until a time of the record."""
        while self.record.now() < until:
            index, path = random.randrange(self.fleet.count), random.choice(("/once/x", "/safe/x"))
            answers = []
            writer = None
            try:
                reader, writer = await asyncio.open_connection(self.fleet.ips[index], self.fleet.port)
                await way(self, reader, writer, path, until, answers)
            except OSError:
                await asyncio.sleep(0.05)
            finally:
                if writer:
                    writer.close()
            for answer in answers:
                answer.done = answer.done or self.record.now()
                self.soak.answers.append((index, path, True, answer))

    async def pipeline(self, reader, writer, path, until, answers):
        """Sends several requests at once."""
        while self.record.now() < until:
            sent = [self.text(path) for _ in range(random.randint(2, 4))]
            answers += [answer for answer, _, _ in sent]
            writer.write(b"".join(head + body for _, head, body in sent))
            for answer, _, _ in sent:
                if not await self.read(reader, answer):
                    return
            await asyncio.sleep(random.uniform(0, 0.05))

    async def pace_body(self, reader, writer, path, until, answers):
        """Sends bodies in slow pieces."""
        while self.record.now() < until:
            answer, head, body = self.text(path, b"b" * 200)
            writer.write(head)
            for start in range(0, len(body), 50):
                await asyncio.sleep(random.uniform(0, 0.4))
                writer.write(body[start:start + 50])
                await writer.drain()
            answer.sent = self.record.now()
            answers.append(answer)
            if not await self.read(reader, answer):
                return

    async def wait_for_idle_timeout(self, reader, writer, path, until, answers):
        """Sends the next request about when the gateway closes the connection as idle."""
        while self.record.now() < until:
            answer, head, body = self.text(path)
            writer.write(head + body)
            answers.append(answer)
            if not await self.read(reader, answer):
                return
            await asyncio.sleep(max(0, random.gauss(IDLE_S, 0.003)))

    async def half_close(self, reader, writer, path, until, answers):
        """Closes its write side after the request. Its answers are counted on their own."""
        answer, head, body = self.text(path)
        writer.write(head + body)
        writer.write_eof()
        await self.read(reader, answer)
        self.half_closed[0] += 1
        self.half_closed[1] += bool(answer.status)
        await asyncio.sleep(0.1)

    WAYS = (pipeline, pace_body, wait_for_idle_timeout, half_close)
