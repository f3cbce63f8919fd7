"""The world round the daemons: a store, backend servers and proxies, with faults.

All of it lives on loopback in one event loop. What a backend server ran is kept
for the promises that soak.py checks at the end.
"""

import asyncio
import json
import random

from forms import FORMS, MISLEADING, STRAY, write_endlessly


async def read_message(reader):
    """One HTTP message as (first line, headers in lower case, body)."""
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


def reply(status, body=b"", headers=()):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return text.encode() + b"\r\n" + body


class Server:
    """A TCP server whose connections can be ended at once."""

    def __init__(self):
        self.port = 0
        self.writers = set()

    async def listen(self):
        self.listener = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            # The other side left, or the run is over.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def end(self):
        """Refuses connections and closes those there are, as a process that ends does."""
        self.listener.close()
        self.reset_all()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: objects by kind and name, one revision, watches."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.objects = {}
        self.log = []
        self.history_from = 1
        self.changed = asyncio.Event()
        self.mode = "well"
        self.lose_writes = 0.0
        self.delay = 0.0
        # Objects in one answer to a list.
        self.page = 5
        # Objects that another writer put in, as bytes that may not be JSON.
        self.strange = {}
        # Addresses that instances write of themselves, and the proxies before them.
        self.stand_ins = {}

    def put(self, kind, name, spec):
        self.revision += 1
        if kind == "hibiscuspick-instances":
            spec = {key: self.stand_ins.get(it, it) if isinstance(it, str) else it
                    for key, it in spec.items()}
        item = {"meta": {"Name": name, "Revision": self.revision}, "spec": spec}
        self.objects[kind, name] = item
        self.log.append((self.revision, kind, {"Object": item, "Tombstone": False}))
        self._wake()

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is None:
            return
        self.revision += 1
        self.log.append((self.revision, kind, {"Object": item, "Tombstone": True}))
        self._wake()

    def forget_history(self):
        self.history_from = self.revision
        self.log.clear()
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            line, _, body = await read_message(reader)
            method, target = line.split(" ")[:2]
            path, _, query = target.partition("?")
            args = dict(it.split("=") for it in query.split("&") if it)
            if self.mode == "silent":
                await asyncio.sleep(3600)
            if self.mode == "busy":
                writer.write(reply(503))
                continue
            await asyncio.sleep(0.002 + self.delay)
            answer = await self._answer(method, path.split("/")[3:], args, body)
            lost = method != "GET" and random.random() < self.lose_writes
            if answer is None or lost:
                await asyncio.sleep(3600)
            writer.write(answer)

    async def _answer(self, method, path, args, body):
        if method == "GET" and "Watch" in args:
            return await self._watch(path[0], int(args["Watch"]), float(args["WaitMs"]) / 1000)
        if method == "GET":
            items = [it for (kind, name), it in sorted(self.objects.items())
                     if kind == path[0] and name > args.get("after", "")]
            strange = self.strange.get(path[0], []) if "after" not in args else []
            return self._json({"items": strange + items[:self.page], "More": len(items) > self.page,
                               "CurrentRev": self.revision})
        if method == "DELETE":
            self.remove(path[0], path[1])
            return reply(200)
        item = json.loads(body)
        name = item["meta"]["Name"]
        if method == "POST" and (path[0], name) in self.objects:
            return reply(409)
        old = self.objects.get((path[0], name))
        if old is None or old["spec"] != item["spec"]:
            self.put(path[0], name, item["spec"])
        return reply(200)

    async def _watch(self, kind, since, wait):
        end = asyncio.get_event_loop().time() + wait
        while True:
            if since < self.history_from:
                return reply(410)
            events = [it for revision, k, it in self.log if revision > since and k == kind]
            left = end - asyncio.get_event_loop().time()
            if events or left <= 0:
                return self._json({"events": events, "CurrentRev": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def put_strange(self, kind, raw):
        self.revision += 1
        self.strange.setdefault(kind, []).append(Raw(raw))
        self.log.append((self.revision, kind, {"Object": Raw(raw), "Tombstone": False}))
        self._wake()

    @staticmethod
    def _json(value):
        raws = []
        text = json.dumps(value, default=lambda it: raws.append(it.text) or f"@raw{len(raws) - 1}@")
        body = text.encode()
        for i, raw in enumerate(raws):
            body = body.replace(f'"@raw{i}@"'.encode(), raw)
        return reply(200, body)


class Raw:
    """A piece of JSON, or of what is none, that goes out as it is."""

    def __init__(self, text):
        self.text = text


class Backend(Server):
    """One backend server. `world` keeps what it ran."""

    def __init__(self, world, service, name):
        super().__init__()
        self.world, self.service, self.name = world, service, name
        self.mode = "well"
        self.paused_until = 0.0
        self.drained_at = None
        self.place = "a" if name.endswith("0") else "b"

    async def serve(self, reader, writer):
        loop = asyncio.get_event_loop()
        while True:
            line, headers, _ = await read_message(reader)
            method, target = line.split(" ")[:2]
            request = headers.get("x-request-id", "")
            echo = [("X-Request-Id", request)]
            if headers.get("x-expect-instance") not in (None, self.name):
                writer.write(reply(421, b"", echo))
                continue
            if self.mode == "shed" and random.random() < 0.5:
                self.world.arrivals.append((loop.time(), self.service, request))
                writer.write(reply(503, b"", echo + [("X-Not-Executed", "1")]))
                continue
            self.world.ran(self, method, request, loop.time())
            await asyncio.sleep(random.uniform(0.002, 0.008))
            if "fatal" in target:
                self.world.end_backend(self, target, loop.time())
                return
            if loop.time() < self.paused_until:
                await asyncio.sleep(self.paused_until - loop.time())
            if self.mode == "endless":
                await write_endlessly(writer, random.choice(FORMS))
            if self.mode == "slow":
                await asyncio.sleep(0.08)
            if self.mode == "lossy" and random.random() < 0.3:
                writer.transport.abort()
                return
            body = b"".join(
                random.randbytes(16) for _ in range(random.randint(0, 12))) + b"rest"[:random.randint(0, 4)]
            stamp = f"{self.name}.{random.getrandbits(48):x}"
            self.world.stamps[stamp] = (request, self.service, body)
            answer = reply(200, body, echo + [("X-Server-Stamp", stamp)])
            if self.mode == "garbled" and random.random() < 0.2:
                writer.write(random.choice([answer[:-3], answer + answer, b"\x00\x01" + answer]))
                await asyncio.sleep(0.01)
                return
            if self.mode == "misleading" and random.random() < 0.3:
                writer.write(random.choice(MISLEADING) % (request.encode(), stamp.encode()))
                await asyncio.sleep(0.01)
                return
            writer.write(answer)
            if self.mode == "misleading" and random.random() < 0.3:
                await asyncio.sleep(0.004)
                writer.write(random.choice(STRAY))


class Proxy(Server):
    """Between one daemon and the store, or in front of a backend server or a daemon."""

    def __init__(self, port):
        super().__init__()
        self.target = port
        self.delay = 0.0
        # Bytes that are held for good: "to" the target, "from" it or neither.
        self.cut = set()

    async def serve(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        try:
            await asyncio.gather(self._pump(reader, far_writer, "to"),
                                 self._pump(far_reader, writer, "from"))
        finally:
            far_writer.close()

    def passed(self, way, data):
        """Told of all that passes."""

    async def _pump(self, reader, writer, way):
        while data := await reader.read(65536):
            self.passed(way, data)
            if self.delay:
                await asyncio.sleep(self.delay)
            while way in self.cut:
                await asyncio.sleep(0.02)
            writer.write(data)
        writer.write_eof()


class World:
    def __init__(self):
        self.store = Store()
        self.backends = []
        self.proxies = {}
        # (time, service, request) of every arrival, runs by request, and what
        # each receipt was given for.
        self.arrivals = []
        self.runs = {}
        self.stamps = {}
        # [data centre, begin, end or None while it lasts]
        self.evacuations = []
        # Times at which servers ended, by the target that ended them.
        self.ends = {}
        self.ended = []

    def ran(self, backend, method, request, now):
        self.arrivals.append((now, backend.service, request))
        self.runs.setdefault(request, []).append((now, backend, method))

    def end_backend(self, backend, target, now):
        if backend not in self.backends:
            return
        self.ends.setdefault(target, []).append(now)
        self.backends.remove(backend)
        self.ended.append(backend)
        self.proxies[backend.name].end()
        backend.end()

    async def replace_ended(self):
        """Entries of ended servers lapse, and others start in their place."""
        for backend in self.ended[:]:
            self.ended.remove(backend)
            self.store.remove("servers", backend.name)
            await self.add_backend(backend.service, f"{backend.name[:-1]}n{backend.name[-1]}")

    async def add_backend(self, service, name):
        backend = Backend(self, service, name)
        await backend.listen()
        proxy = Proxy(backend.port)
        await proxy.listen()
        self.backends.append(backend)
        self.proxies[name] = proxy
        self.write_entry(backend, "ready")
        return backend

    def write_entry(self, backend, state):
        self.store.put("servers", backend.name, {
            "Backend": backend.service, "Address": f"127.0.0.1:{self.proxies[backend.name].port}",
            "Zone": backend.place, "Version": "v1", "Slots": 2,
            "State": state, "WarmupLeftMs": 0, "Seq": 1})
