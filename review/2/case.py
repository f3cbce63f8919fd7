"""Full backends turn requests away, and one of them also sends extra answers late. Does a request run twice?"""

import asyncio
import itertools
import os
import random
import sys
from collections import Counter

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
sys.dont_write_bytecode = True

from standins import Backend, Calls, Connection, Daemon, Entry, Store, binary, run, trouble  # noqa: E402

SERVICES = [f"records-{n}" for n in range(1, 7)]
ZONES = ["osl-a", "osl-b", "osl-c"]
DEADLINE_MS = 2000
EXTRA_FOR_S = 5.0
EXTRA_EACH_S = 6.0
EXTRA_TIMES = 13
EXTRA_SHARE = 0.04
WORK_LOG_MEAN = 2.95
GAP_S = 0.15


class ExtraBackend(Backend):
    """While it is faulty, it sends a part of its answers twice: the second one late, where the next one is expected."""

    faulty = False

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.late = {}
        self.extras = 0

    async def serve(self, line, headers, body, writer):
        extra = self.late.pop(writer, None)
        if extra is not None:
            request, answer = extra
            self.extras += 1
            self.record("extra", backend=self.name, id=request, before_answer_to=headers.get("x-request-id"))
            writer.write(answer)
        await super().serve(line, headers, body, writer)

    async def turned_away(self, request, writer):
        await self.answered(request, self.refusal(request), writer)

    async def answered(self, request, answer, writer):
        writer.write(answer)
        if self.faulty and random.random() < EXTRA_SHARE:
            self.late[writer] = (request, answer)


async def case(record, folder, started):
    store = Store()
    await store.listen()
    work = lambda headers: random.lognormvariate(WORK_LOG_MEAN, 0.35) / 1000  # noqa: E731
    backends = [ExtraBackend(record, service, f"i-{service}-{zone}", zone, slots=2, queue=2, work=work)
                for service in SERVICES for zone in ("osl-a", "osl-b")]
    for it in backends:
        await it.listen()
        store.put("servers", it.name, it.entry())
    store.put("config", "main", {
        "Version": 7,
        "Routes": [{"Name": f"r-{it}", "Host": "claims.example", "PathPrefix": f"/{it}/",
                    "RouteType": "non_idempotent", "TimeoutMs": 2000, "TargetLatencyMs": 200, "Priority": 2,
                    "Attempts": 2, "Backend": it} for it in SERVICES],
        "Backends": [{"Name": it, "HealthPath": "/health", "MaxConns": 96, "Protocol": "h1", "Tls": False}
                     for it in SERVICES],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
    daemons = [Daemon(f"front-{zone}-{n}", zone, ZONES, store, folder, binary(), slack=52)
               for zone in ZONES for n in (1, 2, 3)]
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
    idle = {it.name: [] for it in daemons}
    names = itertools.count()

    def client_of(daemon):
        """A client whose connections the platform forwards to that daemon."""
        for _ in range(1000):
            name = f"client-{next(names)}"
            if entry.choose(daemon.zone, f"{name}/1") is daemon:
                break
        return Connection(entry, daemon.zone, name)

    async def request(daemon, service, n):
        connections = idle[daemon.name]
        connection = connections.pop() if connections else client_of(daemon)
        await calls.send(connection, "POST", f"/{service}/{n}", f"{service}-{n}", DEADLINE_MS, b"one claim record",
                         2 * DEADLINE_MS / 1000)
        connections.append(connection)

    async def arrivals(service):
        open_requests, n = set(), 0
        while not stopped.is_set():
            await asyncio.sleep(random.uniform(GAP_S, 2 * GAP_S))
            # Clients of all daemons ask at the same moment.
            for daemon in daemons:
                n += 1
                task = asyncio.ensure_future(request(daemon, service, n))
                open_requests.add(task)
                task.add_done_callback(open_requests.discard)
        await asyncio.gather(*open_requests)

    tasks = [asyncio.ensure_future(entry.poll(stopped))]
    tasks += [asyncio.ensure_future(arrivals(it)) for it in SERVICES]
    await asyncio.sleep(2)
    for _ in range(EXTRA_TIMES):
        # One backend of the two of each service.
        for it in backends[::2]:
            it.faulty = trouble()
        await asyncio.sleep(EXTRA_FOR_S)
        for it in backends[::2]:
            it.faulty = False
        await asyncio.sleep(EXTRA_EACH_S - EXTRA_FOR_S)
    stopped.set()
    await asyncio.gather(*tasks)
    # A request that was refused must not run later either.
    await asyncio.sleep(1)

    runs = Counter(request for it in backends for request, _ in it.runs)
    twice = [it for it, n in runs.items() if n > 1]
    refused = [it["id"] for it in calls.all if it["status"] in (408, 421, 429, 503) and runs[it["id"]] > 0]
    for it in twice:
        record("TWICE", id=it, runs=runs[it])
    for it in refused:
        record("REFUSED", id=it, runs=runs[it])
    statuses = Counter(it["status"] for it in calls.all)
    record("judged", requests=len(calls.all), statuses=dict(statuses), extras=sum(it.extras for it in backends),
           ran_twice=len(twice), refused_and_ran=len(refused))
    if len(runs) < 100:
        record("could-not-run", why="too few requests ran")
        return 2
    return 1 if twice or refused else 0


run(FOLDER, case)
