"""Stand-ins for a review case: the platform's store, replicas, clients, and the daemons' processes.

They follow the users' pages and use the standard library alone. All run in one event loop of the
script; the daemons under test are separate processes, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "review.example"
KEY, TENANT = "k1", "tenant-1"
# Limits and bounds of a small deployment, as its sheet and settings name them.
BOUNDS = {
    "drain_ms": 2000, "config_apply_ms": 2000, "grace_s": 8, "budget_ratio": 0.2,
    "budget_window_s": 10, "budget_slack": 106, "stall_ms": 1500, "hold_max_ms": 20000,
    "free_ms": 4000, "stable_window_ms": 3000,
}
RUNTIME = {
    "slots": 8, "kv_tokens": 405000, "step_ms": 1.31, "per_seq_ms": 0.000917,
    "context_per_k": 0.00213, "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048,
    "stride": 17, "hop_ms": 0.1, "usual": {"prompt": 16000, "answer": 1200},
}


class Record:
    """The record of what was sent, answered and run, in order of time."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def write(self, kind: str, **values: object) -> None:
        """Append one line."""
        shown = " ".join(f"{name}={value}" for name, value in values.items())
        self._file.write(f"{time.monotonic() - self._began:8.3f} {kind} {shown}\n")

    def close(self) -> None:
        """Write what is buffered."""
        self._file.close()


@dataclass(slots=True)
class Message:
    """The head and body of one request or response; names of headers are in lower case."""

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head, or return None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message as its framing says."""
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return
                message.body += chunk[:-2]
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        message.body += getattr(error, "partial", b"")
        message.complete = False


class Store:
    """The platform's store, as far as the daemons use it: the newest record of each key."""

    def __init__(self) -> None:
        self._value_by_key: dict[str, dict[str, bytes]] = {"keyed.op": {}, "keyed.servers": {}}
        self._end_by_topic: dict[str, int] = {}
        self.address = ""
        self._version = 0

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record, or drop the key if the value is empty."""
        records = self._value_by_key.setdefault(topic, {})
        self._end_by_topic[topic] = self._end_by_topic.get(topic, 0) + 1
        if value:
            records[key] = value
        else:
            records.pop(key, None)

    def configure(self, routes: list[dict], services: list[dict], tenants: list[dict]) -> int:
        """Write the next version of the configuration."""
        self._version += 7
        content = {
            "version": self._version, "routes": routes, "services": services, "tenants": tenants,
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 4 << 20,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
        }
        self.put("keyed.op", "config", json.dumps(content).encode())
        return self._version

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                parts = urlsplit(request.start[1])
                query = parse_qs(parts.query)
                status, body = self._answer(parts.path, query.get("topic", [""])[0], request.body)
                await asyncio.sleep(0.004)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)))
                writer.write(body)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def _answer(self, path: str, topic: str, body: bytes) -> tuple[int, bytes]:
        if path == "/log-newest":
            records = self._value_by_key.get(topic)
            if records is None:
                return 404, b"{}"
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": number}
                for number, (key, value) in enumerate(sorted(records.items()))
            ]
            end = self._end_by_topic.get(topic, 0)
            return 200, json.dumps({"items": items, "has_more": False, "end_offset": end}).encode()
        if path == "/log-append":
            content = body[4:]
            size = content[0]
            self.put(topic, content[1 : 1 + size].decode(), content[1 + size :])
            return 200, b'{"offset":0,"end_offset":1}'
        return 404, b"{}"


@dataclass(slots=True)
class Ticket:
    """Memory that a replica has set aside."""

    tokens: int
    until: float
    made: float
    used_by: set[str] = field(default_factory=set)
    used_at: float | None = None


@dataclass(slots=True)
class Run:
    """One request that reached a replica; ``began`` is None if the replica never worked on it."""

    request: str
    replica: str
    at: float
    headers: dict[str, str]
    began: float | None = None
    ended: float | None = None
    status: int | None = None


Answer = Callable[["Replica", Message, "Run", "ReplicaConnection"], Awaitable[bool]]


class ReplicaConnection:
    """One connection that a replica serves, with the call that was answered on it last."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.peer_name = writer.get_extra_info("peername")
        self.last_path = ""
        self.last_answer = b""

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()


class Replica:
    """A replica: runs requests, keeps reservations, answers reports."""

    def __init__(
        self, store: Store, record: Record, name: str, service: str, answer: Answer,
        *, slots: int = 8, kv_total: int = 405000, zone: str = "hall-a",
    ) -> None:
        self.store, self.record = store, record
        self.name, self.service, self.slots, self.zone = name, service, slots, zone
        self.kv_total = kv_total
        self.answer = answer
        self.runs: list[Run] = []
        self.tickets: dict[str, Ticket] = {}
        self.address = ""
        self.order_delay = 0.0
        # Called before a call is handled; returns False to close the connection.
        self.before: Callable[[ReplicaConnection, Message], Awaitable[bool]] | None = None
        self.connections: set[ReplicaConnection] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, and write the entry to the store."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.list_as("ready")

    def list_as(self, state: str) -> None:
        """Write the entry, or remove it for an empty state."""
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": state, "cold_left_ms": 0, "seq": 0,
        }
        self.store.put("keyed.servers", self.name, json.dumps(entry).encode() if state else b"")

    def free(self) -> int:
        """Return the memory that is not set aside now."""
        now = time.monotonic()
        self.tickets = {name: each for name, each in self.tickets.items() if each.until > now}
        return self.kv_total - sum(each.tokens for each in self.tickets.values())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ReplicaConnection(reader, writer)
        self.connections.add(connection)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                if not request.complete:
                    return
                if self.before is not None and not await self.before(connection, request):
                    return
                if not await self._handle(connection, request):
                    return
                connection.last_path = request.start[1]
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    async def _handle(self, connection: ReplicaConnection, request: Message) -> bool:
        path = request.start[1]
        if path == "/order":
            if self.order_delay:
                await asyncio.sleep(self.order_delay)
            status, body = self.order(json.loads(request.body))
            await self.respond(connection, request, status, body)
            return True
        if path == "/report":
            body = {"phase": "mixed", "busy": False, "seq": 0, "kv_total": self.kv_total}
            await self.respond(connection, request, 200, json.dumps(body).encode())
            return True
        expected = request.headers.get("x-expect-replica")
        if expected is not None and expected != self.name:
            extra = f"X-Not-Executed: 1\r\nAt-Server: {self.name}\r\n"
            await self.respond(connection, request, 421, b"", extra)
            return True
        run = Run(request.headers["x-attempt-id"], self.name, time.monotonic(), request.headers)
        self.runs.append(run)
        self.record.write("arrived", replica=self.name, request=run.request)
        keep = await self.answer(self, request, run, connection)
        run.ended = time.monotonic()
        self.record.write("ended", replica=self.name, request=run.request, status=run.status)
        return keep

    def order(self, order: dict) -> tuple[int, bytes]:
        """Carry out an order; return the status and body."""
        free = self.free()
        name, now = order["id"], time.monotonic()
        if order["op"] == "release":
            released = self.tickets.pop(name, None)
            self.record.write("release", replica=self.name, ticket=name, held=released is not None)
            return 200, b'{"free":%d}' % self.free()
        known = self.tickets.get(name)
        tokens = order["token_count"]
        if tokens > self.kv_total:
            return 400, b"{}"
        if tokens > free + (known.tokens if known else 0) or len(self.tickets) >= 64:
            self.record.write("reserve", replica=self.name, ticket=name, status=409)
            return 409, b'{"free":%d}' % free
        until = now + order["hold_ms"] / 1000
        if known is None:
            self.tickets[name] = Ticket(tokens, until, now)
        else:
            known.tokens, known.until = tokens, until
        self.record.write("reserve", replica=self.name, ticket=name, status=200, tokens=tokens)
        return 200, b'{"free":%d}' % self.free()

    async def respond(
        self, connection: ReplicaConnection, request: Message, status: int, body: bytes,
        extra: str = "",
    ) -> None:
        """Send a whole answer with a length."""
        echoed = request.headers.get("x-attempt-id")
        head = f"HTTP/1.1 {status} X\r\n"
        head += f"X-Attempt-Id: {echoed}\r\n" if echoed is not None else ""
        head += f"{extra}Content-Length: {len(body)}\r\n\r\n"
        connection.last_answer = head.encode("latin-1") + body
        await connection.send(connection.last_answer)


SEAL = "X-Replica-Seal: {}.1\r\n"


def plain_body(request: str) -> bytes:
    """Return the body that a replica answers to a request that is not a stream."""
    return f"done {request}".encode()


def plain(seconds: float) -> Answer:
    """Return what answers a plain request after some work."""

    async def answer(
        replica: Replica, request: Message, run: Run, connection: ReplicaConnection
    ) -> bool:
        run.began = time.monotonic()
        await asyncio.sleep(seconds)
        run.status = 200
        extra = SEAL.format(replica.name)
        await replica.respond(connection, request, 200, plain_body(run.request), extra)
        return True

    return answer


def event(request: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request} {number}\n\n".encode()


def stream(events: int, gap: float, first: float = 0.05) -> Answer:
    """Return what answers with a stream in chunks."""

    async def answer(
        replica: Replica, request: Message, run: Run, connection: ReplicaConnection
    ) -> bool:
        await asyncio.sleep(first)
        run.began = time.monotonic()
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {run.request}\r\n" + SEAL.format(replica.name)
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        await connection.send(head.encode())
        begin = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(begin, events + 1):
            data = event(run.request, number)
            await connection.send(b"%x\r\n%b\r\n" % (len(data), data))
            await asyncio.sleep(gap)
        await connection.send(b"0\r\n\r\n")
        run.status = 200
        return True

    return answer


@dataclass(slots=True)
class Outcome:
    """What a client saw of one attempt; ``status`` is None if no head came."""

    request: str
    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    sent_at: float = 0.0
    ended_at: float = 0.0


class Client:
    """A client with one connection that it keeps open."""

    _numbers = itertools.count(1)

    def __init__(self, record: Record, daemon: "Daemon") -> None:
        self._record, self._daemon = record, daemon
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def call(
        self, path: str, *, method: str = "POST", deadline_ms: int = 10000,
        headers: dict[str, str] | None = None, body: bytes = b"x", name: str | None = None,
    ) -> Outcome:
        """Send one request and read its answer until the deadline."""
        request = name or f"{next(self._numbers):016x}"
        outcome = Outcome(request, sent_at=time.monotonic())
        self._record.write("sent", request=request, path=path, daemon=self._daemon.name)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await self._exchange(outcome, path, method, deadline_ms, headers or {}, body)
        except (TimeoutError, ConnectionError, OSError) as error:
            self._record.write("client", request=request, error=type(error).__name__)
        outcome.ended_at = time.monotonic()
        if not outcome.complete or outcome.headers.get("connection") == "close":
            self.close()
        self._record.write(
            "answered", request=request, status=outcome.status, complete=outcome.complete,
            seal=outcome.headers.get("x-replica-seal"), echoed=outcome.headers.get("x-attempt-id"),
            bytes=len(outcome.body),
        )
        return outcome

    async def _exchange(
        self, outcome: Outcome, path: str, method: str, deadline_ms: int,
        headers: dict[str, str], body: bytes,
    ) -> None:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(*self._daemon.front)
        assert self._reader is not None
        lines = {
            "Host": HOST_NAME, "X-Attempt-Id": outcome.request, "X-Key": KEY,
            "X-Deadline-Remaining": str(deadline_ms), **headers,
        }
        if method != "GET":
            lines["Content-Length"] = str(len(body))
        head = f"{method} {path} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        self._writer.write(head.encode("latin-1") + b"\r\n" + (body if method != "GET" else b""))
        await self._writer.drain()
        answer = await read_head(self._reader)
        if answer is None:
            return
        outcome.status, outcome.headers = int(answer.start[1]), answer.headers
        await read_body(self._reader, answer)
        outcome.body, outcome.complete = answer.body, answer.complete


class Daemon:
    """One daemon as a process; each has a loopback address of its own."""

    def __init__(
        self, number: int, folder: Path, ports: tuple[int, int, int], store: str, seeds: list[str],
        *, bounds: dict | None = None, zone: str = "hall-a",
    ) -> None:
        self.name, self.host = f"front-{number}", f"127.0.0.{10 + number}"
        self.front, self.ready_address = (self.host, ports[0]), (self.host, ports[1])
        self.boot, self.log = folder / f"{self.name}.json", folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None
        settings = {
            "node_name": self.name, "role": "gateway", "machine_class": "front",
            "serves": ["front", "control"], "ip": self.host, "zone": zone, "region": "r",
            "zones": {zone: "r"},
            "listen_addrs": {
                "front": f"{self.host}:{ports[0]}", "ready": f"{self.host}:{ports[1]}",
                "control": f"{self.host}:{ports[2]}",
            },
            "port_range": [ports[2] + 1, ports[2] + 16], "seeds": seeds, "bootstrap": True,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4100},
            "data_dir": None, "bounds": {**BOUNDS, **(bounds or {})},
            "platform": {"address": store, "form": "log"},
        }
        self.boot.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process with the command of the deploy file, unless it runs."""
        if self.process is not None and self.process.poll() is None:
            return
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        command[0] = sys.executable
        environment = {
            "PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"), "BRASSDRUM_BOOT": str(self.boot),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that this object started."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the daemon answers that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(*self.ready_address)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.start[1] == "200"

    def errors(self) -> list[str]:
        """Return the lines of level error that the daemon has written."""
        return [line for line in self.log.read_text().splitlines() if '"level":"error"' in line]


def free_ports(hosts: list[str]) -> tuple[int, int, int]:
    """Return ports that are free on all hosts: for clients, for readiness and for control."""
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            first = probe.getsockname()[1]
        if first + 40 > 65000:
            continue
        if all(_is_free(host, first + step) for host in hosts for step in range(20)):
            return first, first + 1, first + 2
    raise OSError("no free ports")


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class CaseFailed(Exception):
    """The case could not run."""


class Site:
    """A store, replicas and daemons of one case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.replicas: list[Replica] = []
        self.daemons: list[Daemon] = []
        self.folder = tempfile.TemporaryDirectory(prefix="review-")

    async def start_daemons(self, count: int, **options: object) -> None:
        """Start daemons and wait until all are ready."""
        hosts = [f"127.0.0.{10 + number}" for number in range(1, count + 1)]
        ports = free_ports(hosts)
        seeds = [f"{host}:{ports[2]}" for host in hosts[:3]]
        self.daemons = [
            Daemon(number, Path(self.folder.name), ports, self.store.address, seeds, **options)
            for number in range(1, count + 1)
        ]
        for each in self.daemons:
            each.start()
        await self.wait_ready()

    async def wait_ready(self, seconds: float = 30.0) -> None:
        """Wait until all daemons are ready."""
        end = time.monotonic() + seconds
        for each in self.daemons:
            while not await each.is_ready():
                if time.monotonic() > end:
                    raise CaseFailed(f"{each.name} is not ready: {each.log.read_text()[-2000:]}")
                await asyncio.sleep(0.05)

    def close(self) -> None:
        """End all processes."""
        for each in self.daemons:
            each.end()
        self.folder.cleanup()


def route(name: str, kind: str, service: str, **values: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name, "host": HOST_NAME, "path_prefix": f"/{name}/", "kind": kind,
        "service": service, "timeout_ms": 10000, "goal_ms": 1000, "priority": 1,
        "max_attempts": 1 if kind == "non_idempotent" else 2, **values,
    }


def main(case: Callable[[Site, bool], Awaitable[bool]], folder: Path) -> None:
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    site = Site(record)
    # So that all processes are ended below also where the script itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def play() -> bool:
        async with asyncio.timeout(110):
            await site.store.start()
            return await case(site, trouble)

    try:
        held = asyncio.run(play())
        code = 0 if held else 1
    except (CaseFailed, OSError, TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        code = 2
    finally:
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
            for each in site.daemons:
                (Path(keep) / each.log.name).write_bytes(each.log.read_bytes())
        site.close()
        record.close()
    print(f"trouble={int(trouble)} " + ("the rule held" if code == 0 else f"exit {code}"))
    sys.exit(code)
