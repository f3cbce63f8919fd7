"""MIXED: a client's own header is taken for one between the daemons."""

import asyncio
import itertools
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from world2 import TROUBLE, World, now, message, read_message, play  # noqa: E402

SHARDS, TOP, LEAST = 20, 20, 0.89
ids = itertools.count(1)


async def ask(world, daemon, headers):
    request = f"m{next(ids):08d}"
    reader, writer = await asyncio.open_connection("127.0.0.1", daemon.front)
    writer.write(message("GET /all/x HTTP/1.1", [
        ("Host", "h.example"), ("X-Request-Id", request), ("X-Deadline-Ms", "2000"),
        *headers, ("Connection", "close")]))
    line, got, body = await asyncio.wait_for(read_message(reader), 4)
    writer.close()
    return request, int(line.split(" ")[1]), got, body


def faults_of(world, request, status, got, body):
    """What the client of a gathered answer sees that breaks MIXED."""
    if status != 200:
        return []
    stamps = [it.strip() for it in got.get("x-shard-stamps", "").split(",") if it.strip()]
    missing = int(got.get("x-shards-missing", "0"))
    faults, records, services = [], [], set()
    for it in stamps:
        owner = world.record.stamps.get(it)
        if owner is None or owner[0] != request:
            faults.append(f"receipt {it} is not one of this request")
            continue
        if owner[1].service in services:
            faults.append(f"two receipts of {owner[1].service}")
        services.add(owner[1].service)
        data = owner[2]
        records += [data[i:i + 16] for i in range(0, len(data) - 15, 16)]
    if len(services) + missing != SHARDS:
        faults.append(f"{len(services)} parts and {missing} missing don't make up {SHARDS}")
    if len(services) < LEAST * SHARDS - 1e-9:
        faults.append(f"{len(services)} of {SHARDS} parts, the least is {LEAST}")
    if body != b"".join(sorted(records, reverse=True)[:TOP]):
        faults.append("the body isn't the greatest records of the parts named")
    return faults


async def main():
    world = World(FOLDER, ["z-a", "z-b", "z-c"])
    say = world.record.say
    try:
        await world.store.listen()
        shards = [f"shard-{i:02d}" for i in range(SHARDS)]
        for it in shards:
            for k, zone in enumerate(world.zones[:2]):
                await world.add_backend(it, f"i-{it}-{k}", zone, 0.005)
        world.store.put("config", "main", {
            "Version": 3,
            "Routes": [{"Name": "r-all", "Host": "h.example", "PathPrefix": "/all/",
                        "RouteType": "idempotent", "TimeoutMs": 2000, "TargetLatencyMs": 200,
                        "Priority": 1, "Attempts": 2, "Gather": shards, "TopK": TOP,
                        "MinShardRatio": LEAST}],
            "Backends": [{"Name": it, "HealthPath": "/health", "MaxConns": 25} for it in shards],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
        await world.add_daemons(2)
        await world.until_ready()
        await asyncio.sleep(10)
        headers = [("Hp-Shards", "0")] if TROUBLE else []
        bad = 0
        for n in range(60):
            daemon = world.daemons[n % len(world.daemons)]
            request, status, got, body = await ask(world, daemon, headers)
            faults = faults_of(world, request, status, got, body)
            bad += bool(faults)
            if faults or n < 6:
                say(f"{request} to {daemon.name}: {status}, missing "
                    f"{got.get('x-shards-missing')}, stamps {got.get('x-shard-stamps', '')[:60]}"
                    f" {'; '.join(faults)}")
        say(f"{bad} of 60 answers break the rule")
        say("MIXED broken" if bad else "MIXED held")
        return bad > 0
    finally:
        world.close()


play(main)
