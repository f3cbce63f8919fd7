#!/usr/bin/env python3
"""What control costs edge instances as their number grows: real daemons, no callers.

Usage: benchmarks/fleet/edge_control_cost.py [--sizes 14,63,126] [--seconds 12]
           [--servers 2700] [--changes 6] [--binary FILE]

The daemons stand in seven data centres and hear of a store on loopback. After the
start has settled, changes of configuration and of servers are written; per size one
row is printed: processor time of a daemon (mean and busiest), memory, bytes a second
through its ports for peers and the store, the store's calls, and how long after its
write a configuration is in force everywhere.
"""

import argparse
import asyncio
import glob
import json
import os
import re
import shutil
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))
from daemons import Daemon  # noqa: E402
from world import Proxy, World  # noqa: E402

PLACES = 7
TICKS = os.sysconf("SC_CLK_TCK")


class CountingProxy(Proxy):
    """Counts what passes, and the requests to the target."""

    def __init__(self, port):
        super().__init__(port)
        self.bytes = 0
        self.calls = 0

    def passed(self, way, data):
        self.bytes += len(data)
        if way == "to":
            self.calls += data.count(b" HTTP/1.1\r\n")


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid):
    with open(f"/proc/{pid}/status") as f:
        return int(re.search(r"VmRSS:\s+(\d+)", f.read()).group(1)) / 1024


def write_config(store, version):
    store.put("config", "main", {"Version": version, "Backends": [{"Name": "s0", "MaxConns": 50}],
              "Routes": [{"Name": f"r{i}", "Host": "h", "PathPrefix": f"/{i}/", "Attempts": 2,
                          "RouteType": "idempotent", "TimeoutMs": 1000, "Backend": "s0"}
                         for i in range(30)]})


def write_server(store, n, state):
    store.put("servers", f"server-{n}", {
        "Backend": f"s{n // 3}", "Address": f"127.0.0.1:{2 + n % 60000}", "Zone": f"dc{n % PLACES}",
        "Version": "v1", "Slots": 2, "State": state, "WarmupLeftMs": 0, "Seq": 1})


def in_force_at(folder, version):
    """When each daemon logged that the version is in force, as seconds of the day."""
    times = []
    for path in glob.glob(os.path.join(folder, "*.log")):
        with open(path) as f:
            for line in f:
                if f"configuration {version} in force" in line:
                    hour, minute, second = json.loads(line)["time"][11:-1].split(":")
                    times.append(int(hour) * 3600 + int(minute) * 60 + float(second))
    return times


async def play(size, args):
    folder = tempfile.mkdtemp(prefix="edge-control-")
    world = World()
    world.store.page = 500
    await world.store.listen()
    write_config(world.store, 1)
    for n in range(args.servers):
        write_server(world.store, n, "ready")
    daemons = []
    for i in range(size):
        it = Daemon(f"d{i}", args.binary, folder, world, None)
        it.store_proxy = CountingProxy(world.store.port)
        it.peer_proxies = [CountingProxy(proxy.target) for proxy in it.peer_proxies]
        await it.start(i, size, place=f"dc{i % PLACES}")
        daemons.append(it)
    await asyncio.sleep(8)
    pids = [it.process.pid for it in daemons]
    began, spent = time.monotonic(), [processor_seconds(pid) for pid in pids]

    def counted(what):
        return [sum(getattr(proxy, what) for proxy in [it.store_proxy] + it.peer_proxies)
                for it in daemons]

    bytes_before = counted("bytes")
    calls_before = sum(it.store_proxy.calls for it in daemons)
    late = []
    for version in range(2, 2 + args.changes):
        written = time.time() % 86400
        write_config(world.store, version)
        write_server(world.store, version, "draining")
        await asyncio.sleep(args.seconds / args.changes)
        times = in_force_at(folder, version)
        late.append(max(times) - written if len(times) == size else float("inf"))
    span = time.monotonic() - began
    cores = [(processor_seconds(pid) - before) / span * 100 for pid, before in zip(pids, spent)]
    rates = [(after - before) / span / 1000 for after, before in zip(counted("bytes"), bytes_before)]
    calls = (sum(it.store_proxy.calls for it in daemons) - calls_before) / span
    memory = [memory_mb(pid) for pid in pids]
    print(f"| {size} | {sum(cores) / size:.2f} % ({max(cores):.2f} %) | {sum(memory) / size:.1f} ({max(memory):.1f}) "
          f"| {sum(rates) / size:.1f} ({max(rates):.1f}) | {calls:.1f} | {max(late) * 1000:.0f} ms |", flush=True)
    for it in daemons:
        it.signal(signal.SIGKILL)
        await it.process.wait()
    shutil.rmtree(folder)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--binary", default=os.path.join(ROOT, "build/release/bin/hibiscuspickd"))
    parser.add_argument("--sizes", default="14,63,126")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--servers", type=int, default=2700)
    parser.add_argument("--changes", type=int, default=6)
    args = parser.parse_args()
    print("| daemons | core, mean (busiest) | memory, MB | KB/s, mean (busiest) | store calls/s, all | in force everywhere |")
    print("| --- | --- | --- | --- | --- | --- |")
    for size in args.sizes.split(","):
        asyncio.run(play(int(size), args))


if __name__ == "__main__":
    main()
