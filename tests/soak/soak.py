#!/usr/bin/env python3
"""A fault soak: real daemons, faults from outside, promises checked from outside.

Usage: tests/soak/soak.py [--binary FILE] [--seeds 1,2 | --seeds 1-50] [--seconds 8]

Each seed plays one run: daemons against a store, backend servers and proxies on
loopback, callers all the while, faults drawn from the seed. Exit 1 if a promise
broke; each line names seed, promise and what was seen. Logs of a failing run stay
in the folder that is printed.
"""

import argparse
import asyncio
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from world import Proxy, World, read_message  # noqa: E402

SHARDS = 6
LEAST = 0.6
TOP = 5
BUDGET_SLACK = 30
BUDGET_RATIO = 0.2
CONFIG_BOUND = 3.0
DRAIN_BOUND = 3.0
GRACE = 4.0
# More than this many daemons hear of the store from each other; see
# engine::kMostDirect.
DAEMONS = 14


# Below the ports that the kernel gives to outgoing connections: one of those could
# take a port between its choice and a daemon's listening, at any restart.
PORTS = itertools.count(15000 + os.getpid() * 61 % 15000)


def free_port():
    for n in PORTS:
        port = 15000 + n % 15000
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Daemon:
    def __init__(self, name, binary, folder, store_port):
        self.name, self.binary, self.folder = name, binary, folder
        self.callers, self.ready = free_port(), free_port()
        self.path = os.path.join(folder, name + ".json")
        self.process = None
        # A fault of its process is on: another one waits its turn elsewhere.
        self.taken = False
        # Spans in which the daemon is owed nothing, and those of planned stops.
        self.disturbed = []
        self.store_proxy = Proxy(store_port)

    async def start(self, index):
        if self.store_proxy.port == 0:
            await self.store_proxy.listen()
        settings = {
            "instance": self.name, "data_centre": "a" if index % 2 else "b",
            "edge": {
                "callers": f"127.0.0.1:{self.callers}", "readiness": f"127.0.0.1:{self.ready}",
                "store": f"127.0.0.1:{self.store_proxy.port}",
                "news": f"127.0.0.1:{free_port()}", "queries": f"127.0.0.1:{free_port()}",
                "processor": 1.0 if index < 4 else 0.25,
                "extra_attempts": {"ratio": BUDGET_RATIO, "window_ms": 10000, "slack": BUDGET_SLACK},
                "grace_ms": int(GRACE * 1000), "instances": DAEMONS}}
        with open(self.path, "w") as f:
            json.dump(settings, f)
        await self.spawn()

    async def spawn(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.binary, "--settings", self.path, stdout=log, stderr=log)

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)


class Soak:
    def __init__(self, seed, binary, seconds):
        self.seed, self.binary, self.seconds = seed, binary, seconds
        self.random = random.Random(seed)
        self.world = World()
        self.daemons = []
        self.folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        self.version = 0
        # (acknowledged at, version, names of its routes)
        self.configs = []
        self.calls = []
        self.broken = []
        self.faults = []

    def now(self):
        return asyncio.get_event_loop().time()

    def breaks(self, promise, what):
        self.broken.append(f"seed {self.seed}: {promise}: {what}")

    # --- the operator

    def write_config(self, extra_routes):
        self.version += self.random.randint(1, 3)
        shards = [f"shard{i}" for i in range(SHARDS)]
        routes = [
            {"Name": "gather", "Host": "h", "PathPrefix": "/g/", "RouteType": "idempotent",
             "TimeoutMs": 1500, "TargetLatencyMs": 150, "Attempts": 2, "Gather": shards,
             "TopK": TOP, "MinShardRatio": LEAST},
            {"Name": "once", "Host": "h", "PathPrefix": "/o/", "RouteType": "non_idempotent",
             "TimeoutMs": 1500, "TargetLatencyMs": 150, "Attempts": 2, "Backend": "plain"},
            {"Name": "again", "Host": "h", "PathPrefix": "/a/", "RouteType": "idempotent",
             "TimeoutMs": 1500, "TargetLatencyMs": 150, "Attempts": 2, "Backend": "plain"}]
        for name in extra_routes:
            routes.append({"Name": name, "Host": "h", "PathPrefix": f"/{name}/",
                           "RouteType": "idempotent", "TimeoutMs": 1500, "Attempts": 2,
                           "Backend": "plain"})
        services = [{"Name": it, "MaxConns": 200} for it in shards + ["plain"]]
        self.world.store.put("config", "main", {
            "Version": self.version, "Routes": routes, "Backends": services})
        self.configs.append((self.now(), self.version, set(extra_routes)))

    # --- callers

    async def call(self, kind, path, method, daemon, deadline=1.5):
        request = f"{self.random.getrandbits(64):016x}"
        call = {"id": request, "kind": kind, "daemon": daemon, "sent": self.now(), "status": 0}
        self.calls.append(call)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", daemon.callers)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\n"
                         f"X-Deadline-Ms: {int(deadline * 1000)}\r\nContent-Length: 0\r\n"
                         "Connection: close\r\n\r\n".encode())
            line, call["headers"], call["body"] = await asyncio.wait_for(
                read_message(reader), deadline + 2)
            call["status"] = int(line.split(" ")[1])
            writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as it:
            call["error"] = type(it).__name__
        call["ended"] = self.now()

    async def callers(self, until):
        tasks = []
        while self.now() < until:
            kind, path, method = self.random.choice(
                [("gather", "/g/x", "GET")] * 2 + [("once", "/o/x", "POST"), ("again", "/a/x", "GET")])
            tasks.append(asyncio.create_task(
                self.call(kind, path, method, self.random.choice(self.daemons))))
            await asyncio.sleep(self.random.expovariate(50))
        await asyncio.gather(*tasks)

    # --- faults: each ends by itself and notes what it disturbed

    def take(self, most):
        """Some daemons whose processes no other fault has in hand."""
        free = [it for it in self.daemons if not it.taken]
        some = self.random.sample(free, min(len(free), most))
        for it in some:
            it.taken = True
        return some

    def disturb(self, daemons, until, planned=False):
        for it in daemons:
            # A calm time after it, as long as news may be on their way.
            it.disturbed.append((self.now() - 0.1, until + (0 if planned else CONFIG_BOUND), planned))

    async def fault_kill(self, hold):
        some = self.take(self.random.randint(1, 5))
        self.disturb(some, self.now() + hold + 2)
        for it in some:
            it.signal(signal.SIGKILL)
        await asyncio.sleep(hold / 2)
        await asyncio.gather(*(it.process.wait() for it in some))
        await asyncio.gather(*(it.spawn() for it in some))
        for it in some:
            it.taken = False

    async def fault_freeze(self, hold):
        some = self.take(2)
        self.disturb(some, self.now() + hold)
        for it in some:
            it.signal(signal.SIGSTOP)
        await asyncio.sleep(hold)
        for it in some:
            it.signal(signal.SIGCONT)
            it.taken = False

    async def fault_stop(self, _hold):
        some = self.take(1)
        if not some:
            return
        it = some[0]
        self.disturb([it], self.now() + GRACE + 1, planned=True)
        it.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(it.process.wait(), GRACE)
        except asyncio.TimeoutError:
            self.breaks("stop", f"{it.name} still runs after its grace")
            it.signal(signal.SIGKILL)
            await it.process.wait()
        await it.spawn()
        it.taken = False

    async def fault_hup(self, _hold):
        for it in self.random.sample(self.daemons, 3):
            it.signal(signal.SIGHUP)

    async def fault_store(self, hold):
        store = self.world.store
        self.disturb(self.daemons, self.now() + hold)
        mode = self.random.choice(["silent", "busy", "slow", "lossy", "forgets"])
        if mode == "slow":
            store.delay = 0.2
        elif mode == "lossy":
            store.lose_writes = 0.5
        elif mode == "forgets":
            store.forget_history()
        else:
            store.mode = mode
        await asyncio.sleep(hold)
        store.delay, store.lose_writes, store.mode = 0.0, 0.0, "well"
        store.reset_all()

    async def fault_store_cut(self, hold):
        some = self.random.sample(self.daemons, self.random.randint(1, 4))
        self.disturb(some, self.now() + hold)
        ways = self.random.choice([{"to"}, {"from"}, {"to", "from"}])
        for it in some:
            it.store_proxy.cut = ways
        await asyncio.sleep(hold)
        for it in some:
            it.store_proxy.cut = set()
            it.store_proxy.reset_all()

    async def fault_backend(self, hold):
        some = self.random.sample(self.world.backends, self.random.randint(1, 4))
        mode = self.random.choice(["shed", "slow", "lossy", "garbled", "paused"])
        for it in some:
            it.mode = mode
            if mode == "paused":
                it.paused_until = self.now() + hold
        await asyncio.sleep(hold)
        for it in some:
            it.mode = "well"

    async def fault_backend_link(self, hold):
        some = [self.world.proxies[it.name]
                for it in self.random.sample(self.world.backends, self.random.randint(1, 3))]
        what = self.random.choice(["delay", "reset", "to", "from"])
        for it in some:
            if what == "delay":
                it.delay = 0.05
            elif what == "reset":
                it.reset_all()
            else:
                it.cut = {what}
        await asyncio.sleep(hold)
        for it in some:
            it.delay, it.cut = 0.0, set()
            it.reset_all()

    async def fault_drain(self, _hold):
        left = [it for it in self.world.backends if it.drained_at is None]
        it = self.random.choice([it for it in left if it.service == "plain"] or left)
        if sum(1 for other in left if other.service == it.service) < 2:
            return
        self.world.write_entry(it, "draining")
        it.drained_at = self.now()
        await asyncio.sleep(DRAIN_BOUND + 1)
        self.world.store.remove("servers", it.name)

    async def fault_config(self, _hold):
        self.write_config([f"n{self.version}"])

    async def play_faults(self, until):
        kinds = [self.fault_kill, self.fault_freeze, self.fault_stop, self.fault_hup, self.fault_store,
                 self.fault_store_cut, self.fault_backend, self.fault_backend, self.fault_backend_link,
                 self.fault_drain, self.fault_config]
        tasks = []
        while self.now() < until:
            await asyncio.sleep(self.random.uniform(0.3, 1.0))
            kind = self.random.choice(kinds)
            hold = self.random.uniform(0.4, 2.0)
            self.faults.append(f"{self.now() - self.began:.1f} {kind.__name__[6:]} {hold:.1f}")
            tasks.append(asyncio.create_task(kind(hold)))
        await asyncio.gather(*tasks)

    # --- promises

    def calm(self, daemon, begin, end, also_planned=False):
        return not any(a < end and begin < b and not (planned and also_planned)
                       for a, b, planned in daemon.disturbed)

    def check_gather(self, call):
        stamps = call["headers"].get("x-shard-stamps", "").split(", ")
        missing = int(call["headers"].get("x-shards-missing", "0"))
        services, records = set(), []
        for stamp in stamps:
            request, service, body = self.world.stamps.get(stamp, (None, None, b""))
            if request != call["id"]:
                self.breaks("whole", f"receipt {stamp} isn't of request {call['id']}")
                return
            services.add(service)
            records += [body[i:i + 16] for i in range(0, len(body) - 15, 16)]
        if len(services) != len(stamps) or len(stamps) + missing != SHARDS:
            self.breaks("coverage", f"{call['id']}: {len(stamps)} receipts, {missing} missing")
        if len(stamps) < LEAST * SHARDS:
            self.breaks("coverage", f"{call['id']}: only {len(stamps)} parts")
        if call["body"] != b"".join(sorted(records, reverse=True)[:TOP]):
            self.breaks("whole", f"{call['id']}: not the greatest records of its parts")

    def check_calls(self):
        for call in self.calls:
            runs = self.world.runs.get(call["id"], [])
            if call["kind"] == "once" and len(runs) > 1:
                self.breaks("once", f"{call['id']} ran {len(runs)} times")
            if call["kind"] == "once" and call["status"] in (408, 421, 429, 503) and runs:
                self.breaks("refused", f"{call['id']} was answered {call['status']} and ran")
            if call["status"] == 200 and call["kind"] == "gather":
                self.check_gather(call)
            elif call["status"] == 200:
                stamp = call["headers"].get("x-server-stamp", "")
                request, _, body = self.world.stamps.get(stamp, (None, None, None))
                if request != call["id"] or body != call["body"]:
                    self.breaks("whole", f"{call['id']}: not the server's answer")
            if not self.calm(call["daemon"], call["sent"] - 1, call["ended"], also_planned=True):
                continue
            if call["status"] == 0 and call.get("error") != "ConnectionRefusedError":
                self.breaks("answered", f"{call['id']} at {call['daemon'].name}: {call.get('error')}, "
                            f"sent {call['sent'] - self.began:.2f}")
            if call["ended"] - call["sent"] > 2.0:
                self.breaks("answered", f"{call['id']} after {call['ended'] - call['sent']:.2f} s")
            self.check_route(call)

    def check_route(self, call):
        if not self.calm(call["daemon"], call["sent"] - CONFIG_BOUND, call["ended"]):
            return
        due = [it for it in self.configs if it[0] + CONFIG_BOUND < call["sent"]]
        since = self.configs[len(due) - 1:] if due else self.configs
        if call["status"] == 404 and all(call["kind"] in it[2] | {"gather", "once", "again"} for it in since):
            self.breaks("config", f"{call['id']}: 404 for a route that all versions in force have")

    def check_drains(self):
        for backend in self.world.backends:
            if backend.drained_at is None:
                continue
            bound = backend.drained_at + DRAIN_BOUND
            for call in self.calls:
                late = [at for at, by, _ in self.world.runs.get(call["id"], []) if by is backend and at > bound]
                if late and self.calm(call["daemon"], bound - DRAIN_BOUND, late[0]):
                    self.breaks("drain", f"{backend.name} got {call['id']} "
                                f"{late[0] - backend.drained_at:.1f} s after it drained")

    def check_budget(self):
        groups = {}
        kinds = {call["id"]: call for call in self.calls}
        for at, service, request in sorted(self.world.arrivals):
            group = "shards" if service.startswith("shard") else service
            groups.setdefault(group, []).append((at, service, request))
        for group, arrivals in groups.items():
            first, extras = set(), []
            for at, service, request in arrivals:
                if (service, request) in first:
                    extras.append(at)
                first.add((service, request))
            mine = [call["sent"] for call in kinds.values()
                    if (call["kind"] == "gather") == (group == "shards")]
            for end in extras:
                n = sum(1 for at in extras if end - 10 < at <= end)
                most = max(sum(1 for at in mine if end - s - 10 < at <= end - s) for s in (0, 5, 10))
                if n > BUDGET_RATIO * most + BUDGET_SLACK:
                    self.breaks("budget", f"{group}: {n} extra attempts for {most} requests in 10 s")
                    break

    def check_recovery(self, since):
        late = [call for call in self.calls if call["sent"] > since]
        served = sum(1 for call in late if call["status"] == 200)
        if len(late) < 20 or served < 0.9 * len(late):
            missed = {}
            for call in late:
                if call["status"] != 200:
                    key = (call["kind"], call["status"] or call.get("error"), call["daemon"].name)
                    missed[key] = missed.get(key, 0) + 1
            most = sorted(missed.items(), key=lambda it: -it[1])[:6]
            self.breaks("recovery", f"{served} of {len(late)} served after the last fault; "
                        + ", ".join(f"{n} x {kind} {what} at {name}" for (kind, what, name), n in most))

    # --- one run

    async def run(self):
        world = self.world
        await world.store.listen()
        for i in range(SHARDS):
            for k in range(2):
                await world.add_backend(f"shard{i}", f"s{i}-{k}")
        for k in range(4):
            await world.add_backend("plain", f"p{k}-{k % 2}")
        self.write_config([])
        for i in range(DAEMONS):
            daemon = Daemon(f"d{i}", self.binary, self.folder, world.store.port)
            self.daemons.append(daemon)
            await daemon.start(i)
        await asyncio.sleep(2)
        self.began = self.now()
        faults_end = self.began + self.seconds
        callers = asyncio.create_task(self.callers(faults_end + 9))
        await self.play_faults(faults_end)
        calm_from = self.now() + 3
        await callers
        self.check_calls()
        self.check_drains()
        self.check_budget()
        self.check_recovery(min(calm_from, faults_end + 7))
        for it in self.daemons:
            if it.process.returncode is not None:
                self.breaks("lives", f"{it.name} ended by itself: {it.process.returncode}")
                continue
            it.signal(signal.SIGKILL)
            await it.process.wait()


def seeds_of(text):
    seeds = []
    for part in text.split(","):
        begin, _, end = part.partition("-")
        seeds += range(int(begin), int(end or begin) + 1)
    return seeds


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--binary", default="build/release/bin/hibiscuspickd")
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--seconds", type=float, default=8)
    args = parser.parse_args()
    failed = 0
    for seed in seeds_of(args.seeds):
        random.seed(seed)
        soak = Soak(seed, args.binary, args.seconds)
        asyncio.run(soak.run())
        served = sum(1 for call in soak.calls if call["status"] == 200)
        print(f"seed {seed}: {len(soak.calls)} calls, {served} served, {len(soak.faults)} faults, "
              f"{len(soak.broken)} promises broken", flush=True)
        if soak.broken:
            failed += 1
            print("\n".join(soak.broken[:10]))
            print("faults: " + "; ".join(soak.faults))
            print("logs: " + soak.folder, flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
