"""Measures what control costs as the fleet grows, with real processes.

For each fleet size: processor time, memory and bytes of each daemon while
nothing but control runs, platform calls a second, and the time from an
accepted change to its being in force at every daemon (from the daemons' own
log lines).

  benchmarks/fleet/control_cost.py --sizes 9,30,60 --services 20
"""

import argparse
import datetime
import json
import re
import time

from fleet import Fleet, percentile

LINE = re.compile(r"^(\S+) \S+ info config: (\S+) is in force at version (\d+)\.")


def in_force_times(daemon):
    """Wall seconds at which each version came into force at a daemon."""
    times = {}
    for line in daemon.log.read_text(errors="replace").splitlines():
        match = LINE.match(line)
        if match:
            stamp = datetime.datetime.fromisoformat(
                match.group(1).replace("Z", "+00:00"))
            times[int(match.group(3))] = stamp.timestamp()
    return times


def measure_changes(fleet, changes):
    """Seconds from acceptance to in force, over all changes and daemons."""
    accepted = {}
    for n in range(changes):
        version = fleet.put(
            f"/v1/routes/new-{n}",
            {"snapshot": "all", "lane": "urgent", "prefer": "latency"},
            at=n % len(fleet.daemons))
        accepted[version] = time.time()
        time.sleep(0.7)
    time.sleep(10)
    delays, missing = [], 0
    for daemon in fleet.daemons:
        times = in_force_times(daemon)
        for version, since in accepted.items():
            if version in times:
                delays.append(max(0.0, times[version] - since))
            else:
                missing += 1
    return delays, missing


def measure(size, data_centres, services, seconds, changes):
    with Fleet(size, data_centres) as fleet:
        time.sleep(4)
        fleet.configure(services)
        joined = fleet.wait_until_joined()
        time.sleep(5)
        before = [(it.cpu_seconds(), it.metrics()) for it in fleet.daemons]
        calls = sum(fleet.platform_calls().values())
        since = time.time()
        time.sleep(seconds)
        took = time.time() - since
        calls = (sum(fleet.platform_calls().values()) - calls) / took
        cores, sent, received = [], [], []
        for it, (cpu, metrics) in zip(fleet.daemons, before):
            cores.append((it.cpu_seconds() - cpu) / took)
            now = it.metrics()
            for name, out in (("sent", sent), ("received", received)):
                key = f"hibiscuspick_inner_bytes_{name}"
                out.append((now[key] - metrics[key]) / took)
        memory = [it.resident_mb() for it in fleet.daemons]
        delays, missing = measure_changes(fleet, changes)
    return {
        "daemons": size, "data_centres": data_centres, "services": services,
        "joined": joined,
        "core_percent_mean": 100 * sum(cores) / size,
        "core_percent_max": 100 * max(cores),
        "resident_mb_mean": sum(memory) / size,
        "resident_mb_max": max(memory),
        "kb_per_s_mean": (sum(sent) + sum(received)) / size / 1e3,
        "kb_per_s_max": max(a + b for a, b in zip(sent, received)) / 1e3,
        "platform_calls_per_s": calls,
        "in_force_ms": {
            "p50": 1e3 * percentile(delays, 0.5),
            "p99": 1e3 * percentile(delays, 0.99),
            "max": 1e3 * max(delays), "missing": missing,
            "samples": len(delays)},
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="9,30,60")
    parser.add_argument("--data-centres", type=int, default=3)
    parser.add_argument("--services", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--changes", type=int, default=15)
    arguments = parser.parse_args()
    for size in arguments.sizes.split(","):
        row = measure(int(size), arguments.data_centres, arguments.services,
                      arguments.seconds, arguments.changes)
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
