"""Stand-ins for a small deployment on loopback addresses: the platform's store, replicas, clients, and the project's
gateways as processes. Standard library only. The gateways run with the command and the settings template of
deploy/system.toml, each on an address of its own, so that their ports are the same, as on machines of a day."""

import asyncio
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {"drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "settle_window_ms": 3000, "revoke_ms": 5000,
          "retry_ratio": 0.9, "retry_window_s": 10, "retry_slack": 52, "canary_share": 0.15, "canary_slack": 30,
          "recovery_s": 12}
HEARTBEAT_S = 1.2
LINK_BYTES_PER_S = 100e6  # 0.8 of the link of the site's machines (1,000 Mbit/s), so that no packet waits there
SLICE_BYTES = 65536
KEY = "n2ctnfzs989anu6wsjnb"


class CannotRun(Exception):
    """The case couldn't be run: exit code 2."""


async def read_head(reader):
    """Returns the first line and the headers (names in lower case) of a message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode(status, headers, body=b""):
    text = f"HTTP/1.1 {status} {'OK' if status == 200 else 'Status'}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


def say(text):
    """Prints a line. A reader that is gone must not change the exit code."""
    try:
        print(text, flush=True)
    except OSError:
        sys.stdout = open(os.devnull, "w", encoding="utf-8")


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, *words):
        self.file.write(f"{self.now():8.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


class Store:
    """The platform's store: objects by kind and name, revisions, lists, watches, conditional writes."""

    def __init__(self, record):
        self.record = record
        self.objects = {}  # (kind, name) -> object
        self.raw = {}  # (kind, name) -> bytes that stand in place of the object's spec
        self.changes = []  # (revision, kind, bytes of the event)
        self.revision = 100
        self.era = 1
        self.changed = asyncio.Event()
        self.faults = {}  # node -> function(method, path) -> None or "silent" / "refuse"
        self.servers = []

    async def listen(self, node, address, port):
        async def serve(reader, writer):
            await self.serve(node, reader, writer)
        self.servers.append(await asyncio.start_server(serve, address, port))

    def encode_object(self, kind, name, stored):
        text = json.dumps(stored).encode()
        raw = self.raw.get((kind, name))
        return text.replace(b'"@raw@"', raw) if raw is not None else text

    def change(self, kind, name, removed=False):
        self.revision += 1
        stored = self.objects[kind, name]
        stored["metadata"]["revision"] = self.revision
        event = b'{"object":' + self.encode_object(kind, name, stored) + b',"removed":'
        self.changes.append((self.revision, kind, event + (b"true}" if removed else b"false}")))
        if removed:
            del self.objects[kind, name]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        stored = self.objects.get((kind, name))
        if stored is None:
            stored = self.objects[kind, name] = {"metadata": {"name": name, "revision": 0, "finalizers": [],
                                                              "created": self.revision + 1}, "spec": None, "status": {}}
        if stored["spec"] != spec:
            stored["spec"] = spec
            self.change(kind, name)

    def put_raw(self, kind, name, raw):
        """Stores an object whose spec is the given bytes, as another writer may have left it."""
        self.raw[kind, name] = raw
        self.put(kind, name, "@raw@")

    def remove(self, kind, name):
        if (kind, name) in self.objects:
            self.change(kind, name, True)

    async def serve(self, node, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                fault = self.faults.get(node)
                kind = fault(method, target) if fault else None
                if kind == "silent":
                    await asyncio.sleep(3600)
                if kind == "refuse":
                    status, text = 503, b""
                else:
                    await asyncio.sleep(0.004)
                    status, text = await self.handle(method, target, body)
                    fault = self.faults.get(node)
                    if fault and fault(method, target) == "silent":
                        await asyncio.sleep(3600)  # a channel on which a response is lost returns nothing further
                writer.write(encode(status, {"Content-Type": "application/json", "Store-Era": self.era}, text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = parts.path.removeprefix("/v1/objects/").split("/")
        kind, name = path[0], path[1] if len(path) > 1 else None
        if method == "GET" and name is None:
            return await self.watch(kind, query) if "watch" in query else self.list(kind, query)
        if method == "GET":
            stored = self.objects.get((kind, name))
            return (200, self.encode_object(kind, name, stored)) if stored else (404, b"")
        sent = json.loads(body) if body else {}
        if method == "POST":
            name = sent["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, json.dumps(self.objects[kind, name]).encode()
            self.put(kind, name, sent.get("spec"))
            return 200, json.dumps(self.objects[kind, name]).encode()
        stored = self.objects.get((kind, name))
        if stored is None:
            return 404, b""
        expected = sent.get("metadata", {}).get("revision", query.get("revision"))
        if expected is not None and int(expected) != stored["metadata"]["revision"]:
            return 409, json.dumps(stored).encode()
        if method == "DELETE":
            self.remove(kind, name)
            return 200, b"{}"
        part = "status" if path[-1] == "status" else "spec"
        if stored[part] != sent.get(part):
            stored[part] = sent.get(part)
            self.change(kind, name)
        return 200, json.dumps(stored).encode()

    def list(self, kind, query):
        after = query.get("after", "")
        names = sorted(name for of, name in self.objects if of == kind and name > after)
        items = b",".join(self.encode_object(kind, name, self.objects[kind, name]) for name in names)
        return 200, b'{"items":[' + items + b'],"truncated":false,"at":%d}' % self.revision

    async def watch(self, kind, query):
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        if since > self.revision:
            return 410, b""
        while True:
            changed = self.changed
            events = [event for revision, of, event in self.changes if of == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, b'{"events":[' + b",".join(events) + b'],"at":%d}' % self.revision
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Replica:
    """A replica of a plain service. Registers itself, runs requests and records each run."""

    def __init__(self, store, record, service, address, port, work_s=0.015, version="v1"):
        self.store, self.record, self.service, self.version = store, record, service, version
        self.id = "i-%08x" % random.getrandbits(32)
        self.address, self.port = address, port
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.runs = []  # (time, request id, headers)
        self.arrivals = []  # (time, request id)
        self.more_headers = {}
        self.hook = None  # called for each request; returns a response (status, headers, body) or None
        self.writers = set()
        self.server = self.beat = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)
        self.register()
        self.beat = asyncio.create_task(self.heartbeats())

    def register(self):
        self.sequence += 1
        self.store.put("servers", self.id, {
            "service": self.service, "address": f"{self.address}:{self.port}", "zone": "hall-1",
            "version": self.version, "batch_slots": 6, "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born})

    async def heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def drain(self):
        """Reports draining. Returns when the store accepted that, in seconds of the record."""
        self.state = "draining"
        self.register()
        self.record.line("store acknowledged that", self.id, "is draining")
        return self.record.now()

    def stop(self):
        """Leaves: removes its entry and closes its channels."""
        self.record.line(self.id, "exits")
        if self.beat:
            self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.store.remove("servers", self.id)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                writer.write(await self.answer(head, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, head, body):
        headers = head[1]
        request = headers.get("foxtaildyke-request-id", "")
        echo = {"Foxtaildyke-Request-Id": request, **self.more_headers}
        if head[0].startswith("GET /healthz"):
            return encode(200 if self.state == "ready" else 503, {"Foxtaildyke-Replica-Id": self.id})
        if headers.get("foxtaildyke-expect-replica", self.id) != self.id:
            return encode(421, {**echo, "Foxtaildyke-Not-Executed": "1"})
        self.arrivals.append((self.record.now(), request))
        if self.hook:
            response = self.hook(head, body, echo)
            if response is not None:
                return response
        self.runs.append((self.record.now(), request, headers))
        self.record.line(self.id, "runs", request)
        await asyncio.sleep(self.work_s)
        text = f"{self.id} {request}".encode()
        stamp = {"Foxtaildyke-Server-Stamp": f"{self.id}.{request}"}
        if self.state != "ready":
            stamp["Connection"] = "close"
        return encode(200, {**echo, **stamp}, text)


def make_config(version, routes, keys=(KEY,)):
    """routes: (path prefix, service, route type, more fields)."""
    return {"version": version,
            "routes": [{"name": prefix.strip("/"), "hostname": "ficu95.example", "path_prefix": prefix,
                        "service": service, "traffic_split": [], "route_type": kind, "timeout_ms": 800,
                        "target_latency_ms": 100, "priority": 2, "max_attempts": 1 if kind == "unsafe" else 2, **more}
                       for prefix, service, kind, more in routes],
            "services": [{"name": name, "health_path": "/healthz", "max_connections": 96}
                         for name in sorted({route[1] for route in routes})],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "api_keys": list(keys)}]}


class Answer:
    def __init__(self, request, sent):
        self.request, self.sent = request, sent
        self.status, self.headers, self.body, self.done = 0, {}, b"", 0.0


class Fleet:
    """Gateways as processes."""

    def __init__(self, record, store, count):
        self.record, self.store, self.count = record, store, count
        net = f"127.{random.randint(20, 220)}.{random.randint(0, 250)}"
        self.ips = [f"{net}.{10 + index}" for index in range(count)]
        self.net = net
        self.port = self.free_ports()
        self.directory = tempfile.mkdtemp(prefix="foxtaildyke-review-")
        self.processes = [None] * count
        self.link_bytes_per_s = LINK_BYTES_PER_S
        self.link_free_at = [0.0] * count
        self.ids = itertools.count(random.getrandbits(48) << 12)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["gateway"]
        self.command = [os.path.join(ROOT, word) if index == 0 else word
                        for index, word in enumerate(self.role["run"].split())]
        if not os.access(self.command[0], os.X_OK):
            raise CannotRun("the gateway isn't built: " + self.role["run"])

    def free_ports(self):
        """Returns the first of 32 ports that are free at all addresses of the fleet."""
        for _ in range(100):
            first = random.randint(10000, 30000)
            sockets = []
            try:
                for ip in self.ips + [f"{self.net}.200", f"{self.net}.201"]:
                    for port in range(first, first + 32):
                        one = socket.socket()
                        sockets.append(one)
                        one.bind((ip, port))
                return first
            except OSError:
                pass
            finally:
                for one in sockets:
                    one.close()
        raise CannotRun("no free ports")

    def replica_address(self, number):
        return f"{self.net}.200", self.port + number

    async def start_store(self):
        for index in range(self.count):
            await self.store.listen(index, f"{self.net}.201", self.port + index)

    def fields(self, index):
        ip = self.ips[index]
        listen = {"frontend": f"{ip}:{self.port}", "readiness": f"{ip}:{self.port + 1}",
                  "control_plane": f"{ip}:{self.port + 2}"}
        return {"node_name": f"edge-{index + 1}", "zone": f"hall-{index % 3 + 1}", "ip": ip, "listen": listen,
                "internal_ports": [self.port + 10, self.port + 25], "bounds": BOUNDS,
                "seed_nodes": [f"{seed}:{self.port + 2}" for seed in self.ips[:3]],
                "platform": {"address": f"{self.net}.201:{self.port + index}"}}

    def settings(self, index):
        fields = self.fields(index)

        def fill(match):
            value = fields
            for part in match.group(1).split("."):
                value = value[int(part)] if isinstance(value, list) else value[part]
            return ",".join(value) if isinstance(value, list) else str(value)
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            text = re.sub(r"\{\{([a-z_0-9.]+)\}\}", fill, file.read())
        path = os.path.join(self.directory, f"edge-{index + 1}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def start(self, index):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FOXTAILDYKE_SETTINGS"] = self.settings(index)
        log = open(os.path.join(self.directory, f"edge-{index + 1}.log"), "ab")
        self.processes[index] = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.record.line(f"edge-{index + 1} started")

    def signal(self, index, number):
        self.processes[index].send_signal(number)
        self.record.line(f"edge-{index + 1} gets {signal.Signals(number).name}")

    def check_running(self):
        """Returns the names of gateways that have ended by themselves."""
        return [f"edge-{index + 1}" for index, process in enumerate(self.processes)
                if process and process.poll() is not None]

    async def exchange(self, ip, port, text, timeout):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), min(timeout, 1.0))
        try:
            writer.write(text)
            head = await asyncio.wait_for(read_head(reader), timeout)
            if head is None:
                return 0, {}, b""
            body = await asyncio.wait_for(read_body(reader, head[1]), timeout)
            return int(head[0].split(" ")[1]), head[1], body
        finally:
            writer.close()

    async def is_ready(self, index):
        try:
            text = b"GET /v1/readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n"
            return (await self.exchange(self.ips[index], self.port + 1, text, 1.0))[0] == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, indexes, limit_s=10.0):
        end = time.monotonic() + limit_s
        for index in indexes:
            while not await self.is_ready(index):
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def request(self, index, path, method="POST", body=b"{}", deadline_ms=1500, headers=None):
        """Sends one request as a client does, on a new channel, and records what it gets."""
        answer = Answer("%016x" % next(self.ids), self.record.now())
        fields = {"Host": "ficu95.example", "Foxtaildyke-Request-Id": answer.request,
                  "Foxtaildyke-Deadline-Ms": deadline_ms, "Authorization": f"Bearer {KEY}", **(headers or {})}
        text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        text = (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        self.record.line("client sends", answer.request, path, "to", f"edge-{index + 1}")
        try:
            answer.status, answer.headers, answer.body = await self.exchange(self.ips[index], self.port, text,
                                                                             deadline_ms / 1000 + 0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            answer.headers = {"error": type(error).__name__}
        answer.done = self.record.now()
        self.record.line("client gets", answer.status or answer.headers.get("error", "a closed channel"),
                         "for", answer.request)
        return answer

    async def write_paced(self, writer, index, body):
        """Writes a body at what all clients together send to a gateway: link_bytes_per_s."""
        for start in range(0, len(body), SLICE_BYTES):
            part = body[start:start + SLICE_BYTES]
            now = time.monotonic()
            at = max(now, self.link_free_at[index])
            self.link_free_at[index] = at + len(part) / self.link_bytes_per_s
            if at > now:
                await asyncio.sleep(at - now)
            writer.write(part)
            await writer.drain()

    async def kept_channel(self, index, path, until, answers, deadline_ms=1500, body=b"{}"):
        """Sends requests one after another on one channel, as a client that keeps it, until a time of the record.

        A channel that ends without an answer, although its request was sent, is recorded with status 0."""
        while self.record.now() < until:
            try:
                reader, writer = await asyncio.open_connection(self.ips[index], self.port)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            used = 0
            while self.record.now() < until:
                answer = Answer("%016x" % next(self.ids), self.record.now())
                answer.kept = used > 0
                text = (f"POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nFoxtaildyke-Request-Id: {answer.request}\r\n"
                        f"Foxtaildyke-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n")
                self.record.line("client sends", answer.request, path, "to", f"edge-{index + 1}")
                try:
                    writer.write(text.encode())
                    await asyncio.wait_for(self.write_paced(writer, index, body), deadline_ms / 1000)
                    head = await asyncio.wait_for(read_head(reader), deadline_ms / 1000 + 0.5)
                    if head is not None:
                        answer.body = await read_body(reader, head[1])
                        answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                    answer.headers = {"error": type(error).__name__}
                answer.done = self.record.now()
                answers.append(answer)
                self.record.line("client gets", answer.status or "a closed channel", "for", answer.request)
                used += 1
                if not answer.status or answer.headers.get("connection", "").lower() == "close":
                    break
                await asyncio.sleep(random.uniform(0.01, 0.06))
            writer.close()

    async def load(self, indexes, path, per_s, until, answers, **more):
        """Sends requests at an even rate, to the gateways in turn, until a time of the record."""
        tasks = set()
        for index in itertools.cycle(indexes):
            if self.record.now() >= until:
                break

            async def one(node=index):
                answers.append(await self.request(node, path, **more))
            task = asyncio.create_task(one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / per_s)
        if tasks:
            await asyncio.wait(tasks)

    def end(self):
        for process in self.processes:
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            say(f"logs in {self.directory}")
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def main(case, folder, count):
    """Runs a case: an async function of record, store and fleet that returns a list of what broke the rule."""
    async def run():
        record = Record(os.path.join(folder, "record.txt"))
        store = Store(record)
        fleet = Fleet(record, store, count)
        try:
            await fleet.start_store()
            broken = await asyncio.wait_for(case(record, store, fleet), 110)
            for text in broken:
                record.line("BROKEN:", text)
                say(f"broken: {text}")
            record.line("result:", "the rule was broken" if broken else "the rule held")
            say("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        finally:
            fleet.end()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that the gateways are ended
    try:
        return asyncio.run(run())
    except CannotRun as error:
        say(f"could not run: {error}")
    except Exception:  # a fault of the script must not look like a broken rule
        traceback.print_exc()
    return 2
