"""Stand-ins for the second review: the platform's store, replicas, callers and a proxy, all on loopback addresses, and the
gateway as deploy/system.toml runs it, with settings rendered from deploy/gateway.ini.in."""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import uuid

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SETTLE_S, DRAIN_S, GRACE_S, REVOKE_S, CONFIG_S = 3.0, 2.0, 8.0, 5.0, 2.0
BOUNDS = {"settle_window_ms": 3000, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
          "revoke_ms": 5000, "retry_ratio": 0.9, "retry_window_s": 10, "retry_slack": 52, "canary_share": 0.15,
          "canary_slack": 30}
PAGE_BYTES = 1 << 20  # of a list or of the events of a watch, "about 500 or 1 MB at most"; the bench's store cuts both
PROMISES = (408, 421, 429, 503)  # a response with such a status promises that the request has not run and never will


def is_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt in the case's folder."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, *words):
        self.file.write("%8.3f %s\n" % (self.now(), " ".join(str(word) for word in words)))
        self.file.flush()


async def read_head(reader):
    """Returns (start line, headers with lower-case names), or None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "") == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def hard_close(writer):
    """Closes a connection with a reset."""
    connection = writer.get_extra_info("socket")
    try:
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    except OSError:
        pass  # closed already
    writer.transport.abort()


class Store:
    """The platform's store: objects by kind and name, conditional writes, lists and watches, eras."""

    def __init__(self, record, host="127.0.0.1"):
        self.record, self.host, self.port = record, host, 0
        self.era, self.revision = 1, 100
        self.objects = {}  # (kind, name) -> object
        self.log = []  # (revision, kind, event)
        self.changed = asyncio.Event()
        self.writers = set()
        self.server = None
        self.is_down = False  # connections are reset, new ones too
        self.views = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def start_view(self, addresses):
        """Serves one gateway whose way to the replicas leads over proxies: `addresses` maps a replica's address to that of its
        proxy. Returns the address of this view."""
        server = await asyncio.start_server(lambda reader, writer: self.serve(reader, writer, addresses), self.host, 0)
        self.views.append(server)
        return "%s:%d" % (self.host, server.sockets[0].getsockname()[1])

    @property
    def address(self):
        return "%s:%d" % (self.host, self.port)

    def notify(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, kind, name, spec=None, status=None):
        """Writes an object as the operator or a replica does; returns its revision."""
        self.revision += 1
        known = self.objects.get((kind, name))
        body = {"metadata": {"name": name, "revision": self.revision,
                             "created": known["metadata"]["created"] if known else self.revision,
                             "finalizers": [], "deleting": False},
                "spec": spec if spec is not None else (known or {}).get("spec"),
                "status": status if status is not None else (known or {}).get("status")}
        self.objects[(kind, name)] = body
        self.log.append((self.revision, kind, {"object": body, "removed": False}))
        self.notify()
        return self.revision

    def remove(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known is None:
            return
        self.revision += 1
        known = json.loads(json.dumps(known))
        known["metadata"]["revision"] = self.revision
        self.log.append((self.revision, kind, {"object": known, "removed": True}))
        self.notify()

    def copy(self):
        return json.dumps([[list(key), value] for key, value in self.objects.items()]), self.revision

    def restore(self, copy):
        """Comes back from an older copy: what was written since is gone, revisions go back, the era rises."""
        text, self.revision = copy
        self.objects = {tuple(key): value for key, value in json.loads(text)}
        self.log = []
        self.floor = self.revision
        self.era += 1
        self.notify()

    floor = 0

    def set_down(self, is_down):
        self.is_down = is_down
        if is_down:
            for writer in list(self.writers):
                hard_close(writer)

    async def serve(self, reader, writer, addresses=None):
        if self.is_down:
            return hard_close(writer)
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                status, answer = await self.handle(method, target, body)
                if self.is_down:
                    break
                text = json.dumps(answer)
                for address, proxy in (addresses or {}).items():
                    text = text.replace(json.dumps(address), json.dumps(proxy))
                text = text.encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n"
                             % (status, self.era, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, body):
        path, _, query_text = target.partition("?")
        query = dict(part.split("=", 1) for part in query_text.split("&") if "=" in part)
        parts = path.strip("/").split("/")
        if parts[:2] != ["v1", "objects"]:
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")) / 1000)
        if method == "GET" and name is None:
            names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
            page = names[:500]
            return 200, {"items": [self.objects[(kind, n)] for n in page], "truncated": len(page) < len(names),
                         "at": self.revision}
        if method == "GET":
            known = self.objects.get((kind, name))
            return (200, known) if known else (404, {})
        sent = json.loads(body) if body else {}
        return self.write(method, kind, name, parts[4:] == ["status"], query, sent)

    def write(self, method, kind, name, is_status, query, sent):
        metadata = sent.get("metadata", {})
        name = name or metadata.get("name")
        known = self.objects.get((kind, name))
        revision = query.get("revision", metadata.get("revision"))
        if method == "POST":
            if known:
                return 409, known
            self.put(kind, name, sent.get("spec"), sent.get("status"))
            return 201, self.objects[(kind, name)]
        if not known:
            return 404, {}
        if revision is not None and int(revision) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        self.put(kind, name, None if is_status else sent.get("spec"), sent.get("status") if is_status else None)
        return 200, self.objects[(kind, name)]

    async def watch(self, kind, since, wait_s):
        end, era = time.monotonic() + wait_s, self.era
        while True:
            if era != self.era or since < self.floor or since > self.revision:
                return 410, {}
            events = [(revision, event) for revision, of, event in self.log if of == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                page, size = [], 0
                for revision, event in events:
                    size += len(json.dumps(event))
                    if page and size > PAGE_BYTES:
                        return 200, {"events": [event for _, event in page], "at": page[-1][0], "truncated": True}
                    page.append((revision, event))
                return 200, {"events": [event for _, event in page], "at": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Proxy:
    """A TCP proxy in front of one address. While it is cut it passes nothing on, in either direction, and answers nothing."""

    def __init__(self, target):
        self.target, self.host, self.port = target, "127.0.0.1", 0
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.server = None
        self.is_refusing = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "%s:%d" % (self.host, self.port)

    def cut(self):
        self.is_open.clear()

    def refuse(self):
        """Resets all connections, and new ones as soon as they are accepted."""
        self.is_refusing = True
        for writer in list(self.writers):
            hard_close(writer)

    def heal(self):
        self.is_refusing = False
        self.is_open.set()

    async def serve(self, reader, writer):
        if self.is_refusing:
            return hard_close(writer)
        target = None
        self.writers.add(writer)
        try:
            await self.is_open.wait()
            host, port = self.target.split(":")
            upstream, target = await asyncio.open_connection(host, int(port))
            done, pending = await asyncio.wait([asyncio.create_task(self.copy(reader, target)),
                                                asyncio.create_task(self.copy(upstream, writer))],
                                               return_when=asyncio.FIRST_COMPLETED)
            for task in pending:
                task.cancel()
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            for side in (writer, target):
                if side:
                    hard_close(side)

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass


class Replica:
    """A replica that registers itself in the store and records each run. `behave` may replace how it answers."""

    def __init__(self, record, store, service, host, identity=None, version="v1", slots=6, zone="zone-a", beat_s=1.2):
        self.record, self.store, self.service, self.host = record, store, service, host
        self.id = identity or "i-" + uuid.uuid4().hex[:8]
        self.version, self.slots, self.zone, self.beat_s = version, slots, zone, beat_s
        self.port, self.state, self.born, self.sequence = 0, "ready", int(time.time() * 1000), 0
        self.runs = []  # (time, id, headers, path, body)
        self.arrivals = []
        self.writers = set()
        self.server = self.beat = None
        self.extra = {}  # headers of all answers
        self.behave = None
        self.work_s = 0.01

    async def start(self, is_registered=True):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        if is_registered:
            self.register()
            self.beat = asyncio.create_task(self.beats())

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": "%s:%d" % (self.host, self.port), "zone": self.zone,
                "version": self.version, "batch_slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born}

    def register(self):
        if not self.store.is_down:
            self.store.put("servers", self.id, self.entry())

    async def beats(self):
        while True:
            await asyncio.sleep(self.beat_s)
            self.register()

    def stop_beats(self):
        if self.beat:
            self.beat.cancel()
            self.beat = None

    async def crash(self):
        """The process ends: its connections are reset and new ones refused."""
        self.stop_beats()
        self.server.close()
        for writer in list(self.writers):
            hard_close(writer)

    def headers(self, head, more=None):
        fields = {"Foxtaildyke-Request-Id": head[1].get("foxtaildyke-request-id", ""),
                  "Foxtaildyke-Server-Stamp": "stamp." + self.id, "Foxtaildyke-Replica-Id": self.id}
        fields.update(self.extra)
        fields.update(more or {})
        return fields

    @staticmethod
    def encode(status, fields, body=None):
        if body is not None:
            fields = dict(fields, **{"Content-Length": len(body)})
        return ("HTTP/1.1 %d X\r\n" % status + "".join("%s: %s\r\n" % item for item in fields.items()) + "\r\n").encode() \
            + (body or b"")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                await self.answer(head, body, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, head, body, reader, writer):
        identity = head[1].get("foxtaildyke-request-id", "")
        self.arrivals.append((self.record.now(), identity, head, body))
        expected = head[1].get("foxtaildyke-expect-replica")
        if expected and expected != self.id:
            self.record.line(self.id, "turns away", identity, "(421)")
            writer.write(self.encode(421, self.headers(head, {"Foxtaildyke-Not-Executed": "1"}), b""))
            return
        if self.behave and await self.behave(self, head, body, reader, writer):
            return
        self.run(head, body)
        await asyncio.sleep(self.work_s)
        writer.write(self.encode(200, self.headers(head), b"answer to " + identity.encode()))

    def run(self, head, body):
        identity = head[1].get("foxtaildyke-request-id", "")
        self.runs.append((self.record.now(), identity, head, body))
        self.record.line(self.id, "runs", identity, head[0], "tenant", head[1].get("foxtaildyke-tenant"),
                         "last-event-id", head[1].get("last-event-id"))


def route(name, path, service, kind, **more):
    fields = {"name": name, "hostname": "desk.example", "path_prefix": path, "service": service, "route_type": kind,
              "timeout_ms": 800, "target_latency_ms": 100, "priority": 1, "max_attempts": 2 if kind == "safe" else 1}
    fields.update(more)
    return fields


def configuration(version, routes, services, tenants=None):
    spec = {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz", "max_connections": 96} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}
    if tenants is not None:
        spec["tenants"] = [{"name": name, "api_keys": keys} for name, keys in tenants.items()]
    return spec


def render(template, fields):
    """Renders the parts of the platform's template language that deploy/gateway.ini.in uses."""
    def value(path):
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else (found or {}).get(part)
            if found is None:
                return None
        return found

    def section(match):
        is_present = bool(value(match.group(2)))
        return match.group(3) if is_present == (match.group(1) == "#") else ""

    def placeholder(match):
        path, _, form = match.group(1).partition("|")
        found = value(path)
        if form == "json":
            return json.dumps(found)
        if isinstance(found, list):
            return ",".join(str(item) for item in found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", placeholder, text)


class Gateway:
    """One gateway process on a loopback address of its own."""

    def __init__(self, record, folder, store_address, index, seeds, ports):
        self.record, self.index, self.process = record, index, None
        self.ip = host_ip(index)
        self.name = "edge-%d" % index
        self.ports = ports
        fields = {"node_name": self.name, "zone": "zone-%s" % "abc"[index % 3], "ip": self.ip, "bounds": BOUNDS,
                  "listen": {"frontend": "%s:%d" % (self.ip, ports[0]), "readiness": "%s:%d" % (self.ip, ports[1]),
                             "control_plane": "%s:%d" % (self.ip, ports[2])},
                  "internal_ports": [ports[3], ports[4]], "seed_nodes": seeds, "platform": {"address": store_address},
                  "limits": {"memory_mb": 260}}
        with open(os.path.join(REPOSITORY, "deploy", "gateway.ini.in"), encoding="utf-8") as file:
            text = render(file.read(), fields)
        self.settings = os.path.join(folder, self.name + ".ini")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.log_path = os.path.join(folder, self.name + ".log")

    async def start(self):
        run = deploy_run()
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(REPOSITORY, run[0]), *run[1:], cwd=REPOSITORY, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                     "FOXTAILDYKE_SETTINGS": self.settings})
        self.record.line(self.name, "starts as process", self.process.pid)

    def signal(self, number):
        self.record.line(self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        answer = await call(self.ip, self.ports[1], "GET", "/v1/readyz", {}, timeout=1.0)
        return answer.status == 200

    async def wait_ready(self, limit=15.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                self.record.line(self.name, "is ready")
                return True
            await asyncio.sleep(0.05)
        return False

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()

    async def end(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


def host_ip(index):
    """Returns the loopback address of a gateway; scripts that run at the same time use different ones."""
    return "127.%d.%d.%d" % (1 + os.getpid() % 250, 1 + os.getpid() // 250 % 250, 1 + index)


def deploy_run():
    with open(os.path.join(REPOSITORY, "deploy", "system.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "(.*)"', file.read(), re.M).group(1).split(" ")


def free_ports(hosts, count):
    """Returns ports that are free on all the hosts."""
    ports, port = [], 20000 + os.getpid() % 10000
    while len(ports) < count:
        port += 1
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        ports.append(port)
    return ports


class Answer:
    def __init__(self):
        self.sent_at = self.read_at = 0.0
        self.status, self.headers, self.body, self.is_complete = 0, {}, b"", False
        self.events = []
        self.failure = ""


def request_bytes(method, path, headers, body=b""):
    fields = {"Host": "desk.example"}
    fields.update(headers)
    if body or method == "POST":
        fields["Content-Length"] = len(body)
    return ("%s %s HTTP/1.1\r\n" % (method, path) + "".join("%s: %s\r\n" % item for item in fields.items())
            + "\r\n").encode() + body


async def read_answer(reader, answer):
    head = await read_head(reader)
    if head is None:
        answer.failure = "closed without an answer"
        return
    answer.status = int(head[0].split(" ")[1])
    answer.headers = head[1]
    try:
        if head[1].get("transfer-encoding") == "chunked":
            while True:
                line = await reader.readline()
                if not line.strip():
                    answer.failure = "ends early"
                    return
                size = int(line, 16)
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        else:
            answer.body = await reader.readexactly(int(head[1].get("content-length", "0")))
        answer.is_complete = True
    except (asyncio.IncompleteReadError, ConnectionError):
        answer.failure = "ends early"


async def call(ip, port, method, path, headers, body=b"", timeout=5.0, record=None, clock=time.monotonic):
    """Sends one request on a connection of its own."""
    answer = Answer()
    answer.sent_at = clock()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1.0)
        answer.sent_at = clock()
        writer.write(request_bytes(method, path, headers, body))
        await asyncio.wait_for(read_answer(reader, answer), timeout)
    except asyncio.TimeoutError:
        answer.failure = "no answer in time"
    except OSError as failure:
        answer.failure = type(failure).__name__
    finally:
        if writer:
            writer.close()
    answer.read_at = clock()
    if record:
        record.line("client", headers.get("Foxtaildyke-Request-Id", "-"), method, path, "->", answer.status or "-",
                    "complete" if answer.is_complete else answer.failure)
    return answer


def new_id():
    return uuid.uuid4().hex[:16]


class Fleet:
    """Store, gateways and replicas of one case; ends all processes that it started."""

    def __init__(self, folder, count=3, seeds=3):
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="review-2-")
        self.store = Store(self.record)
        self.count, self.seed_count = count, seeds
        self.gateways, self.replicas = [], []
        self.broken = []

    async def start_store(self):
        await self.store.start()

    def make_gateways(self, store_addresses=None):
        ips = [host_ip(index) for index in range(self.count)]
        ports = free_ports(ips, 5)
        seeds = ["%s:%d" % (ip, ports[2]) for ip in ips[:self.seed_count]]
        for index in range(self.count):
            address = store_addresses[index] if store_addresses else self.store.address
            self.gateways.append(Gateway(self.record, self.temporary, address, index, seeds, ports))

    async def start_gateways(self):
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            if not await gateway.wait_ready():
                raise RuntimeError(gateway.name + " doesn't get ready")

    async def add_replica(self, service, index, **more):
        replica = Replica(self.record, self.store, service, "127.0.%d.%d" % (80, index + 1), **more)
        await replica.start()
        self.replicas.append(replica)
        return replica

    async def request(self, gateway, method, path, key=None, body=b"", headers=None, timeout=5.0, identity=None):
        fields = {"Foxtaildyke-Request-Id": identity or new_id(), "Foxtaildyke-Deadline-Ms": "1500"}
        if key:
            fields["Authorization"] = "Bearer " + key
        fields.update(headers or {})
        answer = await call(gateway.ip, gateway.ports[0], method, path, fields, body, timeout, self.record,
                            self.record.now)
        answer.id = fields["Foxtaildyke-Request-Id"]
        return answer

    def report(self, *words):
        self.broken.append(" ".join(str(word) for word in words))
        self.record.line("BROKEN:", *words)

    async def end(self):
        for gateway in self.gateways:
            await gateway.end()
        for replica in self.replicas:
            replica.stop_beats()
        shutil.rmtree(self.temporary, ignore_errors=True)


def run_case(folder, case, limit=110.0, **options):
    """Runs a case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    async def play():
        fleet = Fleet(folder, **options)
        try:
            await asyncio.wait_for(case(fleet), limit)
        except Exception as failure:  # pylint: disable=broad-except
            fleet.record.line("couldn't run:", repr(failure))
            print("couldn't run:", repr(failure))
            if os.environ.get("KEEP"):
                for gateway in fleet.gateways:
                    shutil.copy(gateway.log_path, folder)
            return 2
        finally:
            if os.environ.get("KEEP"):
                for gateway in fleet.gateways:
                    shutil.copy(gateway.log_path, os.environ["KEEP"])
            await fleet.end()
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(0.1)
        for line in fleet.broken:
            print("BROKEN:", line)
        fleet.record.line("the rule was broken" if fleet.broken else "the rule held")
        return 1 if fleet.broken else 0

    sys.exit(asyncio.run(play()))
