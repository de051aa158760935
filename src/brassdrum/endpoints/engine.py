"""HTTP client for a model engine.

The engine is expected to send SSE ids of the form ``STREAM/INDEX``, to accept the headers set
below, and to retain a stream for some time after its connection closes so that it can be resumed.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from dataclasses import dataclass

from brassdrum.clock import Clock
from brassdrum.endpoints.endings import ExitCheck
from brassdrum.errors import (
    BrassdrumError,
    EndpointFailedError,
    EndpointPausedError,
    EndpointUnreachableError,
    InvalidRequestError,
    NoEndpointError,
    Ran,
    StreamGoneError,
)
from brassdrum.header_values import parse_decimal
from brassdrum.http_pool import (
    Connected,
    ConnectFailedError,
    Exchange,
    ExchangeFailedError,
    HttpPool,
)

__all__ = ["CacheEvent", "EngineClient", "EngineLoad", "EngineRequest", "EngineConnection"]

_CONTROL_TIMEOUT_SECONDS = 2.0
_READ_BYTES = 65536
_STREAM_GONE_STATUSES = (404, 410)
# A failure is one short JSON object; of a longer one nothing is known but its status.
_MAX_FAILURE_BYTES = 65536


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """A generation request to an engine; the body is forwarded unchanged."""

    path: str
    body: bytes
    stream_id: str
    owner: str
    priority: int
    timeout_seconds: float
    traceparent: str | None = None
    reservation_id: str | None = None


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """An engine's load report; ``at`` is its timestamp by the engine's clock."""

    at: float
    streams: int
    waiting: int
    queued_tokens: int
    kv_tokens_held: int
    draining: bool


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """The addition or removal of a block in an engine's prefix cache."""

    sequence_number: int
    stored: bool
    block_hash: int


class EngineConnection:
    """The open HTTP response of one stream."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange

    @property
    def socket(self) -> socket.socket:
        """The underlying socket, for polling after ``set_nonblocking``."""
        return self._exchange.socket

    def read(self) -> bytes:
        """Block until data arrives and return it; empty at the end of the stream.

        Raises ``ExchangeFailedError`` when the connection fails.
        """
        try:
            return self._exchange.response.read1(_READ_BYTES)
        except Exception as error:
            # http.client may also raise ValueError or AttributeError when another thread shuts
            # down the socket.
            raise ExchangeFailedError(f"{type(error).__name__}: {error}") from error

    def set_nonblocking(self) -> bytes:
        """Make the socket non-blocking and return the data already received."""
        self.socket.setblocking(False)
        file = self._exchange.response.fp
        return (file.read1(_READ_BYTES) or b"") if file is not None else b""

    def close(self) -> None:
        """Close the connection without reading the rest of the response."""
        self._exchange.drop()


class EngineClient:
    """Sends generation and control requests to one engine."""

    def __init__(
        self,
        name: str,
        url: str,
        clock: Clock,
        other_urls: Callable[[], list[str]],
        on_call: Callable[[int], None] | None = None,
    ) -> None:
        self.name = name
        self.url = url
        self._pool = HttpPool(url, _CONTROL_TIMEOUT_SECONDS, on_call)
        self._exit_check = ExitCheck(name, self._pool, clock, other_urls)

    def open(
        self, request: EngineRequest, on_connected: Callable[[Connected], None]
    ) -> EngineConnection:
        """Start a stream.

        Raises ``NoEndpointError`` when nothing ran (the connection failed, or the engine refused
        the request before starting it), ``InvalidRequestError`` when the engine rejects the
        request, and ``EndpointFailedError`` otherwise.
        """
        headers = {
            "Content-Type": "application/json",
            "X-Stream-Id": request.stream_id,
            "X-Owner": request.owner,
            "X-Priority": str(request.priority),
            "X-Time-Left": f"{request.timeout_seconds:.3f}",
        }
        if request.traceparent:
            headers["traceparent"] = request.traceparent
        if request.reservation_id:
            headers["X-Reservation"] = request.reservation_id
        try:
            exchange = self._pool.request(
                "POST",
                request.path,
                request.body,
                headers,
                timeout=request.timeout_seconds,
                time_limit=request.timeout_seconds,
                fresh=True,
                unframed=True,
                on_connected=on_connected,
            )
        except ConnectFailedError as error:
            raise EndpointUnreachableError(
                f"Endpoint {self.name} cannot be reached: {error}."
            ) from error
        except ExchangeFailedError as error:
            raise self._exit_check.no_response_error(error) from error
        if exchange.status == 200:
            return EngineConnection(exchange)
        raise self._response_error(exchange)

    def resume(
        self,
        stream_id: str,
        start_index: int,
        on_connected: Callable[[Connected], None],
        *,
        model: str,
        chat: bool,
        timeout_seconds: float,
    ) -> EngineConnection:
        """Resume a stream at an event index.

        Raises ``StreamGoneError`` when the engine no longer holds the stream,
        ``EndpointEndedError`` when its process has exited, and ``EndpointFailedError`` when
        another try may succeed.
        """
        path = f"/v1/streams/{stream_id}?from={start_index}&model={model}&chat={int(chat)}"
        try:
            exchange = self._pool.request(
                "GET",
                path,
                timeout=timeout_seconds,
                time_limit=timeout_seconds,
                fresh=True,
                unframed=True,
                on_connected=on_connected,
            )
        except (ConnectFailedError, ExchangeFailedError) as error:
            raise self._exit_check.no_response_error(error) from error
        if exchange.status == 200:
            return EngineConnection(exchange)
        exchange.drop()
        if exchange.status in _STREAM_GONE_STATUSES:
            raise StreamGoneError(f"Endpoint {self.name} no longer has the stream.")
        raise EndpointFailedError(
            f"Endpoint {self.name} answered {exchange.status} to the resumption of a stream."
        )

    def cancel(self, stream_id: str) -> bool:
        """Cancel a stream; return whether the engine confirmed it."""
        return self._succeeds("POST", f"/v1/streams/{stream_id}/cancel", b"{}")

    def load(self) -> EngineLoad:
        """Return the engine's load report, or raise ``EndpointFailedError``."""
        content = self._get_json("/v1/load")
        try:
            return EngineLoad(
                at=float(content["at"]),
                streams=int(content["streams"]),
                waiting=int(content["waiting"]),
                queued_tokens=int(content["queued_tokens"]),
                kv_tokens_held=int(content["kv_tokens_held"]),
                draining=bool(content.get("draining", False)),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise EndpointFailedError(
                f"Endpoint {self.name} sent an invalid load report: {error}."
            ) from error

    def cache_events(self, after_number: int) -> list[CacheEvent]:
        """Return the cache events after a sequence number, or raise ``EndpointFailedError``."""
        content = self._get_json(f"/v1/cache/events?from={after_number}")
        try:
            return [
                CacheEvent(int(number), kind == "stored", int(block))
                for number, kind, block in content["events"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise EndpointFailedError(
                f"Endpoint {self.name} sent invalid cache events: {error}."
            ) from error

    def list_memory_holders(self) -> list[dict]:
        """List the holders of the engine's KV memory, or raise ``EndpointFailedError``."""
        return list(self._get_json("/v1/held").get("held", []))

    def reserve(self, reservation_id: str, owner: str, tokens: int, term_seconds: float) -> bool:
        """Create or renew a memory reservation; return whether the engine granted it."""
        body = json.dumps({"owner": owner, "tokens": tokens, "seconds": term_seconds}).encode()
        return self._succeeds("PUT", f"/v1/reservations/{reservation_id}", body)

    def release(self, reservation_id: str) -> bool:
        """Release a reservation; return whether the engine confirmed it."""
        return self._succeeds("DELETE", f"/v1/reservations/{reservation_id}", None)

    def _succeeds(self, method: str, path: str, body: bytes | None) -> bool:
        try:
            status, _ = self._pool.call(method, path, body)
        except (ConnectFailedError, ExchangeFailedError):
            return False
        return status == 200

    def _get_json(self, path: str) -> dict:
        try:
            status, body = self._pool.call("GET", path)
        except (ConnectFailedError, ExchangeFailedError) as error:
            raise EndpointFailedError(f"Endpoint {self.name} did not respond: {error}.") from error
        if status != 200:
            raise EndpointFailedError(f"Endpoint {self.name} responded with status {status}.")
        try:
            return json.loads(body)
        except ValueError as error:
            raise EndpointFailedError(f"Endpoint {self.name} sent invalid JSON.") from error

    def _response_error(self, exchange: Exchange) -> BrassdrumError:
        status = exchange.status
        try:
            error = json.loads(exchange.read(_MAX_FAILURE_BYTES)).get("error", {})
        except (ExchangeFailedError, ValueError, AttributeError):
            error = {}
        message = str(error.get("message", f"status {status}"))
        if status in (400, 404, 422):
            return InvalidRequestError(f"Endpoint {self.name} rejected the request: {message}")
        pause = parse_decimal(exchange.header("Retry-After")) if status in (429, 503) else None
        if status not in (409, 429, 503) or error.get("ran") != Ran.NO.value:
            return EndpointFailedError(f"Endpoint {self.name} failed: {message}", retry_after=pause)
        if pause is not None:
            return EndpointPausedError(
                f"Endpoint {self.name} takes no requests for {pause:g} s: {message}",
                retry_after=pause,
            )
        return NoEndpointError(f"Endpoint {self.name} refused the request: {message}", ran=Ran.NO)
