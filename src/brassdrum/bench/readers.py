"""Measure what callers that read late cost a daemon process, and what they get once they read."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from brassdrum.platform.settings import PATH_VARIABLE
from brassdrum.platform.standin import Store, answer_head, boot_file, caller_headers
from brassdrum.soak.replicas import ReplicaRequest, ReplicaServer
from brassdrum.standins.ports import free_port

__all__ = ["ReaderPlan", "ReaderReport", "measure_readers"]

_HOST = "127.0.0.1"
_KEY = "key-1"
_READY_SECONDS = 20.0
_PATIENCE_SECONDS = 60.0
_PIECE_BYTES = 65536
_SAMPLE_SECONDS = 0.05
_MB = 1 << 20


@dataclass(frozen=True, slots=True)
class ReaderPlan:
    """How many callers read nothing of how much for how long, and when endpoints cut them off.

    ``cut_seconds`` is how long an endpoint waits while nothing of its answer is taken. ``source``
    is the source tree of the daemon that is measured, None for this one.
    """

    callers: int = 8
    answer_mb: int = 24
    late_seconds: float = 6.0
    cut_seconds: float = 4.0
    memory_mb: int = 200
    source: str | None = None


@dataclass(frozen=True, slots=True)
class ReaderReport:
    """Memory of the daemon before and at most, and how the answers ended."""

    before_mb: float
    most_mb: float
    added_mb: float
    whole: int
    incomplete: int
    cut_by_endpoint: int
    small_served: int
    small_sent: int


class _LongAnswers(ReplicaServer):
    """Send long plain answers; give up on one of which nothing is taken for some seconds."""

    name = "long"

    def __init__(self, plan: ReaderPlan) -> None:
        self.cut_count = 0
        self._plan = plan
        super().__init__()

    def handle(self, connection: socket.socket, request: ReplicaRequest) -> bool:
        """Send an answer, short or long by the path."""
        size = self._plan.answer_mb * _MB if "long" in request.path else 4
        connection.settimeout(self._plan.cut_seconds)
        connection.sendall(answer_head(request, size))
        piece = b"x" * min(size, _PIECE_BYTES)
        try:
            for _ in range(size // len(piece)):
                self._send(connection, piece)
        except OSError:
            self.cut_count += 1
            return False
        return True

    def _send(self, connection: socket.socket, piece: bytes) -> None:
        rest = memoryview(piece)
        while rest:
            rest = rest[connection.send(rest) :]


def measure_readers(plan: ReaderPlan) -> ReaderReport:
    """Start a store, an endpoint and a daemon, and let callers read late."""
    store, endpoint = Store(), _LongAnswers(plan)
    store.configure({"org-1": [_KEY]})
    store.list_replica(endpoint, draining=False)
    with tempfile.TemporaryDirectory() as folder:
        boot = Path(folder) / "boot.json"
        port, ready_port = free_port(), free_port()
        boot_file(boot, "daemon-1", _HOST, (port, ready_port, free_port()), store.address)
        content = json.loads(boot.read_text())
        content["limits"] = {"memory_mb": plan.memory_mb}
        boot.write_text(json.dumps(content))
        environment = {**os.environ, PATH_VARIABLE: str(boot)}
        if plan.source is not None:
            environment["PYTHONPATH"] = plan.source
        command = [sys.executable, "-m", "brassdrum", "gateway", "--log-level", "WARNING"]
        with subprocess.Popen(
            command, env=environment, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        ) as process:
            try:
                _wait_ready(ready_port)
                return _play(plan, endpoint, process.pid, port)
            finally:
                process.kill()
                endpoint.close()
                store.close()


def _play(plan: ReaderPlan, endpoint: _LongAnswers, process: int, port: int) -> ReaderReport:
    _whole(_ask(port, "small-warm", "short"), 0.0)
    before = _resident(process)
    stop = threading.Event()
    with ThreadPoolExecutor(plan.callers + 1) as executor:
        most = executor.submit(_most_resident, process, stop)
        sockets = [_ask(port, f"long-{number}", "long") for number in range(plan.callers)]
        started = time.monotonic()
        reads = [executor.submit(_whole, each, plan.late_seconds) for each in sockets]
        small = list(_small_requests(port, started + plan.late_seconds))
        whole = sum(each.result() for each in reads)
        stop.set()
    return ReaderReport(
        round(before / _MB, 1),
        round(most.result() / _MB, 1),
        round((most.result() - before) / _MB, 1),
        whole,
        plan.callers - whole,
        endpoint.cut_count,
        sum(small),
        len(small),
    )


def _small_requests(port: int, until: float) -> Iterator[bool]:
    """Send short requests with a body while the others read nothing."""
    number = 0
    while time.monotonic() < until:
        number += 1
        yield _whole(_ask(port, f"small-{number}", "short"), 0.0)
        time.sleep(0.1)


def _ask(port: int, name: str, answer: str) -> socket.socket:
    """Send a request and return its connection."""
    connection = socket.create_connection((_HOST, port), timeout=_PATIENCE_SECONDS)
    lines = [f"POST /hold/{answer} HTTP/1.1", "Content-Length: 4"]
    headers = caller_headers(name, _KEY, _PATIENCE_SECONDS, 0)
    lines += [f"{key}: {value}" for key, value in headers.items()]
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\nbody")
    return connection


def _whole(connection: socket.socket, late_seconds: float) -> bool:
    """Read an answer after a wait; return whether it came whole."""
    time.sleep(late_seconds)
    with connection, connection.makefile("rb") as stream:
        try:
            status = stream.readline().split()
            length = 0
            while (line := stream.readline().strip()) and status:
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            left = length
            while left and (data := stream.read(min(left, _PIECE_BYTES))):
                left -= len(data)
        except OSError:
            return False
    return bool(status) and status[1] == b"200" and length > 0 and left == 0


def _wait_ready(port: int) -> None:
    limit = time.monotonic() + _READY_SECONDS
    while time.monotonic() < limit:
        try:
            with socket.create_connection((_HOST, port), timeout=1.0) as connection:
                connection.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                if b" 200 " in connection.recv(4096):
                    return
        except OSError:
            pass  # The daemon does not listen yet.
        time.sleep(0.05)
    raise TimeoutError("The daemon did not become ready; run the command `gateway` by hand.")


def _most_resident(process: int, stop: threading.Event) -> int:
    most = 0
    while not stop.wait(_SAMPLE_SECONDS):
        most = max(most, _resident(process))
    return most


def _resident(process: int) -> int:
    """Return the resident bytes of a process."""
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
