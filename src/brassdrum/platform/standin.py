"""Stand-ins of the platform for the soak: its store and its replicas, with faults on command."""

from __future__ import annotations

import base64
import json
import math
import re
import socket
import threading
import time
from collections.abc import Callable, Mapping
from http.server import ThreadingHTTPServer
from pathlib import Path

from brassdrum.soak.long_answers import LONG_BYTES, LONG_KIND, send_long
from brassdrum.soak.records import CopiedRecords
from brassdrum.soak.replicas import (
    COLD_RATE,
    EVENTS,
    PAUSE_SECONDS,
    ZONES,
    Arrival,
    HeldMemory,
    ReplicaFaults,
    ReplicaRequest,
    ReplicaServer,
    Run,
    ends_replica,
    event,
    expected,
)
from brassdrum.soak.store_server import store_handler

__all__ = ["Replica", "Store", "boot_file", "caller_headers", "open_head", "request_of"]

_CONFIGURATION_TOPIC = "keyed.op"
_ENDPOINT_TOPIC = "keyed.servers"
_EVACUATION_KEY = "evacuate/"
_UNFRAMED_CUT_SHARE = 0.5
_EVENT_SECONDS = 0.02
_KINDS = {
    "hold": "non_idempotent",
    "check": "idempotent",
    "text": "streaming",
    LONG_KIND: "idempotent",
}
_TIMEOUT_MS = 8000
# Slow readers need a few seconds, more on a busy machine.
_LONG_TIMEOUT_MS = 20_000
_HOST = "soak.example"
_SERVICE = "pool"
_ERA_HEADER = "Store-Era"
_KV_TOKENS = 100_000
_REQUEST = re.compile(rb"\r\nX-Attempt-Id: ?([^\r]+)\r\n", re.IGNORECASE)


def caller_headers(
    request: str, key: str, patience: float, tokens: int, parts: str = ""
) -> dict[str, str]:
    """Return the headers that a caller of the platform sends; patience in seconds."""
    headers = {
        "Host": _HOST,
        "X-Attempt-Id": request,
        "X-Key": key,
        "X-Deadline-Remaining": str(int(patience * 1000)),
    }
    if tokens:
        headers |= {"X-Token-Usage": f"{tokens},100", "X-Prompt-Prefix": parts}
    return headers


def boot_file(
    path: Path, name: str, host: str, ports: tuple[int, int, int], store: str, zone: str = ZONES[0]
) -> None:
    """Write the settings file of one daemon; ports are the callers', readiness and peers'."""
    content = {
        "node_name": name,
        "ip": host,
        "zone": zone,
        "listen_addrs": {"front": f"{host}:{ports[0]}", "ready": f"{host}:{ports[1]}"},
        "port_range": [ports[2], ports[2] + 9],
        "seeds": [],
        "bounds": {"drain_ms": 2000, "config_apply_ms": 2000, "grace_s": 4},
        "platform": {"address": store},
    }
    path.write_text(json.dumps(content))


def request_of(data: bytes) -> str:
    """Return the request whose head some data to a replica hold, empty if none."""
    match = _REQUEST.search(data)
    return "" if match is None else match.group(1).decode()


def open_head(request: str, status: int) -> bytes:
    """Return the beginning of the head of a replica's answer to a request."""
    head = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {request}\r\nX-Replica-Seal: s1\r\n"
    return head.encode()


def answer_head(request: ReplicaRequest, size: int) -> bytes:
    """Return the head of a replica's answer with a body of a size."""
    echoed = request.header_by_name.get("x-attempt-id", "")
    return open_head(echoed, 200) + f"Content-Length: {size}\r\n\r\n".encode()


class Store:
    """Keep the newest record of each key, and fail on command."""

    def __init__(self) -> None:
        self.fault = ""
        self.hide_evacuations = False
        self.records = CopiedRecords((_CONFIGURATION_TOPIC, _ENDPOINT_TOPIC))
        self._version = 0
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), store_handler(self, _ERA_HEADER))
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def configure(self, keys_by_organisation: Mapping[str, list[str]]) -> int:
        """Write the next version of the configuration; return its number."""
        self._version += 3
        routes = [
            {
                "name": name,
                "host": _HOST,
                "path_prefix": f"/{name}/",
                "kind": kind,
                "timeout_ms": _LONG_TIMEOUT_MS if name == LONG_KIND else _TIMEOUT_MS,
                "goal_ms": 1000,
                "priority": 1,
                "service": _SERVICE,
                "max_attempts": 1 if name == "hold" else 2,
                "resumable": name == "text",
                "gap_aim_ms": 250 if name == "text" else 0,
            }
            for name, kind in _KINDS.items()
        ]
        runtime = {
            "slots": 8,
            "kv_tokens": _KV_TOKENS,
            "step_ms": 1.0,
            "read_per_s": 500_000.0,
            "stride": 10,
        }
        service = {"name": _SERVICE, "max_conns": 500, "cold_per_s": COLD_RATE, "runtime": runtime}
        content = {
            "version": self._version,
            "routes": routes,
            "services": [service],
            "tenants": [
                {"name": name, "api_keys": keys} for name, keys in keys_by_organisation.items()
            ],
        }
        self.records.put(_CONFIGURATION_TOPIC, "config", json.dumps(content).encode())
        return self._version

    def evacuate(self, zone: str) -> None:
        """Accept the record that evacuates a zone."""
        if not self.hide_evacuations:
            self.records.put(_CONFIGURATION_TOPIC, _EVACUATION_KEY + zone, b"{}")

    def take_back(self, zone: str) -> None:
        """Delete the record that evacuates a zone."""
        self.records.drop(_CONFIGURATION_TOPIC, _EVACUATION_KEY + zone)

    def list_replica(self, replica: ReplicaServer, *, draining: bool) -> None:
        """Write a replica's entry."""
        fields = {
            "address": replica.address,
            "zone": replica.zone,
            "slots": 8,
            "state": "draining" if draining else "ready",
            "cold_left_ms": replica.remaining_cold_ms(),
        }
        self.list_entry(replica.name, fields)

    def list_entry(self, name: str, fields: Mapping[str, object]) -> None:
        """Write an entry that differs from a usual one in some fields."""
        content = {
            "service": _SERVICE,
            "address": "127.0.0.1:9",
            "zone": ZONES[0],
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 0,
        }
        self.records.put(_ENDPOINT_TOPIC, name, json.dumps({**content, **fields}).encode())

    def remove_replica(self, name: str) -> None:
        """Drop a replica's entry."""
        self.records.drop(_ENDPOINT_TOPIC, name)

    def newest(self, topic: str) -> bytes:
        """Return the newest records of a topic in one page."""
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": number}
            for number, (key, value) in enumerate(self.records.newest(topic).items())
        ]
        end = self.records.end_offset(topic)
        return json.dumps({"items": items, "has_more": False, "end_offset": end}).encode()

    def append(self, topic: str, record: bytes) -> bytes:
        """Take one keyed record."""
        content = record[4:]
        length = content[0]
        self.records.put(topic, content[1 : 1 + length].decode(), content[1 + length :])
        return b'{"offset":0,"end_offset":1}'


class Replica(ReplicaServer):
    """Serve requests and record each run."""

    def __init__(
        self,
        name: str,
        runs: list[Run],
        arrivals: list[Arrival],
        spoilt: set[str],
        chance: Callable[[], float],
        on_ended: Callable[[], None] | None = None,
        sender_of: Callable[[socket.socket], str] = lambda connection: "",
        arrived_at: Callable[[socket.socket], float] = lambda connection: time.monotonic(),
        endless: Callable[[socket.socket, str, bool], bool] = lambda *_arguments: False,
    ) -> None:
        self.name = name
        self._on_ended = on_ended
        self._sender_of = sender_of
        self._arrived_at = arrived_at
        self._send_endless = endless
        self.faults = ReplicaFaults()
        self._runs, self._arrivals, self._spoilt = runs, arrivals, spoilt
        self._chance = chance
        self._memory = HeldMemory(_KV_TOKENS)
        self._cold_until = 0.0
        self._lock = threading.Lock()
        super().__init__()

    def held(self) -> int:
        """Return the tokens that are set aside now."""
        return self._memory.held()

    def turn_cold(self, seconds: float) -> None:
        """Be cold for a span."""
        self._cold_until = time.monotonic() + seconds

    def remaining_cold_ms(self) -> int:
        """Return for how long the replica says that it stays cold."""
        left = max(0.0, self._cold_until - time.monotonic())
        return 0 if self.faults.hide_cold else math.ceil(left * 1000)

    def handle(self, connection: socket.socket, request: ReplicaRequest) -> bool:
        """Answer one request."""
        headers = request.header_by_name
        if request.path == "/order":
            self._answer(connection, request, self._order(json.loads(request.body)), b"{}", "")
            return True
        if request.path == "/report":
            self._answer(connection, request, 200, b"{}", "")
            return True
        if headers.get("x-expect-replica") != self.name:
            self._answer(connection, request, 421, b"", "X-Replica-Id: other\r\n")
            return True
        rests = self.faults.rest > 0 and self._chance() < self.faults.rest
        pause = PAUSE_SECONDS if rests else 0.0
        sender = self._sender_of(connection)
        self._arrivals.append(
            Arrival(
                headers["x-attempt-id"],
                self.name,
                self._arrived_at(connection),
                pause,
                sender,
                time.monotonic(),
            )
        )
        if rests:
            extra = f"X-Not-Executed: 1\r\nRetry-After: {pause}\r\n"
            self._answer(connection, request, 503, b"", extra)
            return True
        if self._chance() < self.faults.refuse:
            self._answer(connection, request, 503, b"", "X-Not-Executed: 1\r\n")
            return True
        parts = request.header_by_name.get("x-prompt-prefix", "")
        if ends_replica(request.path, parts) and self._on_ended is not None:
            self._note(request, sender, self._arrived_at(connection), ending=True)
            self._on_ended()
            return False
        for _ in range(2 if self._chance() < self.faults.repeat else 1):
            self._note(request, sender, self._arrived_at(connection))
        return self._run(connection, request)

    def _note(
        self, request: ReplicaRequest, sender: str, arrived_at: float, *, ending: bool = False
    ) -> None:
        headers = request.header_by_name
        name, resumed = headers["x-attempt-id"], "last-event-id" in headers
        organisation = headers.get("x-tenant", "")
        now = time.monotonic()
        run = Run(name, self.name, organisation, now, resumed, ending, sender, arrived_at)
        with self._lock:
            self._runs.append(run)

    def _run(self, connection: socket.socket, request: ReplicaRequest) -> bool:
        if self._chance() < self.faults.lose:
            self._spoilt.add(request.header_by_name["x-attempt-id"])
            return False
        streams = request.path.startswith("/text/")
        if self._chance() < self.faults.endless and self._send_endless(
            connection, request.header_by_name["x-attempt-id"], streams
        ):
            return False
        seal = "X-Replica-Seal: s1\r\n"
        if self._chance() < self.faults.fail:
            self._spoilt.add(request.header_by_name["x-attempt-id"])
            self._answer(connection, request, 500, b"failed", seal)
            return True
        if streams:
            return self._stream(connection, request)
        if request.path.startswith(f"/{LONG_KIND}/"):
            return self._send_long(connection, request)
        spoilt = self._chance() < self.faults.spoil
        body = expected(request.header_by_name["x-attempt-id"], spoilt=spoilt)
        self._answer(connection, request, 200, body, seal)
        return True

    def _send_long(self, connection: socket.socket, request: ReplicaRequest) -> bool:
        echoed = request.header_by_name["x-attempt-id"]
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {echoed}\r\n{self._signals()}"
        head += f"X-Replica-Seal: s1\r\nContent-Length: {LONG_BYTES}\r\n\r\n"
        connection.sendall(head.encode())
        broken = self._chance() < self.faults.break_long
        send_long(connection, echoed, broken=broken)
        return not broken

    def _stream(self, connection: socket.socket, request: ReplicaRequest) -> bool:
        headers = request.header_by_name
        unframed = self._chance() < self.faults.unframed
        framing = "" if unframed else "Transfer-Encoding: chunked\r\n"
        start = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {headers['x-attempt-id']}\r\n"
        start += f"{self._signals()}X-Replica-Seal: s1\r\n{framing}\r\n"
        connection.sendall(start.encode())
        cut = self._chance() < (_UNFRAMED_CUT_SHARE if unframed else self.faults.cut)
        for number in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
            time.sleep(_EVENT_SECONDS)
            data = event(headers["x-attempt-id"], number)
            if cut and number == EVENTS // 2:
                self._spoilt.add(headers["x-attempt-id"])
                if unframed:
                    connection.sendall(data[: len(data) // 2])
                return False
            connection.sendall(data if unframed else b"%x\r\n%b\r\n" % (len(data), data))
        if not unframed:
            connection.sendall(b"0\r\n\r\n")
        return not unframed

    def _signals(self) -> str:
        limit = self.faults.limit
        said = "" if limit is None else f"Server-Limit: {limit}\r\n"
        cold = self.remaining_cold_ms()
        said += f"X-Cold-Remaining: {cold}\r\n" if cold else ""
        return said + ("Server-Leaving: 1\r\n" if self.faults.leaving else "")

    def _order(self, order: Mapping[str, object]) -> int:
        ticket = str(order["id"])
        if order["op"] == "release":
            self._memory.release(ticket)
            return 200
        tokens, seconds = int(str(order["token_count"])), int(str(order["hold_ms"])) / 1000
        return 200 if self._memory.hold(ticket, tokens, seconds) else 409

    def _answer(
        self,
        connection: socket.socket,
        request: ReplicaRequest,
        status: int,
        body: bytes,
        extra: str,
    ) -> None:
        echoed = request.header_by_name.get("x-attempt-id", "")
        head = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {echoed}\r\n{self._signals()}{extra}"
        connection.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
