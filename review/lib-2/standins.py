"""Stand-ins for the scripts of the second review: store, replicas, client, and daemon processes.

They follow PROTOCOL.md and DEPLOY.md, listen on loopback addresses and use free ports only.
"""

from __future__ import annotations

import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A script that is stopped from outside ends its daemons, too.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "strict_revoke": False,
    "revoke_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 100,
    "recover_s": 12,
    "pass_ms": 120,
    "again_s": 0,
    "stall_ms": 1500,
    "hold_max_ms": 20000,
    "free_ms": 4000,
    "idle_max_ms": 9000,
}


class Record:
    """The record of a run: lines with the seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w")
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Add a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
            self._file.flush()


@dataclass
class Message:
    """A request as a stand-in received it; names of headers in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""


def read_message(stream) -> Message | None:
    """Read one request, or return None at the end of the connection."""
    line = stream.readline().split()
    if len(line) < 2:
        return None
    headers = {}
    while text := stream.readline().strip():
        name, _, value = text.partition(b":")
        headers[name.strip().lower().decode()] = value.strip().decode("latin-1")
    body = stream.read(int(headers.get("content-length", "0")))
    return Message(line[0].decode(), line[1].decode(), headers, body)


class Server:
    """Accept connections and answer each request in the thread of its connection."""

    def __init__(self) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=200)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def handle(self, connection: socket.socket, message: Message) -> None:
        """Answer a request."""
        raise NotImplementedError

    def _accept(self) -> None:
        while True:
            connection, _ = self._socket.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            stream = connection.makefile("rb")
            while (message := read_message(stream)) is not None:
                self.handle(connection, message)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()


class Store(Server):
    """The platform's store: keyed topics with one partition; ``down`` answers 503."""

    def __init__(self) -> None:
        self.down = False
        self._lock = threading.Lock()
        self._end_by_topic: dict[str, int] = {}
        self._topics: dict[str, dict[str, tuple[bytes, int]]] = {}
        super().__init__()

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Append a record; without a value the key is dropped."""
        with self._lock:
            offset = self._end_by_topic.get(topic, 0)
            self._end_by_topic[topic] = offset + 1
            records = self._topics.setdefault(topic, {})
            if value is None:
                records.pop(key, None)
            else:
                records[key] = (value, offset)

    def handle(self, connection: socket.socket, message: Message) -> None:
        """Answer a call."""
        url = urlsplit(message.target)
        topic = parse_qs(url.query).get("topic", [""])[0]
        time.sleep(0.004)
        if self.down:
            answer(connection, 503, b"")
            return
        if url.path == "/log-newest":
            answer(connection, 200, self._newest(topic))
            return
        self._append(topic, message.body)
        end = self._end_by_topic.get(topic, 0)
        answer(connection, 200, json.dumps({"offset": end - 1, "end_offset": end}).encode())

    def _newest(self, topic: str) -> bytes:
        with self._lock:
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(self._topics.get(topic, {}).items())
            ]
            end = self._end_by_topic.get(topic, 0)
        return json.dumps({"items": items, "has_more": False, "end_offset": end}).encode()

    def _append(self, topic: str, body: bytes) -> None:
        while body:
            size = int.from_bytes(body[:4], "big")
            record, body = body[4 : 4 + size], body[4 + size :]
            key_end = 1 + record[0]
            self.put(topic, record[1:key_end].decode(), record[key_end:] or None)


def answer(connection: socket.socket, status: int, body: bytes, extra: str = "") -> None:
    """Send an answer with a length."""
    head = f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    connection.sendall(head.encode() + body)


@dataclass
class Run:
    """A request that ran at a replica."""

    request: str
    replica: str
    target: str
    at: float


class Replica(Server):
    """A replica that runs every request at once; it writes its entry at each heartbeat."""

    heartbeat_seconds = 1.2

    def __init__(self, store: Store, record: Record, name: str, service: str = "pool") -> None:
        self.name = name
        self.runs: list[Run] = []
        self._store = store
        self._record = record
        self._service = service
        self._sequence = 0
        self._listed = True
        super().__init__()
        self._write_entry()
        threading.Thread(target=self._beat, daemon=True).start()

    def leave(self) -> None:
        """Leave without reporting ``draining``: the entry is removed, serving goes on."""
        self._listed = False
        self._store.put("keyed.servers", self.name, None)

    def handle(self, connection: socket.socket, message: Message) -> None:
        """Run a request, or answer a report."""
        if message.target == "/report":
            fields = {"phase": "mixed", "models": [], "busy": False, "seq": 0, "queued": 0}
            fields |= {"in_flight": 0, "kv_used": 0, "kv_total": 400000, "handles": 0}
            answer(connection, 200, json.dumps(fields).encode())
            return
        request = message.headers.get("x-attempt-id", "")
        echo = f"X-Attempt-Id: {request}\r\n"
        if message.headers.get("x-expect-replica", self.name) != self.name:
            answer(connection, 421, b"", f"{echo}X-Not-Executed: 1\r\n")
            return
        run = Run(request, self.name, message.target, time.monotonic())
        self.runs.append(run)
        self._record.write(f"{self.name} runs {request} {message.target}")
        seal = f"X-Replica-Seal: {self.name}\r\n"
        answer(connection, 200, f"done {request}".encode(), echo + seal)

    def _write_entry(self) -> None:
        self._sequence += 1
        fields = {"service": self._service, "address": self.address, "zone": "z1"}
        fields |= {"version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0}
        content = json.dumps({**fields, "seq": self._sequence}).encode()
        self._store.put("keyed.servers", self.name, content)

    def _beat(self) -> None:
        while self._listed:
            time.sleep(self.heartbeat_seconds)
            if self._listed and not self._store.down:
                self._write_entry()


def route(name: str, service: str = "pool") -> dict:
    """Return an idempotent route for the path prefix of its name."""
    fields = {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": "idempotent"}
    fields |= {"timeout_ms": 800, "goal_ms": 100, "priority": 2, "service": service}
    return {**fields, "max_attempts": 2, "anonymous": False}


def configuration(version: int, routes: list[dict]) -> bytes:
    """Return a configuration as the operator writes it."""
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    services = [
        {"name": name, "health_path": "/health", "max_conns": 48}
        for name in sorted({each["service"] for each in routes})
    ]
    tenants = [{"name": "hule930", "api_keys": [KEY], "priority": 1}]
    content = {"version": version, "routes": routes, "services": services}
    return json.dumps({**content, "limits": limits, "tenants": tenants}).encode()


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free on all hosts, for TCP and UDP."""
    found: list[int] = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        if port not in found and all(_is_free(host, port) for host in hosts):
            found.append(port)
    return found


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


@dataclass
class Daemon:
    """One daemon, started by the command of the deploy file."""

    name: str
    host: str
    ports: list[int]
    boot: Path
    process: subprocess.Popen | None = field(default=None)

    def start(self) -> None:
        """Start the process, with the environment that the platform gives."""
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {"BRASSDRUM_BOOT": str(self.boot), "LANG": "C.UTF-8"}
        environment |= {"PYTHONPATH": str(ROOT / "target" / "deps")}
        with self.boot.with_suffix(".log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/brassdrum.py", "gateway"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def start_again(self) -> None:
        """Kill the process if it still runs, as the platform does, and start another one."""
        self.end()
        self.start()

    def end(self) -> None:
        """Kill the process if it still runs."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def ready(self) -> bool:
        """Return whether the daemon answers /readiness with 200."""
        try:
            with socket.create_connection((self.host, self.ports[1]), timeout=1) as connection:
                connection.sendall(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in connection.recv(256).split(b"\r\n")[0] + b" "
        except OSError:
            return False


def make_fleet(count: int, store: Store, folder: Path, zone: str | None = None) -> list[Daemon]:
    """Return daemons with settings like those of a small deployment, not started yet.

    They are spread over three zones unless one is given.
    """
    hosts = [f"127.71.0.{number}" for number in range(11, 11 + count)]
    ports = free_ports(hosts, 4)
    daemons = []
    for number, host in enumerate(hosts, 1):
        name = f"front-z{number}-1"
        front, ready, control, peers = ports
        content = {
            "node_name": name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": host,
            "zone": zone or f"z{number % 3 + 1}",
            "region": "r",
            "zones": {"z1": "r", "z2": "r", "z3": "r"},
            "listen_addrs": {
                "front": f"{host}:{front}",
                "ready": f"{host}:{ready}",
                "control": f"{host}:{control}",
            },
            "port_range": [peers, peers + 15],
            "seeds": [f"{each}:{control}" for each in hosts[:3]],
            "bootstrap": True,
            "loss_counted": False,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4200},
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "retry", "recover", "tenants", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": store.address, "form": "log"},
        }
        boot = folder / f"{name}.json"
        boot.write_text(json.dumps(content))
        daemons.append(Daemon(name, host, ports, boot))
    return daemons


def call(daemon: Daemon, request: str, target: str) -> tuple[int, str] | None:
    """Send one request on a new connection; return status and replica, None without an answer."""
    head = f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request}\r\nX-Key: {KEY}\r\n"
    head += "X-Deadline-Remaining: 1500\r\nConnection: close\r\n\r\n"
    try:
        with socket.create_connection((daemon.host, daemon.ports[0]), timeout=1.5) as connection:
            connection.sendall(head.encode())
            received = b""
            while part := connection.recv(65536):
                received += part
    except OSError:
        return None
    lines = received.split(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
    if len(lines[0].split()) < 2:
        return None
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    return int(lines[0].split()[1]), headers.get("x-replica-seal", "")


def wait_until(condition: Callable[[], bool], seconds: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        if condition():
            return True
        time.sleep(0.02)
    return condition()


def folder() -> Path:
    """Return a new temporary folder for settings and logs."""
    return Path(tempfile.mkdtemp(prefix="review-"))
