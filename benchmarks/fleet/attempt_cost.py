"""Measures the daemons' processor time and memory for each attempt.

  benchmarks/fleet/attempt_cost.py --rates 50,100,200

Three daemons in three data centres, 20 services of two backend servers; the
difference between two rates is the slope.
"""

import argparse
import json
import subprocess
import time

from fleet import BIN, Fleet


def measure(fleet, rate, seconds):
    before = sum(it.cpu_seconds() for it in fleet.daemons)
    since = time.time()
    report = json.loads(subprocess.run(
        [BIN / "hibiscuspick", "load", "--targets",
         ",".join(f"127.0.0.1:{it.callers}" for it in fleet.daemons),
         "--mix", f"urgent={rate / 4},ordinary={rate * 3 / 4}",
         "--seconds", str(seconds), "--json", "--quiet"],
        capture_output=True, text=True, check=False).stdout)
    took = time.time() - since
    cores = (sum(it.cpu_seconds() for it in fleet.daemons) - before) / took
    total = report["total"]
    attempts = total["attempts"] / took
    return {
        "queries_per_s": total["sent"] / took,
        "attempts_per_s": attempts,
        "daemon_cores_in_all": cores,
        "us_per_attempt": 1e6 * cores / attempts,
        "whole": total["whole"], "sent": total["sent"],
        "resident_mb_max": max(it.resident_mb() for it in fleet.daemons),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", default="50,100,200")
    parser.add_argument("--seconds", type=float, default=8)
    arguments = parser.parse_args()
    settings = {"held": [7], "service_ms": 4}
    with Fleet(3, 3, backends=40, backend_settings=settings) as fleet:
        time.sleep(3)
        fleet.configure(20)
        fleet.wait_until_joined()
        measure(fleet, 50, 3)
        for rate in arguments.rates.split(","):
            print(json.dumps(measure(fleet, float(rate), arguments.seconds)),
                  flush=True)


if __name__ == "__main__":
    main()
