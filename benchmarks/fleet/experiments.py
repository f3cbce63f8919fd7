"""Policies side by side under calm and faults, with real processes.

For each user of the brief, policy and seed a fleet of 9 daemons in 3 data
centres is started over 20 services of 2 backend servers, and each case is run
on it in turn:

  benchmarks/fleet/experiments.py --seeds 3
  gnuplot benchmarks/fleet/plot-experiments.gp

The results come to build/experiments: results.json with every run,
results.md with the medians over the seeds, and one urgent-p99-USER.tsv for
the plot. Set HP_PORT_SHIFT to run beside another fleet.
"""

import argparse
import dataclasses
import json
import os
import pathlib
import subprocess
import threading
import time

import experiment_report
from experiment_cases import CASES, Settings
from fleet import BIN, ROOT, Fleet, call

DAEMONS = 9
DATA_CENTRES = 3
SERVICES = 20
SERVERS_PER_SERVICE = 2
SLOTS = 2
CONNECTIONS = 25
CONNECTION_SETUP_MS = 6
FIRST_VERSION = 7
# Queries in flight of one route. In the overload about 400 of all routes are,
# and each holds a connection to each daemon, which takes 1024.
WORKERS = 450
# Until the settings and the routes are in force everywhere.
SETTLE_SECONDS = 5


@dataclasses.dataclass(frozen=True)
class Route:
    """A route and what is asked of it."""
    lane: str
    prefer: str
    deadline_ms: int
    # Of the capacity, in all cases but the overload, and in the overload.
    usual_share: float
    overload_share: float
    min_coverage: float = 1

    def stored(self):
        return {"lane": self.lane, "prefer": self.prefer}


# The fraud check takes what 19 of 20 shards say; all others want every shard.
USERS = {
    "skjermvern": {
        "fraud": Route("urgent", "latency", 300, 0.20, 0.20, 0.95),
        "desk": Route("interactive", "coverage", 500, 0.10, 0.10),
        "portal": Route("ordinary", "coverage", 1000, 0.05, 0.75),
        "export": Route("bulk", "coverage", 1500, 0.05, 0.75),
    },
    "talsperr": {
        "alarm": Route("urgent", "coverage", 300, 0.20, 0.20),
        "flood": Route("interactive", "coverage", 500, 0.10, 0.10),
        "archive": Route("bulk", "coverage", 1500, 0.10, 1.50),
    },
}
# The sum of the usual shares above, which --load scales.
USUAL_LOAD = 0.4

POLICIES = {
    "owner": {},
    "baseline": {"sending_policy": "direct", "lanes_enabled": False,
                 "slots_enabled": False, "hedge_enabled": False},
    "direct": {"sending_policy": "direct"},
}


def capacity(service_ms):
    """Queries a second that would keep every slot busy."""
    slots = SERVICES * SERVERS_PER_SERVICE * SLOTS
    return slots / (service_ms / 1000) / SERVICES


def start_load(fleet, name, rate, seed, route, arguments):
    return subprocess.Popen(
        [BIN / "hibiscuspick", "load", "--json", "--quiet", "--verify",
         "--targets", fleet.targets(), "--mix", f"{name}={rate:.3f}",
         "--seconds", str(arguments.warm_up + arguments.seconds),
         "--warm-up", str(arguments.warm_up), "--seed", str(seed),
         "--deadline-ms", str(route.deadline_ms),
         "--min-coverage", str(route.min_coverage),
         "--workers", str(WORKERS)],
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


def finish_load(route, process):
    out, errors = process.communicate(timeout=120)
    if not out.strip():
        raise RuntimeError(f"load of {route} ended with "
                           f"{process.returncode}: {errors}")
    report = json.loads(out)
    return {**report["routes"][0], "generator": report["generator"]}


def run_loads(fleet, user, case, seed, arguments):
    """All routes at once, with the case's events; gives reports by route."""
    most = capacity(arguments.service_ms)
    loads = {}
    for n, (name, route) in enumerate(USERS[user].items()):
        share = route.usual_share * arguments.load / USUAL_LOAD
        if case.overload:
            share = route.overload_share
        loads[name] = start_load(fleet, name, share * most, 1000 * seed + n,
                                 route, arguments)
    events = threading.Thread(target=case.events, args=(
        fleet, Settings(arguments.warm_up, arguments.seconds)))
    events.start()
    reports = {name: finish_load(name, it) for name, it in loads.items()}
    events.join()
    return reports


def summary(user, reports, seconds):
    """The figures of a run by route."""
    routes = {}
    for name, it in reports.items():
        answered = it["whole"] + it["partial"]
        routes[name] = {
            **it, "lane": USERS[user][name].lane,
            "deadline_ms": USERS[user][name].deadline_ms,
            "answered_per_s": answered / seconds,
            "in_time_share": it["in_time"] / max(1, it["sent"])}
    return routes


def run_case(fleet, user, case, seed, arguments):
    case.prepare(fleet)
    fleet.backend("POST", "servers/all/reset")
    cpu = sum(it.cpu_seconds() for it in fleet.daemons)
    since = time.time()
    reports = run_loads(fleet, user, case, seed, arguments)
    took = time.time() - since
    cpu = sum(it.cpu_seconds() for it in fleet.daemons) - cpu
    time.sleep(0.5)
    row = {
        "routes": summary(user, reports, arguments.seconds),
        "backends": fleet.backend("GET", "stats"),
        "daemon_cores": cpu / took,
        "extra": case.collect(fleet),
    }
    case.clean(fleet)
    return row


def probe_refusals(fleet):
    """Refusals with ran=no against what arrived at the backend servers.

    A customer over its rate is refused while nothing else runs, so that each
    arrival has to belong to an answer that tells of it.
    """
    fleet.put("/v1/settings/customer/probe", {"customer_rate_limit": 2})
    time.sleep(SETTLE_SECONDS)
    fleet.backend("POST", "servers/all/reset")
    route = next(iter(fleet.routes))
    refused = answered = attempts = other = 0
    for n in range(60):
        status, body = call(
            "POST", fleet.daemons[n % 3].callers, f"/v1/query/{route}",
            {"query": {"n": n}, "deadline_ms": 2000},
            {"X-Customer": "probe", "Content-Type": "application/json"})
        if status in (200, 206):
            answered += 1
            attempts += body["attempts"]
        elif body["error"]["ran"] == "no":
            refused += 1
        else:
            other += 1
    time.sleep(1)
    arrived = fleet.backend("GET", "stats")["arrived"]
    return {"refused_ran_no": refused, "answered": answered, "other": other,
            "attempts_told": attempts, "arrived": arrived,
            "holds": refused > 0 and arrived <= attempts}


def run_fleet(user, policy, seed, arguments, rows):
    settings = {"held": [FIRST_VERSION], "slots": SLOTS,
                "max_connections": CONNECTIONS,
                "connection_setup_ms": CONNECTION_SETUP_MS,
                "service_ms": arguments.service_ms}
    routes = {name: it.stored() for name, it in USERS[user].items()}
    with Fleet(DAEMONS, DATA_CENTRES, SERVICES * SERVERS_PER_SERVICE,
               settings, seed) as fleet:
        fleet.routes = routes
        fleet.index_version = FIRST_VERSION
        time.sleep(3)
        if POLICIES[policy]:
            fleet.put("/v1/settings/system", POLICIES[policy])
        fleet.configure(SERVICES, SERVERS_PER_SERVICE, SLOTS, CONNECTIONS,
                        routes)
        if not fleet.wait_until_joined():
            raise RuntimeError("the daemons don't see each other")
        time.sleep(SETTLE_SECONDS)
        for name in arguments.cases.split(","):
            row = run_case(fleet, user, CASES[name], seed, arguments)
            row.update(user=user, policy=policy, case=name, seed=seed)
            rows.append(row)
            print(experiment_report.line(row), flush=True)
            experiment_report.store(arguments.out, vars(arguments), rows)
        rows.append({"user": user, "policy": policy, "case": "refusals",
                     "seed": seed, "probe": probe_refusals(fleet)})
        print(experiment_report.line(rows[-1]), flush=True)


def parse_arguments():
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--users", default=",".join(USERS))
    parser.add_argument("--policies", default="owner,baseline")
    parser.add_argument("--cases", default=",".join(CASES))
    parser.add_argument("--seconds", type=float, default=7,
                        help="of load that is reported")
    parser.add_argument("--warm-up", type=float, default=2)
    parser.add_argument("--load", type=float, default=0.4,
                        help="all routes' share of the capacity")
    parser.add_argument("--service-ms", type=float, default=25)
    parser.add_argument("--out", type=pathlib.Path,
                        default=ROOT / "build" / "experiments")
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    arguments.out.mkdir(parents=True, exist_ok=True)
    print(f"capacity {capacity(arguments.service_ms):.0f} queries/s of "
          f"{SERVICES} shards at {arguments.service_ms:g} ms; machine load "
          f"{os.getloadavg()[0]:.1f}", flush=True)
    rows = []
    # Policies next to each other, so that a change of the machine's load
    # meets them alike.
    for seed in range(1, arguments.seeds + 1):
        for user in arguments.users.split(","):
            for policy in arguments.policies.split(","):
                run_fleet(user, policy, seed, arguments, rows)
                experiment_report.store(arguments.out, vars(arguments), rows)
    print((arguments.out / "results.md").read_text())


if __name__ == "__main__":
    main()
