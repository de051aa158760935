"""Reach one model engine by HTTP.

Assumed of the engines, and kept here only: events carry an SSE id ``STREAM/INDEX``; the headers
below; a stream outlives its connection for a while, so that it can be read on from an index.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from dataclasses import dataclass

from brassdrum.endpoints.endings import no_response_error
from brassdrum.errors import (
    BrassdrumError,
    EndpointFailedError,
    EndpointUnreachableError,
    InvalidRequestError,
    NoEndpointError,
    Ran,
)
from brassdrum.http_pool import (
    Connected,
    ConnectFailedError,
    Exchange,
    ExchangeFailedError,
    HttpPool,
)

__all__ = ["CacheEvent", "EngineClient", "EngineLoad", "EngineRequest", "EngineConnection"]

_CONTROL_SECONDS = 2.0
_READ_BYTES = 65536


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """Hold what is sent to an engine; the body goes on unchanged."""

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
    """Hold an engine's report; ``at`` is when it was true, by the engine's clock."""

    at: float
    streams: int
    waiting: int
    queued_tokens: int
    kv_tokens_held: int
    draining: bool


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Tell that an engine stored or removed a block of its prefix cache."""

    sequence_number: int
    stored: bool
    block_hash: int


class EngineConnection:
    """Hold the open response of one stream."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange

    @property
    def socket(self) -> socket.socket:
        """Return the socket, to wait on once the connection was taken over."""
        return self._exchange.socket

    def read(self) -> bytes:
        """Wait for bytes; empty at the end. Raises ``ExchangeFailedError`` when it breaks."""
        try:
            return self._exchange.response.read1(_READ_BYTES)
        except Exception as error:
            # Besides OSError and HTTPException, a socket that another thread shut down makes
            # http.client fail in its own ways (ValueError, AttributeError).
            raise ExchangeFailedError(f"{type(error).__name__}: {error}") from error

    def set_nonblocking(self) -> bytes:
        """Stop blocking; return what has arrived but was not read yet."""
        self.socket.setblocking(False)
        file = self._exchange.response.fp
        return (file.read1(_READ_BYTES) or b"") if file is not None else b""

    def close(self) -> None:
        """Close the connection."""
        self._exchange.drop()


class EngineClient:
    """Send requests and orders to one engine."""

    def __init__(self, name: str, url: str, on_call: Callable[[int], None] | None = None) -> None:
        self.name = name
        self.url = url
        self._pool = HttpPool(url, _CONTROL_SECONDS, on_call)

    def open(
        self, request: EngineRequest, on_connected: Callable[[Connected], None]
    ) -> EngineConnection:
        """Start a stream.

        Raises ``NoEndpointError`` when nothing ran (no connection, or the engine refused before
        it started), ``InvalidRequestError`` when the engine rejects the body, else
        ``EndpointFailedError``.
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
                fresh=True,
                unframed=True,
                on_connected=on_connected,
            )
        except ConnectFailedError as error:
            raise EndpointUnreachableError(
                f"Endpoint {self.name} cannot be reached: {error}."
            ) from error
        except ExchangeFailedError as error:
            raise no_response_error(self.name, self._pool, error) from error
        if exchange.status == 200:
            return EngineConnection(exchange)
        raise self._refusal(exchange)

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
        """Read a stream on from an index, or raise ``EndpointFailedError``."""
        path = f"/v1/streams/{stream_id}?from={start_index}&model={model}&chat={int(chat)}"
        try:
            exchange = self._pool.request(
                "GET",
                path,
                timeout=timeout_seconds,
                fresh=True,
                unframed=True,
                on_connected=on_connected,
            )
        except (ConnectFailedError, ExchangeFailedError) as error:
            raise no_response_error(self.name, self._pool, error) from error
        if exchange.status == 200:
            return EngineConnection(exchange)
        exchange.drop()
        raise EndpointFailedError(f"Endpoint {self.name} no longer holds the stream.")

    def cancel(self, stream_id: str) -> bool:
        """Ask the engine to end a stream; return whether it answered."""
        return self._answered("POST", f"/v1/streams/{stream_id}/cancel", b"{}")

    def load(self) -> EngineLoad:
        """Return the engine's report, or raise ``EndpointFailedError``."""
        content = self._get("/v1/load")
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
                f"Endpoint {self.name} sent no load report: {error}."
            ) from error

    def cache_events(self, after_number: int) -> list[CacheEvent]:
        """Return cache events with numbers above one, or raise ``EndpointFailedError``."""
        content = self._get(f"/v1/cache/events?from={after_number}")
        try:
            return [
                CacheEvent(int(number), kind == "stored", int(block))
                for number, kind, block in content["events"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise EndpointFailedError(f"Endpoint {self.name} sent no events: {error}.") from error

    def list_memory_holders(self) -> list[dict]:
        """Return who holds memory at the engine, or raise ``EndpointFailedError``."""
        return list(self._get("/v1/held").get("held", []))

    def reserve(self, reservation_id: str, owner: str, tokens: int, term_seconds: float) -> bool:
        """Reserve memory or renew it; return whether the engine agreed."""
        body = json.dumps({"owner": owner, "tokens": tokens, "seconds": term_seconds}).encode()
        return self._answered("PUT", f"/v1/reservations/{reservation_id}", body)

    def release(self, reservation_id: str) -> bool:
        """Free a reservation; return whether the engine answered."""
        return self._answered("DELETE", f"/v1/reservations/{reservation_id}", None)

    def _answered(self, method: str, path: str, body: bytes | None) -> bool:
        try:
            status, _ = self._pool.call(method, path, body)
        except (ConnectFailedError, ExchangeFailedError):
            return False
        return status == 200

    def _get(self, path: str) -> dict:
        try:
            status, body = self._pool.call("GET", path)
        except (ConnectFailedError, ExchangeFailedError) as error:
            raise EndpointFailedError(f"Endpoint {self.name} did not answer: {error}.") from error
        if status != 200:
            raise EndpointFailedError(f"Endpoint {self.name} answered with status {status}.")
        try:
            return json.loads(body)
        except ValueError as error:
            raise EndpointFailedError(f"Endpoint {self.name} sent no JSON.") from error

    def _refusal(self, exchange: Exchange) -> BrassdrumError:
        status = exchange.status
        try:
            error = json.loads(exchange.read()).get("error", {})
        except (ExchangeFailedError, ValueError, AttributeError):
            error = {}
        message = str(error.get("message", f"status {status}"))
        if status in (400, 404, 422):
            return InvalidRequestError(f"Endpoint {self.name} rejects the request: {message}")
        if status in (409, 429, 503) and error.get("ran") == Ran.NO.value:
            return NoEndpointError(f"Endpoint {self.name} refused: {message}", ran=Ran.NO)
        return EndpointFailedError(f"Endpoint {self.name} failed: {message}")
