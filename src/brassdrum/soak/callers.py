"""Send the requests of a soak and note what became of them."""

from __future__ import annotations

import hashlib
import http.client
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from brassdrum.platform.standin import caller_headers
from brassdrum.soak.history import History, Result
from brassdrum.soak.long_answers import LONG_KIND
from brassdrum.soak.processes import DaemonProcess
from brassdrum.soak.replicas import ENDING_PART, ENDING_PATH, without_comments

__all__ = ["CALLER_TIMEOUT_SECONDS", "Callers", "Keys"]

CALLER_TIMEOUT_SECONDS = 25.0
_PATIENCE_SECONDS = 6.0
# The platform's rule: callers give a stream up after a silence of four times its objective.
_SILENCE_SECONDS = 4.0
_READ_BYTES = 65536
# Streams of 0.12 s that begin so far apart are at different events at any moment.
_STREAM_GAP_SECONDS = 0.01
# Slow readers take 12 MB in 1.2 s at best after a stall of up to 2 s; the rest is for slow paths.
_SLOW_PATIENCE_SECONDS = 20.0
_SLOW_TRIES = 10
_SLOW_TRY_SECONDS = 0.3
_SLOW_BYTES = 262_144
_SLOW_PAUSE_SECONDS = 0.025
_GIANT_TOKENS = 150_000
_GIANT_SHARE = 0.04
_KINDS = ("text", "hold", "check")
# Every fourth caller asks for the same each time, as a page that is polled does.
_SAME_CONTENT_CALLERS = 4
# A part that the prompts of all callers share.
_SHARED_PART = "shared"
# The caller whose request ends replicas comes again after up to this.
_ENDING_PAUSE_SECONDS = 0.6


@dataclass(frozen=True, slots=True)
class _Sending:
    """Hold what a caller asks for, with which key."""

    request: str
    kind: str
    key: str
    tokens: int
    parts: str = ""


@dataclass(slots=True)
class Keys:
    """Hold the keys in force and give out new ones."""

    by_organisation: dict[str, list[str]] = field(default_factory=dict)
    count: int = 0

    def issue(self, organisation: str) -> str:
        """Return a new key of an organisation."""
        self.count += 1
        key = f"key-{organisation}-{self.count}"
        self.by_organisation.setdefault(organisation, []).append(key)
        return key

    def newest(self, organisation: str) -> str:
        """Return the newest key of an organisation: an older one may have been taken away."""
        return self.by_organisation[organisation][-1]


class Callers:
    """Call daemons from many threads until told to stop."""

    def __init__(
        self,
        seed: int,
        daemons: list[DaemonProcess],
        keys: Keys,
        history: History,
        *,
        ends_by_part: bool,
    ) -> None:
        self._seed = seed
        self._daemons = daemons
        self._keys = keys
        self._history = history
        self._ends_by_part = ends_by_part
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self._stream_count = 0

    def start(self, count: int, *, end_replicas: bool) -> None:
        """Start callers and, if replicas are to end, the one whose requests end them."""
        for number in range(count):
            self._run(self._call_on, number)
        if end_replicas:
            self._run(self._end_replicas)

    def read_slowly(self, daemon: DaemonProcess, request: str, stall: float) -> None:
        """Start a caller that asks for a long answer and reads it slowly after a stall."""
        self._run(self._ask_long, daemon, request, stall)

    def stream_from_all(self, count: int) -> None:
        """Start callers that ask each daemon in turn for one stream, shortly after each other."""
        for number in range(count):
            self._stream_count += 1
            daemon = self._daemons[number % len(self._daemons)]
            request = f"p{self._seed}-{self._stream_count}"
            self._run(self._ask_stream, daemon, request, number * _STREAM_GAP_SECONDS)

    def stop(self) -> None:
        """Let callers send nothing more."""
        self._stop.set()

    def join(self) -> int:
        """Wait for the callers after ``stop``; return how many of them still wait."""
        for thread in self._threads:
            thread.join(CALLER_TIMEOUT_SECONDS + 5)
        return sum(thread.is_alive() for thread in self._threads)

    def _run(self, act: Callable[..., None], *arguments: object) -> None:
        thread = threading.Thread(target=act, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _call_on(self, number: int) -> None:
        rng = random.Random(self._seed * 1000 + number)
        count = 0
        while not self._stop.is_set():
            daemon = rng.choice(self._daemons)
            connection = http.client.HTTPConnection(
                daemon.host, daemon.port, timeout=CALLER_TIMEOUT_SECONDS
            )
            # A connection stays in use until it breaks or the daemon closes it.
            usable = True
            while usable and not self._stop.is_set():
                count += 1
                request = f"r{self._seed}-{number}-{count}"
                same = number % _SAME_CONTENT_CALLERS == 0
                content = "x" if same else request
                usable = self._call(connection, daemon, rng, request, content)
                time.sleep(rng.uniform(0.0, 0.02))
            connection.close()

    def _end_replicas(self) -> None:
        """Come again and again with requests that end each replica that runs one."""
        rng = random.Random(f"ending {self._seed}")
        count = 0
        while not self._stop.wait(rng.uniform(0.0, _ENDING_PAUSE_SECONDS)):
            count += 1
            daemon = rng.choice(self._daemons)
            connection = http.client.HTTPConnection(
                daemon.host, daemon.port, timeout=CALLER_TIMEOUT_SECONDS
            )
            request = f"e{self._seed}-{count}"
            by_part = self._ends_by_part
            parts = f"{_SHARED_PART},{ENDING_PART},{request}" if by_part else ""
            path = f"/text/{request}" if by_part else f"{ENDING_PATH}{self._seed}"
            sending = _Sending(request, "ending", self._keys.newest("org-1"), 1000, parts)
            self._send(connection, sending, daemon, path)
            connection.close()

    def _ask_stream(self, daemon: DaemonProcess, request: str, delay: float) -> None:
        time.sleep(delay)
        connection = http.client.HTTPConnection(
            daemon.host, daemon.port, timeout=CALLER_TIMEOUT_SECONDS
        )
        parts = f"{_SHARED_PART},{request}"
        sending = _Sending(request, "text", self._keys.newest("org-2"), 1000, parts)
        self._send(connection, sending, daemon, f"/text/{request}")
        connection.close()

    def _call(
        self,
        connection: http.client.HTTPConnection,
        daemon: DaemonProcess,
        rng: random.Random,
        request: str,
        content: str,
    ) -> bool:
        kind = rng.choice(_KINDS)
        key = rng.choice(list(self._history.organisation_by_key))
        giant = kind == "text" and rng.random() < _GIANT_SHARE
        tokens = _GIANT_TOKENS if giant else 1000 if kind == "text" else 0
        sending = _Sending(request, kind, key, tokens, f"{_SHARED_PART},{content}")
        return self._send(connection, sending, daemon, f"/{kind}/{content}")

    def _send(
        self,
        connection: http.client.HTTPConnection,
        sending: _Sending,
        daemon: DaemonProcess,
        path: str,
    ) -> bool:
        """Send a request, note what became of it; return whether the connection is of use."""
        request, kind, key = sending.request, sending.kind, sending.key
        headers = caller_headers(request, key, _PATIENCE_SECONDS, sending.tokens, sending.parts)
        sent_at = time.monotonic()
        status, whole, usable, left, retry_after = 0, False, False, False, 0.0
        content = bytearray()
        try:
            method = "GET" if kind == "check" else "POST"
            connection.request(method, path, headers=headers)
            if kind == "text":
                connection.sock.settimeout(_SILENCE_SECONDS)
            response = connection.getresponse()
            status = response.status
            retry_after = float(response.headers.get("Retry-After", "0"))
            while data := response.read(_READ_BYTES):
                content += data
            # Without a length the end of the connection is the end of the answer.
            whole = not response.length
            usable = whole and not response.will_close
            if connection.sock is not None:
                connection.sock.settimeout(CALLER_TIMEOUT_SECONDS)
        except TimeoutError:
            left = kind == "text"
        except http.client.IncompleteRead as error:
            content += error.partial
        except (OSError, http.client.HTTPException):
            usable = False
        body = without_comments(bytes(content)) if whole else b""
        result = Result(
            request,
            kind,
            daemon.name,
            key,
            sent_at,
            time.monotonic(),
            status,
            whole,
            body,
            retry_after,
            len(content),
            sent_at + _PATIENCE_SECONDS,
            left,
        )
        with self._lock:
            self._history.results.append(result)
        return usable

    def _ask_long(self, daemon: DaemonProcess, name: str, stall: float) -> None:
        """Ask until an answer begins: a caller that gets none tries the next daemon."""
        first = self._daemons.index(daemon)
        for count in range(_SLOW_TRIES):
            asked = self._daemons[(first + count) % len(self._daemons)]
            if self._read_long(asked, f"{name}-{count}", stall) == 200:
                return
            if self._stop.wait(_SLOW_TRY_SECONDS):
                return

    def _read_long(self, daemon: DaemonProcess, request: str, stall: float) -> int:
        """Ask for a long answer and read it slowly; return its status."""
        connection = http.client.HTTPConnection(
            daemon.host, daemon.port, timeout=CALLER_TIMEOUT_SECONDS
        )
        key = self._keys.newest("org-1")
        headers = caller_headers(request, key, _SLOW_PATIENCE_SECONDS, 0)
        sent_at = time.monotonic()
        status, whole, digest, retry_after = 0, False, hashlib.sha256(), 0.0
        try:
            connection.request("GET", f"/{LONG_KIND}/{request}", headers=headers)
            response = connection.getresponse()
            status = response.status
            retry_after = float(response.headers.get("Retry-After", "0"))
            time.sleep(stall if status == 200 else 0.0)
            while data := response.read(_SLOW_BYTES):
                digest.update(data)
                time.sleep(_SLOW_PAUSE_SECONDS)
            whole = not response.length
        except (OSError, http.client.HTTPException):
            pass
        connection.close()
        result = Result(
            request,
            LONG_KIND,
            daemon.name,
            key,
            sent_at,
            time.monotonic(),
            status,
            whole,
            digest.digest(),
            retry_after,
        )
        with self._lock:
            self._history.results.append(result)
        return status
