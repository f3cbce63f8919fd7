"""QUOTA: machines are stopped and started in turn while one tenant sends more than it may."""

import asyncio
import itertools
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from world2 import TROUBLE, World, now, message, read_message, play  # noqa: E402

RATE, BURST = 300, 30
WINDOW, OVERAGE, SLACK = 5.0, 0.1, 20
USUAL = 270  # requests a second of the tenant
HOT, HOT_S = 900, 8.0  # hot_tenant: 3.3 times its usual for 8 s
CLIENTS = 60
BOUND = (RATE * WINDOW + BURST) * (1 + OVERAGE) + SLACK
ids = itertools.count(1)


async def client(world, index, sent, answers, hot_from, until):
    """A client of the tenant: one kept connection, through the balancer, a steady pace."""
    def period():
        is_hot = hot_from <= now() < hot_from + HOT_S
        return CLIENTS / (HOT if is_hot else USUAL)

    reader = writer = daemon = None
    due = now() + random.random() * period()
    while now() < until:
        await asyncio.sleep(max(0, due - now()))
        due = max(due + period(), now() - 0.2)
        try:
            if writer is None:
                ready = [it for it in world.daemons if it.in_rotation]
                daemon = ready[index % len(ready)]
                reader, writer = await asyncio.open_connection("127.0.0.1", daemon.front)
            request = f"q{next(ids):08d}"
            sent[request] = now()
            writer.write(message("GET /plain/x HTTP/1.1", [
                ("Host", "h.example"), ("X-Request-Id", request), ("X-Deadline-Ms", "2000"),
                ("Authorization", "Bearer key-hot")]))
            line, headers, _ = await asyncio.wait_for(read_message(reader), 3)
            status = int(line.split(" ")[1])
            answers[status] = answers.get(status, 0) + 1
            if headers.get("connection", "").lower() == "close":
                writer.close()
                writer = None
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            answers["broken"] = answers.get("broken", 0) + 1
            if writer is not None:
                writer.close()
            writer = None
            index += 1
            await asyncio.sleep(0.1)


async def main():
    world = World(FOLDER, ["z-a", "z-b", "z-c"])
    try:
        await world.store.listen()
        for i in range(12):
            await world.add_backend("plain", f"i-{i:02d}", world.zones[i % 3], 0.001, Slots=4)
        world.store.put("config", "main", {
            "Version": 3,
            "Routes": [{"Name": "r-plain", "Host": "h.example", "PathPrefix": "/plain/",
                        "RouteType": "idempotent", "TimeoutMs": 2000, "TargetLatencyMs": 800,
                        "Priority": 1, "Attempts": 2, "Backend": "plain"}],
            "Backends": [{"Name": "plain", "HealthPath": "/health", "MaxConns": 440}],
            "Tenants": [{"Name": "hot", "ApiKeys": ["key-hot"], "RatePerS": RATE, "Burst": BURST}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
        await world.add_daemons(3, {"allowances": {
            "window_ms": int(WINDOW * 1000), "overage": OVERAGE, "slack": SLACK}})
        await world.until_ready()
        await asyncio.sleep(10)  # the traffic starts 10 s after the machines do
        say = world.record.say
        sent, answers = {}, {}
        begin = now()
        until = begin + 32
        hot_from = begin + 9
        clients = [asyncio.create_task(client(world, i, sent, answers, hot_from, until))
                   for i in range(CLIENTS)]
        await asyncio.sleep(10.6)
        if TROUBLE:
            # roll_term share 0.45, x 3, gap 1.3 s: four of nine, three at a time.
            chosen = [world.daemons[i] for i in (1, 4, 7, 2)]
            jobs = []
            for k, it in enumerate(chosen):
                if k == 3:
                    await asyncio.sleep(1.3)
                say(f"SIGTERM to {it.name}")
                jobs.append(asyncio.create_task(it.restart_by_term()))
            await asyncio.gather(*jobs)
            say("all four have been started again")
        await asyncio.gather(*clients)
        runs = sorted((sent[r], at) for at, r, b, h in world.record.runs if r in sent)
        assert len({h.get("x-tenant") for _, _, _, h in world.record.runs}) == 1
        worst = (0, 0.0)
        for i in range(0, len(runs), 5):
            start = runs[i][0]
            n = 0
            for s, at in runs[i:]:
                if s > start + WINDOW:
                    break
                n += at <= start + WINDOW
            worst = max(worst, (n, start))
        for second in range(int(begin), int(until) + 1):
            n = sum(1 for _, at in runs if second <= at < second + 1)
            m = sum(1 for it in sent.values() if second <= it < second + 1)
            say(f"second {second}: {m} sent, {n} ran")
        say(f"answers by status: {answers}")
        say(f"most in {WINDOW:.0f} s: {worst[0]} ran, sent and arrived from {worst[1]:.3f}; "
            f"allowed ({RATE} x {WINDOW:.0f} + {BURST}) x {1 + OVERAGE} + {SLACK} = {BOUND:.0f}")
        broken = worst[0] > BOUND
        say("QUOTA broken" if broken else "QUOTA held")
        return broken
    finally:
        world.close()


play(main)
