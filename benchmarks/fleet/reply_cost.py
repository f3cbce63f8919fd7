#!/usr/bin/env python3
"""Compares two builds by the processor time of a daemon for one fan-out to 85 servers.

  benchmarks/fleet/reply_cost.py --before OLD/hibiscuspickd --after NEW/hibiscuspickd

Both daemons run all the time over the same servers, which run in a process of their own. Spans of fan-outs, one at a time, alternate
between them. Prints the median of the spans for each, and their ratio.
"""

import argparse
import asyncio
import multiprocessing
import os
import shutil
import signal
import socket
import statistics
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tests", "soak"))
from daemons import Daemon  # noqa: E402
from endless_replies import DEADLINE_MS, SHARDS, call, serve_endlessly  # noqa: E402
from world import World  # noqa: E402


def processor_ms(pid):
    """Of all threads, by the scheduler's own clock."""
    total = 0
    for task in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{task}/schedstat") as stat:
            total += int(stat.read().split()[0])
    return total / 1e6


async def span(daemon, fan_outs):
    results = []
    pid = daemon.process.pid
    before = processor_ms(pid)
    for _ in range(fan_outs):
        await call(daemon, "GET", "/g/x", results)
    used = processor_ms(pid) - before
    return used / fan_outs, sum(1 for it in results if it[1] != 200)


async def make_world(listeners, shards):
    """A world of its own for each daemon, so that neither knows the other."""
    world = World()
    await world.store.listen()
    for listener, service in zip(listeners, shards):
        await world.add_backend(service, f"{service}-00")
        backend = world.backends[-1]
        world.proxies[backend.name].port = listener.getsockname()[1]
        world.write_entry(backend, "ready")
    route = {"Name": "gather", "PathPrefix": "/g/", "RouteType": "idempotent", "Gather": shards, "TopK": 5,
             "MinShardRatio": 0.85, "Host": "h", "TimeoutMs": DEADLINE_MS, "TargetLatencyMs": 400, "Attempts": 2}
    world.store.put("config", "main", {"Version": 1, "Routes": [route],
                                       "Backends": [{"Name": it, "MaxConns": 200} for it in shards]})
    return world


async def run(args):
    folder = tempfile.mkdtemp(prefix="reply-cost-")
    shards = [f"shard{i}" for i in range(SHARDS)]
    listeners = [socket.create_server(("127.0.0.1", 0), backlog=256) for _ in shards]
    servers = multiprocessing.Process(target=serve_endlessly, args=(listeners, multiprocessing.Event()), daemon=True)
    servers.start()
    daemons = {}
    for i, (name, binary) in enumerate((("before", args.before), ("after", args.after))):
        world = await make_world(listeners, shards)
        daemons[name] = Daemon(f"d{i}", binary, os.path.join(folder, name), world, None)
        os.mkdir(os.path.join(folder, name))
        await daemons[name].start(0, 1)
    await asyncio.sleep(2)
    costs = {it: [] for it in daemons}
    failed = 0
    for i in range(args.spans + 1):
        # In turn, so that neither always runs first.
        for name in sorted(daemons, reverse=i % 2 == 0):
            cost, bad = await span(daemons[name], args.fan_outs)
            # The first span warms up.
            if i > 0:
                costs[name].append(cost)
                failed += bad
    for name, values in costs.items():
        print(f"{name}: {statistics.median(values):.3f} ms for a fan-out, "
              f"spans from {min(values):.3f} to {max(values):.3f}")
    ratio = statistics.median(a / b for a, b in zip(costs["after"], costs["before"]))
    print(f"after / before: {ratio:.3f} (median of {args.spans} pairs of spans), {failed} fan-outs not served")
    for it in daemons.values():
        it.signal(signal.SIGKILL)
        await it.process.wait()
    servers.terminate()
    shutil.rmtree(folder)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--before", required=True)
    parser.add_argument("--after", default="build/release/bin/hibiscuspickd")
    parser.add_argument("--spans", type=int, default=20)
    parser.add_argument("--fan-outs", type=int, default=60)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
