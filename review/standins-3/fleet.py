"""Stand-ins for the scripts of review/11 to review/15: the platform's store, replicas, clients, and gateways as processes.

The store, the replicas and the clients follow PROTOCOL.md and the news pages; a case sets what they do beyond serving.
Everything listens on the loopback address, on free ports.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
REPOSITORY = os.path.dirname(os.path.dirname(HERE))
HOST = "127.0.0.1"
HEARTBEAT_S = 1.2
BOUNDS = {"settle_window_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "revoke_ms": 5000,
          "retry_ratio": 0.9, "retry_window_s": 10, "retry_slack": 52, "canary_share": 0.15, "canary_slack": 30}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_ports = set()


def free_port():
    while True:
        with socket.socket() as probe:
            probe.bind(("0.0.0.0", 0))  # free at all loopback addresses
            port = probe.getsockname()[1]
        if port not in _ports:
            _ports.add(port)
            return port


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self):
        self.start, self.lines = time.monotonic(), []

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.lines.append(f"{self.now():8.3f} s  {text}")

    def write(self, path):
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


class Message:
    """Head and body of a request or an answer."""

    def __init__(self, line, headers, body=b""):
        self.line, self.headers, self.body = line, headers, body

    def get(self, name, default=""):
        return next((value for key, value in self.headers if key.lower() == name.lower()), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    return Message(lines[0], [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line])


async def read_request(reader):
    message = await read_head(reader)
    message.body = await reader.readexactly(int(message.get("Content-Length", "0")))
    return message


def head(status, headers, length=None):
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Status'}"] + [f"{key}: {value}" for key, value in headers]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Listener:
    """Accepts connections and serves them until stopped."""

    def __init__(self):
        self.tasks, self.server, self.port = set(), None, free_port()

    async def listen(self, serve):
        async def serve_one(reader, writer):
            task = asyncio.current_task()
            self.tasks.add(task)
            try:
                await serve(reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, asyncio.LimitOverrunError):
                pass
            finally:
                self.tasks.discard(task)
                writer.close()
        self.server = await asyncio.start_server(serve_one, HOST, self.port, backlog=512)
        return self

    def drop_connections(self):
        for task in list(self.tasks):
            task.cancel()

    def close(self):
        if self.server:
            self.server.close()
            self.server = None
        self.drop_connections()


class Store:
    """The platform's store: objects by kind and name, lists, watches with a history, conditional writes, eras."""

    def __init__(self, record, first_era=1):
        self.record, self.era, self.revision = record, first_era, 100
        self.objects, self.history, self.oldest = {}, [], 100
        self.changed, self.is_down, self.is_mute, self.copied = asyncio.Condition(), False, False, None
        self.listeners = []

    async def listen(self, view=lambda kind, spec: spec):
        """Opens an address. `view` changes what is shown there: replicas as seen over a host's own network paths."""
        listener = Listener()

        async def serve(reader, writer):
            while True:
                request = await read_request(reader)
                while self.is_down:
                    await asyncio.sleep(0.02)
                status, body = await self.answer(request, view)
                if self.is_down:
                    return
                text = json.dumps(body).encode()
                writer.write(head(status, [("Content-Type", "application/json"), ("Store-Era", self.era)], len(text)) + text)
                await writer.drain()
        await listener.listen(serve)
        listener.serve = serve
        self.listeners.append(listener)
        return listener.port

    def cut(self, port):
        """Cuts the host that uses the address off: its channels are reset, new ones refused."""
        next(listener for listener in self.listeners if listener.port == port).close()

    async def heal(self, port):
        listener = next(listener for listener in self.listeners if listener.port == port)
        await listener.listen(listener.serve)

    def shown(self, name, item, view, kind):
        return {"metadata": {"name": name, "revision": item["revision"], "created": item["created"], "finalizers": [],
                             "deleting": False}, "spec": view(kind, item["spec"]), "status": item["status"]}

    async def put(self, kind, name, spec=None, status=None):
        self.revision += 1
        item = self.objects.get((kind, name), {"created": self.revision, "spec": None, "status": None})
        item = dict(item, revision=self.revision)
        if spec is not None:
            item["spec"] = spec
        if status is not None:
            item["status"] = status
        self.objects[kind, name] = item
        await self.note(kind, name, item, False)
        return self.revision

    async def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            await self.note(kind, name, dict(item, revision=self.revision), True)

    async def note(self, kind, name, item, is_removed):
        self.history.append((self.revision, kind, name, item, is_removed))
        async with self.changed:
            self.changed.notify_all()

    def take_copy(self):
        self.copied = (dict(self.objects), list(self.history), self.revision, self.oldest)

    async def go_down(self):
        """Answers nothing and cuts what is open."""
        self.is_down = True
        for listener in self.listeners:
            listener.drop_connections()

    async def come_back(self, from_copy):
        if from_copy:
            objects, history, self.revision, self.oldest = self.copied
            self.objects, self.history = dict(objects), list(history)
            self.era += 1
        self.is_down = False

    async def lapse(self, name):
        """Removes an entry after three heartbeats of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.remove("servers", name)

    async def compact(self):
        """Watches hear nothing for a second while changes are made; then the changes so far are dropped, and a watch from
        before them gets 410."""
        self.is_mute = True
        await asyncio.sleep(1)
        self.history, self.oldest, self.is_mute = [], self.revision, False
        async with self.changed:
            self.changed.notify_all()

    async def answer(self, request, view):
        method, target, _ = request.line.split(" ")
        path, _, query = target.partition("?")
        parameters = dict(part.split("=", 1) for part in query.split("&") if part)
        parts = path.strip("/").split("/")[2:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None:
            if "watch" in parameters:
                return await self.watch(kind, int(parameters["watch"]), int(parameters.get("wait_ms", "0")) / 1000, view)
            items = [self.shown(of, item, view, kind) for (what, of), item in sorted(self.objects.items())
                     if what == kind and of > parameters.get("after", "")]
            return 200, {"items": items, "truncated": False, "at": self.revision}
        body = json.loads(request.body) if request.body else {}
        name = name or body.get("metadata", {}).get("name")
        item = self.objects.get((kind, name))
        if method == "GET":
            return (200, self.shown(name, item, view, kind)) if item else (404, {})
        condition = body.get("metadata", {}).get("revision", parameters.get("revision"))
        if method == "POST" and item:
            return 409, self.shown(name, item, view, kind)
        if method != "POST" and not item:
            return 404, {}
        if item and condition is not None and int(condition) != item["revision"]:
            return 409, self.shown(name, item, view, kind)
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        if len(parts) > 2:
            await self.put(kind, name, status=body.get("status"))
        else:
            await self.put(kind, name, spec=body.get("spec"))
        self.record.add(f"store: {method} {path} by a gateway")
        return 200, self.shown(name, self.objects[kind, name], view, kind)

    async def watch(self, kind, after, wait_s, view):
        end = time.monotonic() + wait_s
        while True:
            if after < self.oldest or after > self.revision:
                return 410, {}
            events = [{"removed": is_removed, "object": self.shown(name, item, view, kind)}
                      for revision, what, name, item, is_removed in self.history if what == kind and revision > after and not self.is_mute]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Replica:
    """A sound server. `serve(replica, request, writer)` answers a request; the default answers at once."""

    def __init__(self, record, store, name, service, serve=None, version="v1", slots=8):
        self.record, self.store, self.name, self.service, self.version = record, store, name, service, version
        self.serve, self.slots, self.state, self.sequence = serve or answer_at_once, slots, "ready", 0
        self.born, self.runs, self.is_writing, self.beat = int(time.time() * 1000), [], True, None
        self.listener = Listener()

    async def start(self):
        await self.listener.listen(self.serve_connection)
        self.beat = asyncio.create_task(self.write_entries())
        return self

    def spec(self):
        return {"service": self.service, "address": f"{HOST}:{self.listener.port}", "zone": "zone-a",
                "version": self.version, "batch_slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def register(self):
        """Writes the entry and returns once the store has accepted it."""
        while self.store.is_down:
            await asyncio.sleep(0.02)
        await self.store.put("servers", self.name, self.spec())

    async def write_entries(self):
        while True:
            if self.is_writing:
                await self.register()
            await asyncio.sleep(HEARTBEAT_S)
            self.sequence += 1

    async def serve_connection(self, reader, writer):
        while True:
            request = await read_request(reader)
            expected = request.get("Foxtaildyke-Expect-Replica")
            if expected and expected != self.name:
                writer.write(head(421, [("Foxtaildyke-Replica-Id", self.name), ("Foxtaildyke-Not-Executed", "1")], 0))
                await writer.drain()
                continue
            await self.serve(self, request, writer)
            await writer.drain()

    def note_run(self, request):
        number = request.get("Foxtaildyke-Request-Id")
        self.runs.append((self.record.now(), number))
        self.record.add(f"replica {self.name} runs {number} (model {request.get('Foxtaildyke-Model') or '-'})")

    def headers(self, request):
        return [("Foxtaildyke-Request-Id", request.get("Foxtaildyke-Request-Id")),
                ("Foxtaildyke-Server-Stamp", f"stamp.{self.name}")]

    def close(self):
        if self.beat:
            self.beat.cancel()
        self.listener.close()


async def answer_at_once(replica, request, writer):
    replica.note_run(request)
    body = f"answer of {replica.name}".encode()
    writer.write(head(200, replica.headers(request), len(body)) + body)


class Path:
    """A host's own network path to a replica: passes bytes on, or refuses and resets everything while it is cut."""

    def __init__(self, replica):
        self.replica, self.listener = replica, Listener()

    async def open(self):
        await self.listener.listen(self.serve)
        return self

    async def serve(self, reader, writer):
        onward_reader, onward = await asyncio.open_connection(HOST, self.replica.listener.port)

        async def pump(source, sink):
            while data := await source.read(65536):
                sink.write(data)
                await sink.drain()
            sink.close()
        pumps = [asyncio.create_task(pump(reader, onward)), asyncio.create_task(pump(onward_reader, writer))]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in pumps:
                task.cancel()
            onward.close()

    def cut(self):
        self.listener.close()


def render(template, fields):
    """Fills in a settings template as DEPLOY.md tells it, as far as deploy/gateway.ini.in uses it."""
    def value_of(name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
        return value

    def text_of(match):
        name, _, form = match.group(1).partition("|")
        value = value_of(name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else ",".join(map(str, value)) if isinstance(value, list) else str(value)
    text = re.sub(r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda m: "" if value_of(m.group(1)) else m.group(2), template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", text_of, text)


class Gateways:
    """Gateways as processes, as deploy/system.toml runs them."""

    def __init__(self, record):
        self.record, self.directory, self.hosts = record, tempfile.mkdtemp(prefix="review-"), {}
        self.ports = {key: free_port() for key in ("frontend", "readiness", "control_plane", "first", "last")}

    def add(self, name, store_port):
        """Prepares a host. Each has an address of its own; the ports are the same on all."""
        self.hosts[name] = {"ip": f"127.0.0.{11 + len(self.hosts)}", "store": store_port, "process": None}

    async def start(self, name):
        host = self.hosts[name]
        fields = {"node_name": name, "ip": host["ip"], "zone": "zone-a", "bounds": BOUNDS, "limits": {"memory_mb": 260},
                  "listen": {key: f"{host['ip']}:{self.ports[key]}" for key in ("frontend", "readiness", "control_plane")},
                  "internal_ports": [self.ports["first"], self.ports["last"]],
                  "platform": {"address": f"{HOST}:{host['store']}"},
                  "seed_nodes": [f"{other['ip']}:{self.ports['control_plane']}" for other in list(self.hosts.values())[:3]]}
        with open(os.path.join(REPOSITORY, "deploy", "gateway.ini.in"), encoding="utf-8") as file:
            text = render(file.read(), fields)
        path = os.path.join(self.directory, name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text + "\n")
        with open(os.path.join(self.directory, name + ".log"), "ab") as log:
            host["process"] = await asyncio.create_subprocess_exec(
                os.path.join(REPOSITORY, "target", "foxtaildyke-gateway"), cwd=REPOSITORY, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log, env=dict(os.environ, FOXTAILDYKE_SETTINGS=path))
        self.record.add(f"gateway {name} started")

    async def is_ready(self, name):
        answer = await send((self.hosts[name]["ip"], self.ports["readiness"]), "GET", "/v1/readyz", [], timeout_s=1)
        return answer.status == 200

    async def wait_ready(self, name, timeout_s=15):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await self.is_ready(name):
                self.record.add(f"gateway {name} is ready")
                return True
            await asyncio.sleep(0.1)
        return False

    def frontend(self, name):
        return self.hosts[name]["ip"], self.ports["frontend"]

    def signal(self, name, number):
        self.record.add(f"gateway {name}: signal {signal.Signals(number).name}")
        self.hosts[name]["process"].send_signal(number)

    def log(self, name):
        with open(os.path.join(self.directory, name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    async def stop(self):
        for host in self.hosts.values():
            if host["process"] and host["process"].returncode is None:
                host["process"].kill()
                await host["process"].wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.is_complete, self.ended_at = 0, [], b"", False, 0.0


async def send(address, method, target, headers, body=b"", timeout_s=30):
    """Sends a request on a new channel and reads the answer. Status 0: none."""
    answer, writer = Answer(), None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address)
        lines = [f"{method} {target} HTTP/1.1", "Host: desk.example"] + [f"{key}: {value}" for key, value in headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        message = await read_head(reader)
        answer.status, answer.headers = int(message.line.split(" ")[1]), message.headers
        if message.get("Transfer-Encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            answer.body = await reader.readexactly(int(message.get("Content-Length", "0")))
        answer.is_complete = True
    try:
        await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        pass
    finally:
        answer.ended_at = time.monotonic()
        if writer:
            writer.close()
    return answer


def run_case(play, record_path):
    """Runs `play(record)` for 110 s at most. It returns whether the rule was broken, or None if the case couldn't run."""
    record = Record()
    is_broken = None
    try:
        is_broken = asyncio.run(asyncio.wait_for(play(record), 110))
    except Exception as failure:  # any failure of a stand-in means that nothing can be said about the rule
        record.add(f"the case couldn't run: {failure!r}")
    record.add("the case couldn't run" if is_broken is None else "RULE BROKEN" if is_broken else "the rule held")
    record.write(record_path)
    print(record.lines[-1])
    return 2 if is_broken is None else int(is_broken)
