"""Keep connections of ``http.client`` to one neighbour and reuse them where that is safe."""

from __future__ import annotations

import http.client
import socket
import threading
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import BinaryIO
from urllib.parse import urlsplit

from brassdrum.bounded_socket import BoundedSocket
from brassdrum.clock import Clock, SystemClock
from brassdrum.deferred_http import ConnectFailedError, ExchangeFailedError

__all__ = ["ConnectFailedError", "Connected", "Exchange", "ExchangeFailedError", "HttpPool"]

_MAX_IDLE = 64
# Request line and headers of both sides together, as http.client and waitress send them.
_HEADER_BYTES = 260
# Status line, headers and interim responses together; as the gateway reads at most.
_MAX_HEAD_BYTES = 65536
# Four times the largest request body of the default settings. An answer is held in memory whole.
_MAX_BODY_BYTES = 64 * 1024 * 1024
# How much longer a response may take than the silence that is allowed before its first byte.
_MAX_TRANSFER_SECONDS = 10.0
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200
_BLANK_LINES = (b"\r\n", b"\n")
_FAILURES = (OSError, http.client.HTTPException)


@dataclass(frozen=True, slots=True)
class Connected:
    """Hold the socket of a connection that a request is about to use."""

    socket: socket.socket

    def abort(self) -> None:
        """Wake whoever reads or writes: the connection ends now."""
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


@dataclass(slots=True)
class Exchange:
    """Hold one request's response until it is read or dropped."""

    pool: HttpPool
    connection: http.client.HTTPConnection
    response: http.client.HTTPResponse
    socket: BoundedSocket
    silence_seconds: float
    read_until: float

    @property
    def ends_with_connection(self) -> bool:
        """Return whether nothing but the end of the connection marks the end of the body."""
        return self.response.length is None and not self.response.chunked

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self.response.status

    def header(self, name: str) -> str | None:
        """Return a response header, or None."""
        return self.response.headers.get(name)

    def read(self, max_bytes: int = _MAX_BODY_BYTES) -> bytes:
        """Return the whole body and give the connection back.

        Raises ``ExchangeFailedError`` for one that is longer or not complete in time.
        """
        self.socket.bound_reads(self.silence_seconds, self.read_until, max_bytes)
        try:
            body = self.response.read()
        except _FAILURES as error:
            self.drop()
            raise ExchangeFailedError(_describe(error)) from error
        self.pool.give_back(self.connection, self.response)
        return body

    def readline(self) -> bytes:
        """Return the next line, empty at the end of the body."""
        try:
            return self.response.readline()
        except _FAILURES as error:
            self.drop()
            raise ExchangeFailedError(_describe(error)) from error

    def drop(self) -> None:
        """Close the connection, whatever is left on it."""
        self.response.close()
        self.connection.close()


class HeadBrokenOffError(http.client.HTTPException):
    """Tell that a connection ended inside the head of a response."""


class _HeadStream:
    """Remember the last line that was read of a head."""

    def __init__(self, stream: BinaryIO) -> None:
        self.last_line = b""
        self._stream = stream

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, empty at the end of the connection."""
        self.last_line = self._stream.readline(limit)
        return self.last_line


class _FinalResponse(http.client.HTTPResponse):
    """Check that heads are whole, and skip interim responses.

    ``http.client`` takes the end of the connection for the end of a head, and skips status 100
    only.
    """

    def begin(self) -> None:
        """Read the head of the final response, or raise ``HeadBrokenOffError``."""
        self._begin_checked()
        while self.status < _FIRST_FINAL_STATUS and self.status != _SWITCHING_PROTOCOLS:
            self.headers = self.msg = None  # type: ignore[assignment]
            self._begin_checked()

    def _begin_checked(self) -> None:
        stream = self.fp
        self.fp = head = _HeadStream(stream)
        try:
            super().begin()
        finally:
            self.fp = stream
        if head.last_line not in _BLANK_LINES:
            raise HeadBrokenOffError("the connection ended inside the head of the response")


class _Connection(http.client.HTTPConnection):
    response_class = _FinalResponse


class _UnframedConnection(_Connection):
    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


class HttpPool:
    """Open, reuse and close connections to one base URL."""

    def __init__(
        self,
        url: str,
        timeout: float = 5.0,
        on_call: Callable[[int], None] | None = None,
        clock: Clock | None = None,
    ) -> None:
        parts = urlsplit(url)
        self.url = url
        self._host = parts.hostname or "127.0.0.1"
        self._port = parts.port or 80
        self._timeout = timeout
        self._on_call = on_call
        self._clock = clock or SystemClock()
        self._idle: deque[http.client.HTTPConnection] = deque()
        self._lock = threading.Lock()

    def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        *,
        timeout: float | None = None,
        time_limit: float | None = None,
        fresh: bool = False,
        unframed: bool = False,
        on_connected: Callable[[Connected], None] | None = None,
    ) -> Exchange:
        """Send a request and return its response with the body unread.

        ``timeout`` limits each silence, ``time_limit`` the whole response as far as ``read`` reads
        it, both in seconds.
        ``fresh`` opens a new connection: a reused one may have been closed by the other side, and
        then nobody knows whether the request ran. ``on_connected`` is handed the connection before
        the first byte leaves, so that another thread can end a wait for the response.
        ``unframed`` asks by HTTP/1.0, so that the body comes as it is, without chunks. Raises
        ``ConnectFailedError`` or ``ExchangeFailedError``.
        """
        limit = self._timeout if timeout is None else max(0.001, timeout)
        total = limit + _MAX_TRANSFER_SECONDS if time_limit is None else max(0.001, time_limit)
        connection, reused = (None, False) if fresh else self._take()
        if connection is None:
            connection = self._connect(limit, unframed=unframed)
        if on_connected is not None:
            on_connected(Connected(connection.sock))
        try:
            return self._send(connection, method, path, body, headers, limit, total)
        except ExchangeFailedError:
            if not reused:
                raise
        connection = self._connect(limit)
        return self._send(connection, method, path, body, headers, limit, total)

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        *,
        timeout: float | None = None,
    ) -> tuple[int, bytes]:
        """Send a repeatable request and return status and whole body; ``on_call`` gets its size."""
        exchange = self.request(method, path, body, headers, timeout=timeout)
        answer = exchange.read()
        if self._on_call is not None:
            self._on_call(_HEADER_BYTES + len(path) + len(body or b"") + len(answer))
        return exchange.status, answer

    def give_back(
        self, connection: http.client.HTTPConnection, response: http.client.HTTPResponse
    ) -> None:
        """Keep a connection whose response was read to its end."""
        if response.will_close or not response.isclosed():
            connection.close()
            return
        with self._lock:
            if len(self._idle) < _MAX_IDLE:
                self._idle.append(connection)
                return
        connection.close()

    def refuses(self, seconds: float) -> bool:
        """Return whether the host refuses a connection: it lives, the process does not."""
        # Silence or a way that is cut says nothing about the process.
        return isinstance(self._connect_failure(seconds), ConnectionRefusedError)

    def accepts(self, seconds: float) -> bool:
        """Return whether the process accepts a connection."""
        return self._connect_failure(seconds) is None

    def _connect_failure(self, seconds: float) -> OSError | None:
        try:
            socket.create_connection((self._host, self._port), timeout=seconds).close()
        except OSError as error:
            # Returned: the caller judges it.
            return error
        return None

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            while self._idle:
                self._idle.pop().close()

    def _take(self) -> tuple[http.client.HTTPConnection | None, bool]:
        with self._lock:
            if self._idle:
                return self._idle.pop(), True
        return None, False

    def _connect(self, timeout: float, *, unframed: bool = False) -> http.client.HTTPConnection:
        kind = _UnframedConnection if unframed else _Connection
        connection = kind(self._host, self._port, timeout=timeout)
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            raise ConnectFailedError(_describe(error)) from error
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.sock = BoundedSocket.take_over(connection.sock, self._clock)
        return connection

    def _send(
        self,
        connection: http.client.HTTPConnection,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str] | None,
        timeout: float,
        time_limit: float,
    ) -> Exchange:
        try:
            # getresponse() lets go of the socket when the server will close the connection.
            sock: BoundedSocket = connection.sock
            read_until = self._clock.monotonic() + time_limit
            sock.bound_reads(timeout, read_until, _MAX_HEAD_BYTES)
            connection.request(method, path, body=body, headers=dict(headers or {}))
            response = connection.getresponse()
            sock.lift_bounds()
            return Exchange(self, connection, response, sock, timeout, read_until)
        except _FAILURES as error:
            connection.close()
            raise ExchangeFailedError(_describe(error)) from error


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"
