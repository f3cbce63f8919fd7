"""Stand-ins of the review's second part: the platform's store, backends, clients
and the platform's balancer, all on loopback in one event loop, and the daemons as
real processes with the command of the deploy file.

The store follows "The platform's metadata store" of PROTOCOL.md, the backends its
"Backends", the balancer its "Ingress". Nothing here disturbs by itself.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target", "bin", "hibiscuspickd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


_reserved = []
_worlds = []


def free_port():
    """A free port below the range of outgoing connections."""
    start = 15000 + os.getpid() * 37 % 10000
    for port in range(start + len(_reserved), 32000):
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                _reserved.append(port)
                continue
        _reserved.append(port)
        return port
    raise OSError("no free port")


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def message(first, headers, body=b""):
    text = first + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


def answer(status, headers=(), body=b""):
    return message(f"HTTP/1.1 {status} X", headers, body)


class Listener:
    def __init__(self):
        self.writers = set()
        self.listener = None
        self.port = 0

    async def listen(self, port=0):
        self.listener = await asyncio.start_server(self._accept, "127.0.0.1", port, backlog=512)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def end(self):
        self.listener.close()
        for it in list(self.writers):
            it.transport.abort()


class Store(Listener):
    """Objects by kind and name, one revision, lists, watches, conditional writes."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.objects = {}
        self.log = []
        self.changed = asyncio.Event()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Returns when it was acknowledged."""
        old = self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return now()
        self.revision += 1
        created = old["meta"]["CreateRev"] if old else self.revision
        item = {"meta": {"Name": name, "Revision": self.revision, "CreateRev": created,
                         "Finalizers": [], "Deleting": False}, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self.log.append((self.revision, kind, {"Tombstone": False, "Object": item}))
        self._wake()
        return now()

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is None:
            return now()
        self.revision += 1
        gone = dict(item, meta=dict(item["meta"], Revision=self.revision))
        self.log.append((self.revision, kind, {"Tombstone": True, "Object": gone}))
        self._wake()
        return now()

    async def serve(self, reader, writer):
        while True:
            line, _, body = await read_message(reader)
            method, target = line.split(" ")[:2]
            path, _, query = target.partition("?")
            args = dict(it.split("=", 1) for it in query.split("&") if it)
            await asyncio.sleep(0.004)
            parts = path.split("/")[3:]
            if method == "GET" and "Watch" in args:
                status, value = await self._watch(parts[0], args)
            else:
                status, value = self._call(method, parts, args, body)
            writer.write(answer(status, [("Content-Type", "application/json")],
                                json.dumps(value).encode()))

    def _call(self, method, parts, args, body):
        kind = parts[0]
        if method == "GET" and len(parts) == 1:
            items = [it for (k, n), it in sorted(self.objects.items())
                     if k == kind and n > args.get("after", "")]
            return 200, {"items": items[:500], "More": len(items) > 500,
                         "CurrentRev": self.revision}
        if method == "GET":
            item = self.objects.get((kind, parts[1]))
            return (200, item) if item else (404, {})
        if method == "DELETE":
            known = (kind, parts[1]) in self.objects
            self.remove(kind, parts[1])
            return (200, {}) if known else (404, {})
        item = json.loads(body)
        name = item["meta"]["Name"]
        old = self.objects.get((kind, name))
        if method == "POST" and old:
            return 409, old
        if method == "PUT" and old is None:
            return 404, {}
        wanted = item["meta"].get("Revision")
        if method == "PUT" and wanted and wanted != old["meta"]["Revision"]:
            return 409, old
        self.put(kind, name, item["spec"])
        return 200 if old else 201, self.objects[kind, name]

    async def _watch(self, kind, args):
        since, end = int(args["Watch"]), now() + int(args["WaitMs"]) / 1000
        while True:
            events = [e for r, k, e in self.log if r > since and k == kind]
            if events or now() >= end:
                return 200, {"events": events, "CurrentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), max(end - now(), 0.001))
            except asyncio.TimeoutError:
                pass


class Backend(Listener):
    """One boot of a backend."""

    count = 0

    def __init__(self, record, service, name, zone, work=0.002):
        super().__init__()
        self.record, self.service, self.name, self.zone, self.work = record, service, name, zone, work

    async def serve(self, reader, writer):
        while True:
            line, headers, body = await read_message(reader)
            at = now()
            request = headers.get("x-request-id", "")
            echo = [("X-Request-Id", request), ("X-Instance-Id", self.name)]
            method, target = line.split(" ")[:2]
            if target == "/health":
                writer.write(answer(200, echo[1:]))
                continue
            if headers.get("x-expect-instance", self.name) != self.name:
                writer.write(answer(421, echo))
                continue
            self.record.ran(self, at, request, method, target, headers)
            await asyncio.sleep(self.work)
            Backend.count += 1
            stamp = f"{self.name}.{Backend.count:x}"
            data = b"".join(bytes([i]) + stamp.encode()[:15].ljust(15, b".") for i in (7, 5, 3))
            self.record.stamp(stamp, request, self, data)
            writer.write(answer(200, echo + [("X-Server-Stamp", stamp)], data))


class Record:
    """What was sent, answered and run; written to record.txt in the case's folder."""

    def __init__(self, folder):
        self.runs = []
        self.stamps = {}
        self.lines = []
        self.path = os.path.join(folder, "record.txt")

    def ran(self, backend, at, request, method, target, headers):
        self.runs.append((at, request, backend, headers))

    def stamp(self, stamp, request, backend, body):
        self.stamps[stamp] = (request, backend, body)

    def say(self, text):
        line = f"{now():8.3f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    def write(self):
        with open(self.path, "w") as f:
            f.write("\n".join(self.lines) + "\n")


class Daemon:
    def __init__(self, world, name, zone, extra=None):
        self.world, self.name, self.zone, self.extra = world, name, zone, extra or {}
        self.front, self.ready = free_port(), free_port()
        self.news, self.queries = free_port(), free_port()
        self.process = None
        self.in_rotation = False
        self.misses = 2

    async def start(self):
        edge = {"callers": f"127.0.0.1:{self.front}", "readiness": f"127.0.0.1:{self.ready}",
                "store": f"127.0.0.1:{self.world.store.port}",
                "news": f"127.0.0.1:{self.news}", "queries": f"127.0.0.1:{self.queries}",
                "processor": 0.25,
                "extra_attempts": {"ratio": 0.2, "window_ms": 10000, "slack": 52},
                "cold_servers": {"overage": 1, "slack": 0},
                "allowances": {"window_ms": 0, "overage": 0, "slack": 0},
                "client_keys": {"strict_revocation": False, "max_age_ms": 5000},
                "policy": {"evidence_exchange": False, "refusal_evidence": False},
                "regions": self.world.regions, "grace_ms": 6000}
        edge.update(self.extra)
        path = os.path.join(self.world.temp, self.name + ".json")
        with open(path, "w") as f:
            json.dump({"instance": self.name, "data_centre": self.zone, "edge": edge}, f)
        log = open(os.path.join(self.world.temp, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            BINARY, "--settings", path, stdout=log, stderr=log)
        log.close()

    async def restart_by_term(self, grace=6.0):
        """SIGTERM, SIGKILL after the grace time, then a new start, as the platform does."""
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        await self.start()

    async def probe(self):
        """The balancer's questions: one a second, two misses take it out."""
        while True:
            ok = False
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", self.ready), 1)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line, _, _ = await asyncio.wait_for(read_message(reader), 1)
                ok = " 200 " in line
                writer.close()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            self.misses = 0 if ok else self.misses + 1
            self.in_rotation = self.misses < 2
            await asyncio.sleep(1)


class World:
    def __init__(self, folder, zones):
        # Connections that end with the run are no news.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        _worlds.append(self)
        self.record = Record(folder)
        self.store = Store()
        self.zones = zones
        self.regions = {it: "region-1" for it in zones}
        self.temp = tempfile.mkdtemp(prefix="review-2-")
        self.backends, self.daemons, self.tasks = [], [], []

    async def add_backend(self, service, name, zone, work=0.002, **entry):
        it = await Backend(self.record, service, name, zone, work).listen()
        it.entry = {"Backend": service, "Address": f"127.0.0.1:{it.port}", "Zone": zone,
                    "Version": "v1", "Slots": 2, "State": "ready", "WarmupLeftMs": 0, "Seq": 1}
        it.entry.update(entry)
        self.store.put("servers", name, it.entry)
        self.backends.append(it)
        return it

    async def add_daemons(self, per_zone, extra=None):
        for zone in self.zones:
            for i in range(per_zone):
                self.daemons.append(Daemon(self, f"front-{zone}-{i + 1}", zone, extra))
        await asyncio.gather(*(it.start() for it in self.daemons))
        self.tasks += [asyncio.create_task(it.probe()) for it in self.daemons]

    async def until_ready(self, limit=15):
        end = now() + limit
        while not all(it.in_rotation for it in self.daemons):
            if now() > end:
                raise RuntimeError("the daemons did not become ready")
            await asyncio.sleep(0.1)

    def close(self):
        for it in self.daemons:
            if it.process and it.process.returncode is None:
                try:
                    os.kill(it.process.pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass
        shutil.rmtree(self.temp, ignore_errors=True)
        self.record.write()


def play(main):
    """Exit 1: the rule was broken, 0: it held, 2: the case could not run."""
    if not os.path.exists(BINARY):
        print("no build of the deploy file:", BINARY)
        sys.exit(2)

    def leave(code):
        for it in _worlds:
            it.close()
        sys.stdout.flush()
        # Tasks that are left may not end by themselves.
        os._exit(code)

    # Within the 120 s of a case, whatever hangs.
    watchdog = threading.Timer(116, leave, [2])
    watchdog.daemon = True
    watchdog.start()

    async def whole():
        try:
            broken = await asyncio.wait_for(main(), 110)
        except Exception as error:  # pylint: disable=broad-except
            print("could not run:", type(error).__name__, error)
            leave(2)
        leave(1 if broken else 0)

    asyncio.run(whole())
