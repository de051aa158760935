"""Measure the processor time of a gateway's start in steps, up to its first request.

The daemon runs in a process of its own, as on the platform: compiled sources lie in a cache, the
store and one endpoint are stand-ins, and a caller connects as soon as the daemon listens.
"""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import median

from brassdrum.http_pool import ConnectFailedError, ExchangeFailedError, HttpPool
from brassdrum.platform.settings import PATH_VARIABLE
from brassdrum.platform.standin import Replica, Store, boot_file, caller_headers
from brassdrum.standins.ports import free_port

__all__ = ["Start", "StartStep", "measure_starts", "run_start"]

_HOST = "127.0.0.1"
_KEY = "key-1"
_SECONDS_TO_ANSWER = 15.0
_CONNECT_INTERVAL_SECONDS = 0.002
_KILL_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class StartStep:
    """The median processor time of a step, and since the start of the process."""

    step: str
    cpu_ms: float
    total_ms: float
    wall_ms: float


@dataclass(frozen=True, slots=True)
class Start:
    """The steps of one start with processor and elapsed seconds, and the imported modules."""

    steps: list[tuple[str, float, float]]
    modules: list[str]


def measure_starts(starts: int) -> list[StartStep]:
    """Return the steps of a start; one more start fills the cache of compiled sources first."""
    with tempfile.TemporaryDirectory() as folder:
        run_start(Path(folder))
        runs = [run_start(Path(folder)).steps for _ in range(starts)]
    steps = []
    before = 0.0
    for number, (name, _, _) in enumerate(runs[0]):
        total = 1000 * median(run[number][1] for run in runs)
        wall = 1000 * median(run[number][2] for run in runs)
        steps.append(StartStep(name, round(total - before, 1), round(total, 1), round(wall, 1)))
        before = total
    return steps


def run_start(folder: Path) -> Start:
    """Start a daemon, send it one request and stop it; the folder keeps compiled sources."""
    store = Store()
    replica = Replica("replica-1", [], [], set(), lambda: 1.0)
    store.configure({"org-1": [_KEY]})
    store.list_replica(replica, draining=False)
    ports = (free_port(), free_port(), free_port())
    boot = folder / "boot.json"
    boot_file(boot, "daemon-1", _HOST, ports, store.address)
    process = subprocess.Popen(
        [
            sys.executable,
            "-X",
            f"pycache_prefix={folder / 'pycache'}",
            "-m",
            "brassdrum.bench.start_steps",
        ],
        # As the platform's build does: an interpreter that writes no cache would compile each time.
        env={**os.environ, PATH_VARIABLE: str(boot), "PYTHONDONTWRITEBYTECODE": ""},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        _send_first_request(ports[0])
    finally:
        process.terminate()
        try:
            _, output = process.communicate(timeout=_KILL_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            _, output = process.communicate()
        store.close()
        replica.close()
    try:
        content = json.loads(output.splitlines()[-1])
        return Start([tuple(step) for step in content["steps"]], content["modules"])
    except (IndexError, KeyError, ValueError) as error:
        raise RuntimeError(f"the daemon printed no steps; it wrote: {output[-2000:]}") from error


def _send_first_request(port: int) -> None:
    """Send a request as soon as the daemon listens, or raise ``TimeoutError``."""
    ends_at = time.monotonic() + _SECONDS_TO_ANSWER
    while time.monotonic() < ends_at:
        try:
            socket.create_connection((_HOST, port), timeout=1.0).close()
        except OSError:
            time.sleep(_CONNECT_INTERVAL_SECONDS)
            continue
        pool = HttpPool(f"http://{_HOST}:{port}", _SECONDS_TO_ANSWER)
        try:
            pool.call("GET", "/check/1", headers=caller_headers("first", _KEY, 10.0, 0))
        except (ConnectFailedError, ExchangeFailedError) as error:
            raise TimeoutError(f"the daemon did not answer its first request: {error}") from error
        finally:
            pool.close()
        return
    raise TimeoutError("the daemon did not listen in time; look at its settings and ports")
