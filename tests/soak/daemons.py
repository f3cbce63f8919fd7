"""The daemons of a run: real processes with their settings, proxies and logs."""

import asyncio
import itertools
import json
import os
import socket

from world import Proxy

BUDGET_SLACK = 30
BUDGET_RATIO = 0.2
GRACE = 4.0

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
    def __init__(self, name, binary, folder, world, clock):
        self.name, self.binary, self.folder, self.world = name, binary, folder, world
        # The library that moves the time of day, if it could be built.
        self.clock = clock
        self.clock_file = os.path.join(folder, name + ".clock")
        self.callers, self.ready = free_port(), free_port()
        self.path = os.path.join(folder, name + ".json")
        self.process = None
        # A fault of its process is on: another one waits its turn elsewhere.
        self.taken = False
        # Spans in which the daemon is owed nothing, and those of planned stops.
        self.disturbed = []
        self.store_proxy = Proxy(world.store.port)
        # In front of what it offers to its peers.
        self.peer_proxies = [Proxy(free_port()), Proxy(free_port())]
        # Whoever reads its log stands still while this is cleared.
        self.log_read = asyncio.Event()
        self.log_read.set()

    async def start(self, index, instances, place=None):
        for it in [self.store_proxy] + self.peer_proxies:
            await it.listen()
            if it is not self.store_proxy:
                self.world.store.stand_ins[f"127.0.0.1:{it.target}"] = f"127.0.0.1:{it.port}"
        settings = {
            "instance": self.name, "data_centre": place or ("a" if index % 2 else "b"),
            "edge": {
                "callers": f"127.0.0.1:{self.callers}", "readiness": f"127.0.0.1:{self.ready}",
                "store": f"127.0.0.1:{self.store_proxy.port}",
                "news": f"127.0.0.1:{self.peer_proxies[0].target}",
                "queries": f"127.0.0.1:{self.peer_proxies[1].target}",
                "processor": 1.0 if index < 4 else 0.25,
                "extra_attempts": {"ratio": BUDGET_RATIO, "window_ms": 10000, "slack": BUDGET_SLACK},
                "grace_ms": int(GRACE * 1000), "instances": instances}}
        with open(self.path, "w") as f:
            json.dump(settings, f)
        self.set_clock(0)
        await self.spawn()

    def set_clock(self, seconds):
        with open(self.clock_file, "w") as f:
            f.write(f"{seconds}\n")

    async def spawn(self):
        env = dict(os.environ)
        if self.clock:
            env.update(LD_PRELOAD=self.clock, SOAK_CLOCK_FILE=self.clock_file)
        self.process = await asyncio.create_subprocess_exec(
            self.binary, "--settings", self.path, env=env,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        asyncio.create_task(self._keep_log(self.process.stdout))

    async def _keep_log(self, stream):
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            while data := await stream.read(4096):
                log.write(data)
                log.flush()
                await self.log_read.wait()

    def peak_memory_mb(self):
        with open(f"/proc/{self.process.pid}/status") as status:
            line = next(it for it in status if it.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)
