"""Say what replicas of a soak answer, do wrong and note of their runs."""

from __future__ import annotations

import math
import re
import socket
import threading
import time
from dataclasses import dataclass, field
from typing import BinaryIO

from brassdrum.soak.long_answers import LONG_KIND, long_digest

__all__ = [
    "Arrival",
    "COLD_RATE",
    "ENDING_PART",
    "ENDING_PATH",
    "EVENTS",
    "HeldMemory",
    "PAUSE_SECONDS",
    "ZONES",
    "ReplicaFaults",
    "ReplicaRequest",
    "ReplicaServer",
    "Run",
    "ends_replica",
    "event",
    "expected",
    "read_request",
    "whole_answer",
    "without_comments",
]

# A request to a path that begins so ends each replica that runs it.
ENDING_PATH = "/text/ends-"
# Or one whose prompt has this part, whatever else it holds.
ENDING_PART = "ends"
# The rest that a replica asks for.
PAUSE_SECONDS = 2.0
# Events of one stream: enough for a cut in the middle.
EVENTS = 6
# Cold replicas bear this many requests a second; a replica gets some 30 while it is warm.
COLD_RATE = 2.0
ZONES = ("zone-a", "zone-b")
_COMMENTS = re.compile(rb"^:[^\n]*\n\n", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Run:
    """Hold one run of a request at a replica; ``at`` is monotonic, ``ending`` if that ended it.

    ``daemon`` sent it, empty if that is unknown. ``arrived_at`` is when it reached the replica's
    host, which is earlier where the replica was paused.
    """

    request: str
    replica: str
    organisation: str
    at: float
    resumed: bool
    ending: bool = False
    daemon: str = ""
    arrived_at: float = math.inf

    @property
    def sent_at(self) -> float:
        """Return when the request had been sent at the latest."""
        return min(self.at, self.arrived_at)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold one request that reached a replica; ``pause`` is the rest in seconds it asked for.

    ``at`` is when it reached the replica's host, ``handled_at`` when the replica read it, which is
    later where it was paused.

    ``daemon`` sent it, empty if that is unknown.
    """

    request: str
    replica: str
    at: float
    pause: float = 0.0
    daemon: str = ""
    handled_at: float = 0.0

    @property
    def answered_at(self) -> float:
        """Return when the replica answered."""
        return max(self.at, self.handled_at)


@dataclass(slots=True)
class ReplicaFaults:
    """Hold what a replica does wrong, each as a share of its requests, and what it asks for.

    Of its streams, ``unframed`` have neither length nor chunks; half of these end inside an event.
    It takes ``limit`` requests a second, says that it is ``leaving``, and answers a share of
    ``rest`` with a pause. It breaks off a share of ``break_long`` of its long answers, and with
    ``hide_cold`` it does not say that it is cold. It answers a share of ``endless`` with bytes that
    are no answer, until the connection is closed.
    """

    limit: float | None = None
    leaving: bool = False
    rest: float = 0.0
    fail: float = 0.0
    lose: float = 0.0
    cut: float = 0.0
    unframed: float = 0.0
    refuse: float = 0.0
    spoil: float = 0.0
    repeat: float = 0.0
    break_long: float = 0.0
    hide_cold: bool = False
    endless: float = 0.0


@dataclass(slots=True)
class _Hold:
    tokens: int
    until: float


class HeldMemory:
    """Hold memory of a replica for requests until it is released or its time is over."""

    def __init__(self, tokens: int) -> None:
        self._tokens = tokens
        self._lock = threading.Lock()
        self._hold_by_ticket: dict[str, _Hold] = {}

    def held(self, without: str | None = None) -> int:
        """Return the tokens that are held now, but for one ticket."""
        now = time.monotonic()
        with self._lock:
            return sum(
                hold.tokens
                for ticket, hold in self._hold_by_ticket.items()
                if hold.until > now and ticket != without
            )

    def hold(self, ticket: str, tokens: int, seconds: float) -> bool:
        """Hold memory, or hold it for longer; return False where it is not free."""
        if self.held(without=ticket) + tokens > self._tokens:
            return False
        with self._lock:
            self._hold_by_ticket[ticket] = _Hold(tokens, time.monotonic() + seconds)
        return True

    def release(self, ticket: str) -> None:
        """Give memory back."""
        with self._lock:
            self._hold_by_ticket.pop(ticket, None)


@dataclass(slots=True)
class ReplicaRequest:
    """Hold a request as a replica received it; names of headers in lower case."""

    path: str
    header_by_name: dict[str, str]
    body: bytes = field(default=b"")


def read_request(stream: BinaryIO) -> ReplicaRequest | None:
    """Read one request, or return None at the end of the connection."""
    line = stream.readline().split()
    if len(line) < 2:
        return None
    headers = {}
    while text := stream.readline().strip():
        name, _, value = text.partition(b":")
        headers[name.strip().lower().decode()] = value.strip().decode()
    body = stream.read(int(headers.get("content-length", "0")))
    return ReplicaRequest(line[1].decode(), headers, body)


class ReplicaServer:
    """Accept connections and read their requests, each connection in a thread of its own."""

    def __init__(self) -> None:
        self._closed = False
        self._server = socket.create_server(("127.0.0.1", 0))
        self.own_address = f"127.0.0.1:{self._server.getsockname()[1]}"
        # Daemons reach a replica through a proxy, which has another address.
        self.address = self.own_address
        self.zone = ZONES[0]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Crash: serve no more."""
        self._closed = True
        self._server.close()

    def remaining_cold_ms(self) -> int:
        """Return for how long the replica says that it stays cold."""
        return 0

    def handle(self, connection: socket.socket, request: ReplicaRequest) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError

    def _accept(self) -> None:
        while not self._closed:
            try:
                connection, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        try:
            while not self._closed:
                request = read_request(stream)
                if request is None or not self.handle(connection, request):
                    return
        except (OSError, ValueError):
            return
        finally:
            connection.close()


def ends_replica(path: str, parts: str) -> bool:
    """Return whether a replica ends that runs a request with a path and the parts of a prompt."""
    return path.startswith(ENDING_PATH) or ENDING_PART in parts.split(",")


def event(request: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request} {number}\n\n".encode()


def whole_answer(kind: str, request: str) -> bytes:
    """Return what a caller must receive, of a long answer its digest."""
    if kind == LONG_KIND:
        return long_digest(request)
    if kind == "text":
        return b"".join(event(request, number) for number in range(1, EVENTS + 1))
    return expected(request, spoilt=False)


def without_comments(stream: bytes) -> bytes:
    """Return a stream without its comments, which tell its reader nothing."""
    return _COMMENTS.sub(b"", stream)


def expected(request: str, *, spoilt: bool) -> bytes:
    """Return the body of an answer that is no stream, or another one."""
    return b"spoilt" if spoilt else f"done {request}".encode()
