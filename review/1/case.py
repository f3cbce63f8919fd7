"""A zone is cut off with a reset while requests run there. Do the daemons of the other zones still answer afterwards?"""

import asyncio
import os
import random
import sys
from collections import Counter

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
sys.dont_write_bytecode = True

from standins import Backend, Calls, Connection, Daemon, Entry, Link, Store, binary, hangs, now, run, trouble  # noqa: E402

ZONES = ["osl-a", "osl-b", "osl-c"]
EXPORTS = ["exports-1", "exports-2", "exports-3"]
TIMEOUT_MS = 300
DEADLINE_MS = 2000
STABLE_WINDOW_S = 4.0
CUT_AT_S = 4.0
CUT_FOR_S = 2.0
JUDGED_FOR_S = 7.0
HALF_SECOND = 0.5
BATCH_CLIENTS = 120
DESK_CLIENTS = 100
DESK_PAUSE_S = 4.0


def export_work(_):
    # About as long as the sheet's `partner-export`: 220 ms on average.
    return min(random.lognormvariate(5.27, 0.5), 1300) / 1000


def desk_work(_):
    return random.uniform(0.005, 0.02)


async def case(record, folder, started):
    store = Store()
    await store.listen()
    links = {}
    for service in EXPORTS + ["claims"]:
        for zone in ("osl-b", "osl-c"):
            it = Backend(record, service, f"i-{service}-{zone}", zone, slots=4, queue=16,
                         work=desk_work if service == "claims" else export_work)
            await it.listen()
            links[it.name] = Link(it.port)
            await links[it.name].listen()
            store.put("servers", it.name, it.entry(links[it.name].port))
    store.put("config", "main", {
        "Version": 7,
        "Routes": [{"Name": f"r-{it}", "Host": "claims.example", "PathPrefix": f"/{it}/", "RouteType": "non_idempotent",
                    "TimeoutMs": TIMEOUT_MS, "TargetLatencyMs": 250, "Priority": 2, "Attempts": 2, "Backend": it}
                   for it in EXPORTS + ["claims"]],
        "Backends": [{"Name": it, "HealthPath": "/health", "MaxConns": 96, "Protocol": "h1", "Tls": False}
                     for it in EXPORTS + ["claims"]],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
    # None of them stands in the zone that is cut off: they stay in touch with the store and with one another.
    daemons = [Daemon(f"front-{zone}-{n}", zone, ZONES, store, folder, binary())
               for zone, count in (("osl-a", 3), ("osl-c", 2)) for n in range(1, count + 1)]
    for it in daemons:
        await it.start()
        started.append(it)
    for it in daemons:
        if not await it.wait_ready(20):
            record("could-not-run", why=f"{it.name} did not become ready")
            return 2
    entry = Entry(record, daemons)
    calls = Calls(record)
    stopped = asyncio.Event()
    batch_done = asyncio.Event()

    async def client(name, zone, path, pause, end):
        connection = Connection(entry, zone, name)
        count = 0
        while not end.is_set():
            count += 1
            await calls.send(connection, "POST", f"/{path}/{count}", f"{name}-{count}", DEADLINE_MS,
                             b"one claim record", DEADLINE_MS / 1000)
            await asyncio.sleep(pause())
        connection.close()

    tasks = [asyncio.ensure_future(entry.poll(stopped))]
    for n in range(BATCH_CLIENTS):
        tasks.append(asyncio.ensure_future(client(
            f"batch-{n}", ("osl-a", "osl-c")[n % 5 >= 3], EXPORTS[n % 3], lambda: random.uniform(0, 0.02), batch_done)))
    for n in range(DESK_CLIENTS):
        tasks.append(asyncio.ensure_future(client(
            f"desk-{n}", ("osl-a", "osl-c")[n % 5 >= 3], "claims", lambda: random.expovariate(1 / DESK_PAUSE_S),
            stopped)))
    await asyncio.sleep(CUT_AT_S)
    away = [it for it in links if it.endswith("osl-b")]
    if trouble():
        record("cut", zone="osl-b", for_s=CUT_FOR_S)
        for it in away:
            links[it].cut()
    # The nightly batch is over.
    batch_done.set()
    if trouble() and not all(await asyncio.gather(*(hangs(links[it].port) for it in away))):
        record("could-not-run", why="connections to the zone do not hang")
        return 2
    await asyncio.sleep(CUT_FOR_S - 0.3)
    if trouble():
        record("healed", zone="osl-b")
        for it in away:
            links[it].heal()
    await asyncio.sleep(STABLE_WINDOW_S)
    judged_from = now() - record.began
    await asyncio.sleep(JUDGED_FOR_S)
    judged_to = now() - record.began
    ready = await asyncio.gather(*(it.is_ready() for it in daemons))
    for it, is_ready in zip(daemons, ready):
        record("daemon", name=it.name, ready=is_ready, running=it.process.returncode is None)
    # By then the clients have given up what was sent last and isn't answered.
    await asyncio.sleep(DEADLINE_MS / 1000 + 0.2)
    for it in tasks:
        it.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)

    judged = [it for it in calls.all if judged_from <= it["sent"] <= judged_to]
    took = [it["ended"] - it["sent"] if it["status"] else float("inf") for it in judged]
    open_at_timeout = [it for it in took if it > TIMEOUT_MS / 1000]
    open_later = [it for it in took if it > TIMEOUT_MS / 1000 + HALF_SECOND]
    for call in judged:
        if not call["status"]:
            record("CONFIG", id=call["id"], daemon=call["to"], unanswered_for=f"{call['ended'] - call['sent']:.3f}")
    record("judged", requests=len(judged), statuses=dict(Counter(it["status"] for it in judged)),
           unanswered_at_timeout=len(open_at_timeout), unanswered_half_a_second_later=len(open_later))
    if len(judged) < 50:
        record("could-not-run", why="too few requests")
        return 2
    return 1 if 2 * len(open_later) > len(open_at_timeout) else 0


run(FOLDER, case)
