"""Stores and prints the runs of experiments.py."""

import json
import statistics


def urgent_of(row):
    return next(it for it in row["routes"].values() if it["lane"] == "urgent")


def urgent_p99_of(row):
    """The urgent p99 in ms over all queries, and whether it is a floor.

    The generator's quantiles are of answers. Where more than one query in a
    hundred got none, the slowest in a hundred is among those: it counts with
    the deadline, or a policy that answers nobody would look the fastest.
    """
    it = urgent_of(row)
    unanswered = it["refused"] + it["failed"]
    if unanswered > 0.01 * it["sent"]:
        return max(it["deadline_ms"], it["p99_ms"]), True
    return it["p99_ms"], False


def codes_of(row):
    """Refusals and failures of all routes by code."""
    codes = {}
    for it in row["routes"].values():
        for code, n in it["codes"].items():
            codes[code] = codes.get(code, 0) + n
    return codes


def wrong_of(row):
    return sum(it["wrong"] for it in row["routes"].values())


def late_of(row):
    """How late the slowest generator sent, p99 in ms."""
    return max(it["generator"]["late_p99_ms"] for it in row["routes"].values())


def other_rates(row):
    """Answers a second of the lanes that may wait."""
    return sum(it["answered_per_s"] for it in row["routes"].values()
               if it["lane"] in ("ordinary", "bulk"))


def other_whole(row):
    """Of those, the ones that cover what was asked for."""
    return sum(it["answered_per_s"] * it["whole"] /
               max(1, it["whole"] + it["partial"])
               for it in row["routes"].values()
               if it["lane"] in ("ordinary", "bulk"))


def line(row):
    """One run, for the terminal."""
    head = f"{row['user']} {row['policy']} {row['case']} seed {row['seed']}:"
    if "probe" in row:
        return f"{head} {row['probe']}"
    it = urgent_of(row)
    return (f"{head} urgent n {it['sent']} p50 {it['p50_ms']:.1f} p99 "
            f"{it['p99_ms']:.1f} p99.9 {it['p999_ms']:.1f} ms, coverage "
            f"{it['mean_coverage']:.4f}, in time {it['in_time_share']:.4f}, "
            f"attempts/shard {it['attempts_per_shard']:.3f}; others "
            f"{other_rates(row):.1f}/s; {codes_of(row)}; wrong "
            f"{wrong_of(row)}; {row['extra']}; daemons "
            f"{row['daemon_cores']:.1f} cores, generator late "
            f"{late_of(row):.1f} ms")


def keys_of(rows):
    """User, case and policy in the order of the first run."""
    keys = []
    for row in rows:
        key = (row["user"], row["case"], row["policy"])
        if key not in keys:
            keys.append(key)
    users = list(dict.fromkeys(it[0] for it in keys))
    cases = list(dict.fromkeys(it[1] for it in keys))
    return sorted(keys, key=lambda it: (users.index(it[0]),
                                        cases.index(it[1])))


def runs_of(rows, key):
    return [row for row in rows
            if (row["user"], row["case"], row["policy"]) == key]


def median(runs, value):
    return statistics.median(value(it) for it in runs)


def table_row(key, runs):
    def urgent(name):
        return median(runs, lambda row: urgent_of(row)[name])

    p99 = [urgent_p99_of(row)[0] for row in runs]
    floor = "≥ " if any(urgent_p99_of(row)[1] for row in runs) else ""
    answered = all(urgent_of(row)["whole"] + urgent_of(row)["partial"]
                   for row in runs)

    def of_answers(name, digits):
        # Nothing answered has no quantile, and no coverage either.
        return f"{urgent(name):.{digits}f}" if answered else "no answer"

    codes = {}
    for row in runs:
        for code, n in codes_of(row).items():
            codes[code] = codes.get(code, 0) + n
    refusals = ", ".join(f"{n} {code}" for code, n in sorted(codes.items()))
    last = max((row["extra"].get("last_arrival_after_drain_ms", 0)
                for row in runs))
    cells = [
        key[1], key[2],
        str(sum(urgent_of(row)["sent"] for row in runs)),
        of_answers("p50_ms", 1),
        f"{floor}{statistics.median(p99):.1f} "
        f"({min(p99):.0f}–{max(p99):.0f})",
        of_answers("p999_ms", 1), of_answers("mean_coverage", 4),
        of_answers("share_whole_coverage", 3),
        f"{urgent('in_time_share'):.3f}",
        of_answers("attempts_per_shard", 3),
        f"{median(runs, other_rates):.1f} "
        f"({median(runs, other_whole):.1f})", refusals or "none",
        str(sum(wrong_of(row) for row in runs)),
        f"{last:.0f}" if key[1] == "drain" else "",
        f"{max(late_of(row) for row in runs):.1f}",
    ]
    return "| " + " | ".join(cells) + " |"


HEADINGS = (
    "case", "policy", "urgent sent", "p50 ms", "p99 ms (seeds)", "p99.9 ms",
    "coverage", "at 1.0", "in time", "attempts/shard",
    "ordinary and bulk answered/s (whole)", "refused and failed, all routes", "wrong",
    "last arrival after drain, ms", "generator late, p99 ms")


def markdown(arguments, rows):
    """Medians over the seeds; counts are sums over the seeds."""
    loads = [row for row in rows if "routes" in row]
    out = [
        f"{arguments['seeds']} seeds, {arguments['seconds']:g} s each after "
        f"{arguments['warm_up']:g} s of warm-up; load "
        f"{arguments['load']:g} of capacity; service time exponential, mean "
        f"{arguments['service_ms']:g} ms, longer than a real server's so that "
        "slots and not this machine's processors are what is short. All "
        "routes use the same 20 services. Loopback has no distance between "
        "data centres. Medians over the seeds; counts are sums. Latency and "
        "in time count from the instant a query was due. A p99.9 of fewer "
        "than 1000 queries a seed is their maximum, and a run whose generator "
        "is late says little. ≥: in some seed more than one urgent query in a "
        "hundred got no answer and counts with its deadline; the other "
        "columns but in time are of answers."]
    user = None
    for key in keys_of(loads):
        if key[0] != user:
            user = key[0]
            out += ["", f"### {user}", "", "| " + " | ".join(HEADINGS) + " |",
                    "|" + " --- |" * len(HEADINGS)]
        out.append(table_row(key, runs_of(loads, key)))
    out += ["", "### Refused, ran no", ""]
    for row in rows:
        if "probe" in row:
            out.append(f"- {row['user']}, {row['policy']}, seed "
                       f"{row['seed']}: {json.dumps(row['probe'])}")
    return "\n".join(out) + "\n"


def plot_table(user, rows):
    """Cases down, policies across: medians of the urgent p99."""
    mine = [row for row in rows if row["user"] == user and "routes" in row]
    policies = list(dict.fromkeys(row["policy"] for row in mine))
    cases = list(dict.fromkeys(row["case"] for row in mine))
    lines = ["\t".join(["case", *policies])]
    for case in cases:
        cells = [case]
        for policy in policies:
            runs = runs_of(mine, (user, case, policy))
            cells.append(f"{median(runs, lambda r: urgent_p99_of(r)[0]):.2f}"
                         if runs else "NaN")
        lines.append("\t".join(cells))
    return "\n".join(lines) + "\n"


def store(folder, arguments, rows):
    (folder / "results.json").write_text(json.dumps(
        {"arguments": {k: str(v) for k, v in arguments.items()},
         "runs": rows}, indent=1))
    (folder / "results.md").write_text(markdown(arguments, rows))
    for user in dict.fromkeys(row["user"] for row in rows):
        (folder / f"urgent-p99-{user}.tsv").write_text(plot_table(user, rows))
