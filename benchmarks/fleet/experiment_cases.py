"""What happens in each case of experiments.py.

A case prepares the backend stand-ins, plays its events while the load runs,
collects figures of its own and puts the servers back.
"""

import dataclasses
import time

# Two answers to a query of the slowest route fit in before a version is
# dropped.
LONGEST_DEADLINE_SECONDS = 2.0
# The daemons' slow_start_ms: a returned server has its full share after it.
SLOW_START_SECONDS = 10.5
# Between the servers of a rollout.
ROLL_SECONDS = 0.03
DRAIN_SECONDS = 0.3
DRAINED_SERVERS = 10


@dataclasses.dataclass(frozen=True)
class Settings:
    """Seconds of a run."""
    warm_up: float
    seconds: float


class Case:
    """Calm: no fault, no event."""
    overload = False

    def prepare(self, fleet):
        """Before the load starts."""

    def events(self, fleet, settings):
        """While the load runs, from its start."""

    def collect(self, fleet):
        """Figures besides those of the load."""
        return {}

    def clean(self, fleet):
        """Back to the state of the calm case."""
        time.sleep(1)


class Stragglers(Case):
    """One attempt in twenty takes fifteen times as long."""

    def prepare(self, fleet):
        fleet.backend("PUT", "servers/all", {
            "straggler_probability": 0.05, "straggler_factor": 15})

    def clean(self, fleet):
        fleet.backend("PUT", "servers/all", {"straggler_probability": 0})
        time.sleep(2)


class Overload(Case):
    """The ordinary and bulk lanes ask for 1.5 times the capacity."""
    overload = True

    def clean(self, fleet):
        time.sleep(3)


def second_servers(fleet):
    """One backend server of each service."""
    return [f"b{n}" for n in range(2, fleet.backends + 1, 2)]


class Version(Case):
    """A new index version is loaded, published, and the old one dropped."""

    def __init__(self):
        self.figures = {}

    def events(self, fleet, settings):
        old, new = fleet.index_version, fleet.index_version + 1
        time.sleep(settings.warm_up)
        self._hold(fleet, [old, new])
        _, present = fleet.daemons[0].operate("GET", "/v1/snapshots/all")
        value = {**present["value"], "id": f"version-{new}",
                 "index_version": new}
        # The stored object may carry its earlier manifests: only the
        # operators' keys go back.
        value = {key: value[key] for key in ("id", "index_version", "shards")}
        since = time.time()
        fleet.put("/v1/snapshots/all", value,
                  {"If-Match": str(present["version"])})
        self.figures = {"put_ms": 1000 * (time.time() - since)}
        time.sleep(LONGEST_DEADLINE_SECONDS + 0.5)
        self._hold(fleet, [new])
        fleet.index_version = new

    def collect(self, fleet):
        return self.figures

    @staticmethod
    def _hold(fleet, versions):
        for n in range(1, fleet.backends + 1):
            fleet.backend("PUT", f"servers/b{n}", {"held": versions})
            time.sleep(ROLL_SECONDS)


class Drain(Case):
    """One server of every second service drains, one after the other."""

    def events(self, fleet, settings):
        time.sleep(settings.warm_up)
        for it in second_servers(fleet)[::2][:DRAINED_SERVERS]:
            fleet.backend("PUT", f"servers/{it}", {"draining": True})
            time.sleep(DRAIN_SECONDS)

    def collect(self, fleet):
        stats = fleet.backend("GET", "stats")
        return {"last_arrival_after_drain_ms":
                    stats["last_arrival_after_drain_ms"],
                "arrived_draining": stats["arrived_draining"]}

    def clean(self, fleet):
        fleet.backend("PUT", "servers/all", {"draining": False})
        time.sleep(SLOW_START_SECONDS)


class Cold(Case):
    """One server of each service restarts, and is cold for five seconds."""

    def prepare(self, fleet):
        for it in second_servers(fleet):
            fleet.backend("PUT", f"servers/{it}",
                          {"cold_factor": 8, "cold_ms": 5000})

    def events(self, fleet, settings):
        time.sleep(settings.warm_up)
        for it in second_servers(fleet):
            fleet.backend("POST", f"servers/{it}/kill")
            fleet.backend("POST", f"servers/{it}/revive")

    def clean(self, fleet):
        fleet.backend("PUT", "servers/all", {"cold_factor": 1})
        time.sleep(SLOW_START_SECONDS)


class Lost(Case):
    """One server of each service dies a third into the run."""

    def events(self, fleet, settings):
        time.sleep(settings.warm_up + settings.seconds / 3)
        for it in second_servers(fleet):
            fleet.backend("POST", f"servers/{it}/kill")

    def clean(self, fleet):
        for it in second_servers(fleet):
            fleet.backend("POST", f"servers/{it}/revive")
        time.sleep(SLOW_START_SECONDS)


# In this order a case leaves nothing behind that the next one would feel.
CASES = {
    "calm": Case(), "stragglers": Stragglers(), "overload": Overload(),
    "version": Version(), "drain": Drain(), "cold": Cold(), "lost": Lost(),
}
