#!/usr/bin/env python3
"""Crowds of misbehaving clients against one daemon with small limits.

Usage: tests/crowd/crowd.py [--binary FILE] [--only TEXT] [--omit-limits]

Each case starts a daemon, a store and backend servers on loopback. A crowd sends what the case says, then keeps its
connections open, and opens those again that the daemon closes. The daemon must live, stay below MEMORY_MB and
DESCRIPTOR_SHARE, and answer an ordinary request while the crowd stands and after it has left. Ends with
"N passed, N failed". --omit-limits is for releases that don't know the settings' section "limits".
"""

import argparse
import asyncio
import json
import os
import resource
import shutil
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from daemons import Daemon  # noqa: E402
from world import Backend, Proxy, World, read_message, reply  # noqa: E402

# What the daemon is told that it may use; its peak must not exceed that.
MEMORY_MB = 64
# Of the daemon's descriptors. The rest is kept for servers, peers and the store.
DESCRIPTOR_SHARE = 0.75
BODY_BYTES = 262144
CROWD = 300
# Times that a member opens its connection.
WAVES = 3
# Only ends a run that hangs.
GUARD_S = 40


def head(path="/a/x", framing="Transfer-Encoding: chunked"):
    return (f"POST {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 10000\r\n"
            f"{framing}\r\n\r\n").encode()


def chunks(body_bytes, chunk_bytes):
    """A body in chunks that lacks its last byte and what follows."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"a" * chunk_bytes)
    return (chunk * (body_bytes // chunk_bytes))[:-3]


WHOLE = b"%x\r\n%s\r\n0\r\n" % (BODY_BYTES, b"a" * BODY_BYTES)
SLOW = head("/s/x", "Content-Length: 0")

# Bytes that each member sends.
FORMS = {
    "one chunk": head() + chunks(BODY_BYTES, BODY_BYTES),
    "chunks of 64 KiB": head() + chunks(BODY_BYTES, 65536),
    "chunks of 16 bytes": head() + chunks(BODY_BYTES, 16),
    "chunks of one byte": head() + chunks(90000, 1),
    "a length": head(framing=f"Content-Length: {BODY_BYTES}") + b"a" * (BODY_BYTES - 1),
    "trailers": head() + WHOLE + b"A: " + b"a" * 15000,
    "whole bodies to slow servers": head("/s/x") + WHOLE + b"\r\n",
    "bytes behind a request": SLOW + head() + chunks(1 << 20, 65536),
    "nothing": b"",
    "a small part": head() + b"2000\r\n" + b"a" * 8191,
    "a request for a large reply": head("/l/x", "Content-Length: 0"),
}
PORTS = ["callers", "ready", "updates", "queries"]


class Case:
    def __init__(self, name, forms, ports=("callers",), members=CROWD, descriptors=4100):
        self.name, self.forms, self.ports = name, [FORMS[it] for it in forms], ports
        self.members, self.descriptors = members, descriptors


CASES = [Case(it, [it]) for it in list(FORMS)[:8]]
CASES += [Case(f"one chunk, address {it}", ["one chunk"], [it]) for it in PORTS[1:]]
CASES += [
    Case("unread replies", ["a request for a large reply"], members=60),
    Case("idle, few descriptors", ["nothing"], members=380, descriptors=300),
    Case("a small part, few descriptors", ["a small part"], members=600, descriptors=300),
    Case("all forms at all addresses", [it for it in FORMS if it != "a request for a large reply"], PORTS),
    Case("all forms, few descriptors", [it for it in FORMS if it != "a request for a large reply"], PORTS,
         members=600, descriptors=300),
    # One request of the largest size that the configuration allows.
    Case("calm", [], members=0),
]


class SlowBackend(Backend):
    """Works for some seconds, or replies with a large body."""

    async def serve(self, reader, writer):
        while True:
            _, headers, _ = await read_message(reader)
            body = b"a" * (6 << 20)
            if self.service == "slow":
                body = b"ok"
                await asyncio.sleep(6)
            writer.write(reply(200, body, [("X-Request-Id", headers.get("x-request-id", "")),
                                           ("X-Server-Stamp", f"{self.name}.1")]))
            await writer.drain()


class Crowd:
    def __init__(self, case, ports):
        self.case, self.ports = case, ports
        self.writers = [None] * case.members
        self.sent = [False] * case.members
        # Large replies arrive one after the other, so that each is complete.
        self.turn = asyncio.Semaphore(1 if case.name == "unread replies" else case.members or 1)

    async def member(self, i):
        for _ in range(WAVES):
            try:
                async with self.turn:
                    # A reader that small stops reading by itself.
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[i % len(self.ports)], limit=1024)
                    self.writers[i] = writer
                    writer.write(self.case.forms[i % len(self.case.forms)])
                    await writer.drain()
                    self.sent[i] = True
                    if self.case.name == "unread replies":
                        await reader.readexactly(1)
                if self.case.name == "unread replies":
                    await asyncio.sleep(3600)
                while await reader.read(65536):
                    pass
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                if self.writers[i]:
                    self.writers[i].transport.abort()
        self.sent[i] = True


async def ordinary_request(port, body=b"a" * 1024, chunk_bytes=0):
    """The status of one request, 0 if there was no answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 5)
        framing = "Transfer-Encoding: chunked" if chunk_bytes else f"Content-Length: {len(body)}"
        text = head(framing=framing).replace(b"crowd", b"ordinary")
        if chunk_bytes:
            text += chunks(len(body), chunk_bytes) + b"a\r\n0\r\n\r\n"
        else:
            text += body
        writer.write(text)
        line, _, _ = await asyncio.wait_for(read_message(reader), 5)
        return int(line.split(" ")[1])
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return 0
    finally:
        if writer:
            writer.transport.abort()


async def is_answered(port):
    """Whether a caller that returns after each refusal is answered at last."""
    until = asyncio.get_event_loop().time() + GUARD_S
    while asyncio.get_event_loop().time() < until:
        if await ordinary_request(port) == 200:
            return True
        await asyncio.sleep(0.05)
    return False


class LimitedDaemon(Daemon):
    def __init__(self, case, binary, folder, world, omit_limits):
        super().__init__("d0", binary, folder, world, None)
        self.case, self.omit_limits = case, omit_limits

    async def spawn(self):
        if not self.omit_limits:
            with open(self.path) as f:
                settings = json.load(f)
            settings["edge"]["limits"] = {"memory_mb": MEMORY_MB, "descriptors": self.case.descriptors}
            with open(self.path, "w") as f:
                json.dump(settings, f)
        await super().spawn()
        limit = self.case.descriptors
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (limit, limit))

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


def write_config(world):
    routes = [{"Name": name, "Host": "h", "PathPrefix": f"/{name[0]}/", "RouteType": "idempotent", "TimeoutMs": 9000,
               "TargetLatencyMs": 9000, "Attempts": 1, "Backend": name} for name in ("a", "slow", "large")]
    services = [{"Name": it, "MaxConns": 400} for it in ("a", "slow", "large")]
    world.store.put("config", "main", {
        "Version": 1, "Routes": routes, "Backends": services,
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": BODY_BYTES, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 2000 * GUARD_S}})


async def add_backend(world, kind, service):
    backend = kind(world, service, f"{service}-0")
    await backend.listen()
    proxy = Proxy(backend.port)
    await proxy.listen()
    world.backends.append(backend)
    world.proxies[backend.name] = proxy
    world.store.put("servers", backend.name, {
        "Backend": service, "Address": f"127.0.0.1:{proxy.port}", "Zone": "a", "Version": "v1", "Slots": 400,
        "State": "ready", "WarmupLeftMs": 0, "Seq": 1})


async def watch(daemon, most):
    while daemon.process.returncode is None:
        most["descriptors"] = max(most["descriptors"], daemon.descriptors())
        most["memory"] = max(most["memory"], daemon.peak_memory_mb())
        await asyncio.sleep(0.02)


async def play(case, binary, folder, omit_limits):
    """The faults of one case, and its figures."""
    world, most, faults = World(), {"descriptors": 0, "memory": 0.0}, []
    await world.store.listen()
    for kind, service in ((Backend, "a"), (SlowBackend, "slow"), (SlowBackend, "large")):
        await add_backend(world, kind, service)
    write_config(world)
    daemon = LimitedDaemon(case, binary, folder, world, omit_limits)
    await daemon.start(1, 1)
    if not await is_answered(daemon.callers):
        faults.append("no request answered before the crowd")
    watcher = asyncio.create_task(watch(daemon, most))
    ports = {"callers": daemon.callers, "ready": daemon.ready,
             "updates": daemon.peer_proxies[0].target, "queries": daemon.peer_proxies[1].target}
    crowd = Crowd(case, [ports[it] for it in case.ports])
    members = [asyncio.create_task(crowd.member(i)) for i in range(case.members)]
    for _ in range(20 * GUARD_S):
        if all(crowd.sent) or daemon.process.returncode is not None:
            break
        await asyncio.sleep(0.05)
    if not await is_answered(daemon.callers):
        faults.append("no request answered while the crowd stands")
    for it in members:
        it.cancel()
    await asyncio.gather(*members, return_exceptions=True)
    if not await is_answered(daemon.callers):
        faults.append("no request answered after the crowd")
    if case.members == 0 and await ordinary_request(daemon.callers, b"a" * BODY_BYTES, 16) != 200:
        faults.append("the largest request of the configuration is refused")
    await asyncio.sleep(0.05)
    if daemon.process.returncode is not None:
        faults.append(f"the process ended: {daemon.process.returncode}")
    else:
        daemon.process.kill()
        await daemon.process.wait()
    await asyncio.gather(watcher, return_exceptions=True)
    if most["memory"] > MEMORY_MB:
        faults.append(f"{most['memory']:.0f} MB, {MEMORY_MB} allowed")
    if most["descriptors"] > DESCRIPTOR_SHARE * case.descriptors:
        faults.append(f"{most['descriptors']} descriptors, {DESCRIPTOR_SHARE * case.descriptors:.0f} allowed")
    return faults, most


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--binary", default="build/release/bin/hibiscuspickd")
    parser.add_argument("--only", default="")
    parser.add_argument("--omit-limits", action="store_true")
    args = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),) * 2)
    counts = [0, 0]
    for case in CASES:
        if args.only not in case.name:
            continue
        folder = tempfile.mkdtemp(prefix="crowd-")
        faults, most = asyncio.run(play(case, args.binary, folder, args.omit_limits))
        counts[bool(faults)] += 1
        print(f"{case.name}: {most['memory']:.0f} MB, {most['descriptors']} descriptors: {'; '.join(faults) or 'ok'}", flush=True)
        if faults:
            print("logs: " + folder, flush=True)
        else:
            shutil.rmtree(folder)
    print(f"{counts[0]} passed, {counts[1]} failed")
    sys.exit(1 if counts[1] or not sum(counts) else 0)


if __name__ == "__main__":
    main()
