"""Stand-ins for the users' platform, their backends, their clients and the links between zones.

All of it listens on loopback addresses and lives in one event loop. It follows the users' pages: the store answers
lists, watches and conditional writes; a backend runs `slots` requests at once, queues a few more and turns the rest
away with X-Not-Executed; clients keep connections open and send one request at a time on each.
"""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import tempfile
import time
import zlib

LOCALHOST = "127.0.0.1"


def now():
    return time.monotonic()


def free_port(taken=set()):
    """A port below those that the kernel gives to outgoing connections, so that none of these takes it first."""
    while True:
        port = random.randrange(11000, 32000)
        if port in taken:
            continue
        taken.add(port)
        with socket.socket() as s:
            try:
                s.bind((LOCALHOST, port))
            except OSError:
                continue
        return port


class Record:
    """What was sent, answered and run, a line for each event."""

    def __init__(self, path):
        self.began = now()
        self.file = open(path, "w", buffering=1)

    def __call__(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now() - self.began:9.4f} {what} {text}\n")


async def read_message(reader):
    """One HTTP message as (first line, headers in lower case, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def message(status, body=b"", headers=()):
    reasons = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
               503: "Service Unavailable"}
    text = f"HTTP/1.1 {status} {reasons.get(status, 'Status')}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def reset(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's metadata store."""

    PAGE = 500

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.log = []
        self.changed = asyncio.Event()

    async def listen(self):
        self.server = await asyncio.start_server(self._accept, LOCALHOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        old = self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        created = old["meta"]["CreateRev"] if old else self.revision
        item = {"meta": {"Name": name, "Revision": self.revision, "CreateRev": created, "Finalizers": [],
                         "Deleting": False}, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self.log.append((self.revision, kind, {"Object": item, "Tombstone": False}))
        self._wake()
        return item

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is None:
            return None
        self.revision += 1
        self.log.append((self.revision, kind, {"Object": item, "Tombstone": True}))
        self._wake()
        return item

    async def _accept(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target = line.split(" ")[:2]
                path, _, query = target.partition("?")
                args = dict(it.split("=", 1) for it in query.split("&") if it)
                await asyncio.sleep(0.004)
                writer.write(await self._answer(method, path.split("/")[3:], args, body))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    @staticmethod
    def _json(status, value):
        return message(status, json.dumps(value).encode(), [("Content-Type", "application/json")])

    async def _answer(self, method, path, args, body):
        kind = path[0]
        if method == "GET" and len(path) > 1:
            item = self.objects.get((kind, path[1]))
            return self._json(200, item) if item else message(404)
        if method == "GET" and "Watch" in args:
            return await self._watch(kind, int(args["Watch"]), int(args["WaitMs"]) / 1000)
        if method == "GET":
            items = [it for (k, name), it in sorted(self.objects.items()) if k == kind and name > args.get("after", "")]
            return self._json(200, {"items": items[:self.PAGE], "More": len(items) > self.PAGE,
                                    "CurrentRev": self.revision})
        if method == "DELETE":
            item = self.remove(kind, path[1])
            return self._json(200, item) if item else message(404)
        item = json.loads(body)
        name = path[1] if len(path) > 1 else item["meta"]["Name"]
        held = self.objects.get((kind, name))
        if method == "POST":
            if held:
                return self._json(409, held)
            return self._json(201, self.put(kind, name, item["spec"]))
        if held is None:
            return message(404)
        if item["meta"].get("Revision", held["meta"]["Revision"]) != held["meta"]["Revision"]:
            return self._json(409, held)
        return self._json(200, self.put(kind, name, item["spec"]))

    async def _watch(self, kind, since, wait):
        end = now() + wait
        while True:
            events = [it for revision, k, it in self.log if revision > since and k == kind]
            left = end - now()
            if events or left <= 0:
                return self._json(200, {"events": events, "CurrentRev": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Backend:
    """One backend. `work(headers)` gives the seconds that a request takes."""

    def __init__(self, record, service, name, zone, slots=2, queue=8, work=lambda headers: 0.05):
        self.record, self.service, self.name, self.zone = record, service, name, zone
        self.slots, self.queue, self.work = slots, queue, work
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        # (request id, seconds since the record began) of each request that it began to work on.
        self.runs = []
        self.answers = 0
        self.stamps = 0

    async def listen(self):
        self.server = await asyncio.start_server(self._accept, LOCALHOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, port=None):
        return {"Backend": self.service, "Address": f"{LOCALHOST}:{port or self.port}", "Zone": self.zone,
                "Version": "v1", "Slots": self.slots, "State": "ready", "WarmupLeftMs": 0, "Seq": 1}

    def headers(self, request):
        return [("X-Request-Id", request)]

    def stamp(self):
        self.stamps += 1
        return f"{self.name}.{self.stamps:x}"

    async def _accept(self, reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                await self.serve(line, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve(self, line, headers, body, writer):
        request = headers.get("x-request-id", "")
        if line.split(" ")[1] == "/health":
            writer.write(message(200, b"", [("X-Instance-Id", self.name)]))
            return
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(message(421, b"", self.headers(request) + [("X-Instance-Id", self.name)]))
            return
        if self.running >= self.slots and self.waiting >= self.queue:
            self.record("turned-away", backend=self.name, id=request)
            await self.turned_away(request, writer)
            return
        ends = now() + int(headers.get("x-deadline-ms", "60000")) / 1000
        self.waiting += 1
        try:
            await asyncio.wait_for(self.free.acquire(), max(ends - now(), 0.001))
        except asyncio.TimeoutError:
            self.record("turned-away", backend=self.name, id=request, why="deadline")
            writer.write(self.refusal(request))
            return
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.runs.append((request, now() - self.record.began))
            self.record("run", backend=self.name, id=request)
            left = ends - now()
            work = self.work(headers)
            await asyncio.sleep(min(work, max(left, 0)))
            if work > left:
                answer = message(504, b"", self.headers(request) + [("X-Server-Stamp", self.stamp())])
            else:
                body = f"{self.service} {request} done\n".encode()
                answer = message(200, body, self.headers(request) + [("X-Server-Stamp", self.stamp())])
        finally:
            self.running -= 1
            self.free.release()
        self.answers += 1
        await self.answered(request, answer, writer)

    def refusal(self, request):
        return message(503, b"", self.headers(request) + [("X-Not-Executed", "1")])

    async def turned_away(self, request, writer):
        writer.write(self.refusal(request))

    async def answered(self, request, answer, writer):
        writer.write(answer)


class Link:
    """The path to one address. It can be cut: connections are reset, and new ones hang until it heals."""

    BACKLOG = 128

    def __init__(self, target):
        self.target = target
        self.writers = set()
        self.fillers = []

    async def listen(self):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((LOCALHOST, 0))
        self.sock.setblocking(False)
        self.sock.listen(self.BACKLOG)
        self.port = self.sock.getsockname()[1]
        asyncio.get_event_loop().add_reader(self.sock, self._accept)

    def _accept(self):
        try:
            near, _ = self.sock.accept()
        except OSError:
            return
        near.setblocking(False)
        near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        asyncio.ensure_future(self._serve(near))

    async def _serve(self, near):
        near_reader, near_writer = await asyncio.open_connection(sock=near)
        self.writers.add(near_writer)
        far_writer = None
        try:
            far_reader, far_writer = await asyncio.open_connection(LOCALHOST, self.target)
            self.writers.add(far_writer)
            await asyncio.gather(self._pump(near_reader, far_writer), self._pump(far_reader, near_writer))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for it in (near_writer, far_writer):
                if it is not None:
                    self.writers.discard(it)
                    it.close()

    @staticmethod
    async def _pump(reader, writer):
        while True:
            data = await reader.read(65536)
            if not data:
                writer.close()
                return
            writer.write(data)

    def cut(self):
        """As a partition that resets what is open: behind it nothing answers, so new connections hang."""
        asyncio.get_event_loop().remove_reader(self.sock)
        # The queue of new connections is kept full, so that the kernel drops their opening packets.
        self.sock.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((LOCALHOST, self.port))
            self.fillers.append(filler)
        for it in list(self.writers):
            reset(it)

    def heal(self):
        for it in self.fillers:
            it.close()
        self.fillers = []
        self.sock.listen(self.BACKLOG)
        asyncio.get_event_loop().add_reader(self.sock, self._accept)


async def hangs(port, seconds=0.3):
    """Whether a new connection to the port neither opens nor fails in that time."""
    try:
        _, writer = await asyncio.wait_for(asyncio.open_connection(LOCALHOST, port), seconds)
    except asyncio.TimeoutError:
        return True
    except OSError:
        return False
    writer.close()
    return False


class Daemon:
    """One process of the system, as deploy/system.toml starts it."""

    def __init__(self, name, zone, zones, store, folder, binary, slack=58):
        self.name, self.zone, self.binary = name, zone, binary
        self.zones, self.store_port, self.slack = zones, store.port, slack
        self.path = os.path.join(folder, name + ".json")
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None

    def settings(self):
        return {
            "instance": self.name, "data_centre": self.zone,
            "edge": {
                "callers": f"{LOCALHOST}:{self.front}", "readiness": f"{LOCALHOST}:{self.ready_port}",
                "store": f"{LOCALHOST}:{self.store_port}", "news": f"{LOCALHOST}:{self.news}",
                "queries": f"{LOCALHOST}:{self.queries}", "processor": 0.25,
                "extra_attempts": {"ratio": 0.2, "window_ms": 10000, "slack": self.slack},
                "cold_servers": {"overage": 1, "slack": 0},
                "allowances": {"window_ms": 0, "overage": 0, "slack": 0},
                "client_keys": {"strict_revocation": False, "max_age_ms": 5000},
                "policy": {"evidence_exchange": False, "refusal_evidence": False},
                "regions": {it: "region" for it in self.zones}, "grace_ms": 6000}}

    async def start(self):
        self.front, self.ready_port = free_port(), free_port()
        self.news, self.queries = free_port(), free_port()
        with open(self.path, "w") as f:
            json.dump(self.settings(), f)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.binary, "--settings", self.path, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)

    async def is_ready(self, seconds=1.0):
        try:
            return await asyncio.wait_for(self._ask_ready(), seconds) == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def _ask_ready(self):
        reader, writer = await asyncio.open_connection(LOCALHOST, self.ready_port)
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: platform\r\n\r\n")
            line, _, _ = await read_message(reader)
            return int(line.split(" ")[1])
        finally:
            writer.close()

    async def wait_ready(self, seconds):
        end = now() + seconds
        while now() < end:
            if self.process.returncode is not None:
                # Another program was faster with one of its ports.
                await self.start()
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), 7)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()


class Entry:
    """The platform's address for clients. It asks each daemon once a second whether it is ready."""

    def __init__(self, record, daemons):
        self.record, self.daemons = record, daemons
        self.misses = {it.name: 0 for it in daemons}

    async def poll(self, stopped):
        async def ask(daemon):
            self.misses[daemon.name] = 0 if await daemon.is_ready() else self.misses[daemon.name] + 1
            if self.misses[daemon.name] == 2:
                self.record("out-of-rotation", daemon=daemon.name)

        while not stopped.is_set():
            await asyncio.gather(asyncio.sleep(1), *(ask(it) for it in self.daemons))

    def choose(self, zone, client):
        here = [it for it in self.daemons if it.zone == zone]
        rotation = [it for it in here if self.misses[it.name] < 2]
        if not rotation:
            others = [it for it in self.daemons if it.zone != zone]
            chosen = [it for it in others if self.misses[it.name] < 2] or others
        else:
            chosen = here if 2 * len(rotation) < len(here) else rotation
        return chosen[zlib.crc32(client.encode()) % len(chosen)]


class Connection:
    """A client's connection, kept open. One request at a time."""

    # Clients reuse a connection that has been idle for up to four fifths of IdleTimeoutMs.
    MAX_IDLE_S = 12.0

    def __init__(self, entry, zone, name):
        self.entry, self.zone, self.name = entry, zone, name
        self.reader = self.writer = self.daemon = None
        self.used = 0.0
        self.opened = 0

    async def call(self, text):
        if now() - self.used > self.MAX_IDLE_S:
            self.close()
        if self.writer is None:
            self.opened += 1
            self.daemon = self.entry.choose(self.zone, f"{self.name}/{self.opened}")
            # Clients allow a new connection one second to be established.
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(LOCALHOST, self.daemon.front), 1)
        self.writer.write(text)
        line, headers, body = await read_message(self.reader)
        self.used = now()
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), headers, body

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Calls:
    """The clients' requests and their answers."""

    def __init__(self, record):
        self.record = record
        self.all = []

    async def send(self, connection, method, path, request, deadline_ms, body=b"", give_up=None):
        """Sends one request; the call that it returns has status 0 if no answer came before `give_up` seconds."""
        call = {"id": request, "sent": now() - self.record.began, "ended": None, "status": 0, "headers": {},
                "body": b"", "to": "-"}
        self.all.append(call)
        text = (f"{method} {path} HTTP/1.1\r\nHost: claims.example\r\nX-Request-Id: {request}\r\n"
                f"X-Deadline-Ms: {deadline_ms}\r\nAccept-Encoding: identity\r\n")
        if body or method == "POST":
            text += f"Content-Length: {len(body)}\r\n"
        self.record("sent", id=request, method=method)
        error = ""
        try:
            answer = await asyncio.wait_for(connection.call(text.encode() + b"\r\n" + body), give_up)
            call["status"], call["headers"], call["body"] = answer
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as it:
            error = type(it).__name__
            connection.close()
        call["ended"] = now() - self.record.began
        call["to"] = connection.daemon.name if connection.daemon else "-"
        self.record("answered", id=request, by=call["to"], status=call["status"], after=f"{call['ended'] - call['sent']:.3f}",
                    stamp=call["headers"].get("x-server-stamp", "-"), error=error or "-")
        return call


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def binary():
    root = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    return os.path.join(root, "target", "bin", "hibiscuspickd")


def run(folder, case):
    """Runs the case, ends what it started, and exits with its verdict: 0 held, 1 broken, 2 could not run."""

    async def guarded():
        record = Record(os.path.join(folder, "record.txt"))
        record("begin", trouble=int(trouble()))
        started = []
        verdict = 2
        with tempfile.TemporaryDirectory() as temporary:
            try:
                if os.access(binary(), os.X_OK):
                    verdict = await asyncio.wait_for(case(record, temporary, started), 100)
                else:
                    record("could-not-run", why="target/bin/hibiscuspickd is missing")
            except Exception as it:
                record("could-not-run", why=repr(it))
            finally:
                await asyncio.gather(*(it.end() for it in started))
        record("verdict", exit=verdict)
        print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[verdict],
              flush=True)
        return verdict

    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    verdict = loop.run_until_complete(guarded())
    os._exit(verdict)
