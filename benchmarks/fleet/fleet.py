"""Starts a platform stand-in, backend stand-ins and daemons on loopback.

Used by the measuring scripts of this folder. Every process is a child of the
script and is ended by its pid. HP_PORT_SHIFT moves all ports, for two fleets
on one machine; HP_BIN names another folder with the programs.
"""

import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = pathlib.Path(
    os.environ.get("HP_BIN", ROOT / "build" / "release" / "bin"))
TOKEN = "token"
PORT_SHIFT = int(os.environ.get("HP_PORT_SHIFT", "0"))
DAEMON_PORT = 10000 + PORT_SHIFT
PLATFORM_PORT = 19000 + PORT_SHIFT
BACKEND_PORT = 20000 + PORT_SHIFT
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


LANE_ROUTES = {
    lane: {"lane": lane, "prefer": "coverage"}
    for lane in ("urgent", "interactive", "ordinary", "bulk")}


def call(method, port, path, body=None, headers=None, timeout=10):
    """One HTTP call; gives (status, parsed body or text)."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", method=method, data=data,
        headers=dict(headers or {}))
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            status, text = reply.status, reply.read().decode()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read().decode()
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


class Daemon:
    """One hibiscuspickd and what it uses."""

    def __init__(self, fleet, index, data_centre):
        self.fleet = fleet
        self.name = f"i{index:03d}"
        self.data_centre = data_centre
        base = DAEMON_PORT + 3 * index
        self.callers, self.operators, self.inner = base, base + 1, base + 2
        self.log = fleet.folder / f"{self.name}.log"
        self.process = None

    def start(self):
        settings = {
            "instance": self.name,
            "data_centre": self.data_centre,
            "listen": {
                "callers": f"127.0.0.1:{self.callers}",
                "operators": f"127.0.0.1:{self.operators}",
                "inner": f"127.0.0.1:{self.inner}",
            },
            "platform": f"127.0.0.1:{PLATFORM_PORT}",
            "operator_token": TOKEN,
            "inner_key": "key",
            "balancer_lag_ms": 1000,
            "log": {"level": "info"},
        }
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [BIN / "hibiscuspickd", "--settings", path], stderr=log)

    def stop(self, sign=signal.SIGTERM):
        if self.process:
            self.process.send_signal(sign)

    def wait(self):
        if self.process:
            self.process.wait(60)
            self.process = None

    def cpu_seconds(self):
        fields = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = fields.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def resident_mb(self):
        fields = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        return int(fields.split()[1]) * PAGE_BYTES / 1e6

    def operate(self, method, path, body=None, headers=None):
        all_headers = {"Authorization": f"Bearer {TOKEN}"}
        all_headers.update(headers or {})
        return call(method, self.operators, path, body, all_headers)

    def metrics(self):
        """Unlabelled metrics by name."""
        _, text = self.operate("GET", "/metrics")
        found = re.findall(r"^(\w+) ([0-9.e+-]+)$", str(text), re.M)
        return {name: float(value) for name, value in found}

    def status(self):
        return self.operate("GET", "/v1/status")[1]


class Fleet:
    """A platform, backend servers and daemons, ended on exit."""

    def __init__(self, daemons, data_centres, backends=0,
                 backend_settings=None, seed=1):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="hibiscuspick-"))
        self.helpers = []
        self.backends = backends
        self.seed = seed
        self.backend_settings = backend_settings or {"held": [7]}
        self.daemons = [
            Daemon(self, i, f"dc-{i % data_centres}") for i in range(daemons)]

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.__exit__(*sys.exc_info())
            raise
        return self

    def _start(self):
        self._helper("platform", "--listen", f"127.0.0.1:{PLATFORM_PORT}")
        if self.backends:
            self._helper("backends", "--listen", f"127.0.0.1:{BACKEND_PORT}",
                         "--count", str(self.backends), "--control",
                         str(BACKEND_PORT - 1), "--settings",
                         json.dumps(self.backend_settings), "--seed",
                         str(self.seed))
        self._wait_for(PLATFORM_PORT, "/control/state")
        if self.backends:
            self._wait_for(BACKEND_PORT - 1, "/control/stats")
        self.list_instances()
        for it in self.daemons:
            it.start()
        for it in self.daemons:
            self._wait_for(it.callers, "/healthz")

    def __exit__(self, kind, *_):
        for it in self.daemons:
            it.stop(signal.SIGKILL)
        for it in self.daemons:
            it.wait()
        for it in self.helpers:
            it.terminate()
        for it in self.helpers:
            it.wait(30)
        # After a failure the logs are what tells why.
        if kind is None:
            shutil.rmtree(self.folder)

    def _helper(self, *arguments):
        with open(self.folder / "standins.log", "ab") as log:
            self.helpers.append(subprocess.Popen(
                [BIN / "hibiscuspick-standins", *arguments],
                stdout=log, stderr=log))

    @staticmethod
    def _wait_for(port, path):
        for _ in range(600):
            try:
                call("GET", port, path, timeout=1)
                return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError(f"nothing answers on port {port}")

    def list_instances(self):
        call("PUT", PLATFORM_PORT, "/control/instances", [
            {"id": it.name, "address": "127.0.0.1", "inner_port": it.inner,
             "data_centre": it.data_centre, "state": "live"}
            for it in self.daemons])

    def put(self, path, value, headers=None, at=0):
        status, body = self.daemons[at].operate(
            "PUT", path, value, headers or {"If-None-Match": "*"})
        if status != 200:
            raise RuntimeError(f"PUT {path}: {status} {body}")
        return body["version"]

    def configure(self, services, per_service=2, slots=2, connections=25,
                  routes=None):
        """One shard a service, and the routes given or one for each lane."""
        centres = sorted({it.data_centre for it in self.daemons})
        for s in range(services):
            servers = [
                {"id": f"b{s * per_service + r + 1}",
                 "address":
                     f"127.0.0.1:{BACKEND_PORT + s * per_service + r}",
                 "data_centre": centres[s % len(centres)], "slots": slots,
                 "max_connections": connections} for r in range(per_service)]
            self.put(f"/v1/services/s{s}", {"backend_servers": servers})
        self.put("/v1/snapshots/all", {
            "id": "first", "index_version": 7,
            "shards": [{"shard": f"p{s}", "service": f"s{s}",
                        "documents": 100} for s in range(services)]})
        for name, route in (routes or LANE_ROUTES).items():
            self.put(f"/v1/routes/{name}", {"snapshot": "all", **route})

    def wait_until_joined(self, seconds=120):
        """Until each daemon sees all others serving."""
        wanted = len(self.daemons)
        until = time.time() + seconds
        left = list(self.daemons)
        while left and time.time() < until:
            left = [it for it in left
                    if sum(m["state"] == "serving" and not m["suspect"]
                           for m in it.status()["members"]) < wanted]
            time.sleep(0.5)
        return not left

    def backend(self, method, path, body=None):
        """One call of the backend stand-ins' control port."""
        status, reply = call(
            method, BACKEND_PORT - 1, f"/control/{path}", body)
        if status != 200:
            raise RuntimeError(f"{method} {path}: {status} {reply}")
        return reply

    def targets(self):
        return ",".join(f"127.0.0.1:{it.callers}" for it in self.daemons)

    def platform_calls(self):
        return call("GET", PLATFORM_PORT, "/control/state")[1]["calls"]


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
