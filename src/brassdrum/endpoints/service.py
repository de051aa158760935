"""Reach one replica of a plain service by HTTP."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from brassdrum.endpoints.endings import lost_answer
from brassdrum.errors import EndpointUnreachableError
from brassdrum.http_pool import ConnectFailedError, ExchangeFailedError, HttpPool

__all__ = ["ServiceAnswer", "ServiceCallRequest", "ServiceClient"]


@dataclass(frozen=True, slots=True)
class ServiceCallRequest:
    """Hold one call as the caller sent it."""

    method: str
    path: str
    body: bytes
    headers: Mapping[str, str]
    seconds: float


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Hold a service's whole answer."""

    status: int
    content_type: str
    body: bytes


class ServiceClient:
    """Send calls to one service replica, each on a connection of its own."""

    def __init__(self, name: str, url: str) -> None:
        self.name = name
        self._pool = HttpPool(url)

    def call(self, request: ServiceCallRequest) -> ServiceAnswer:
        """Return the answer.

        Raises ``NoEndpointError`` if nothing was sent, else ``EndpointFailedError``, as
        ``EndpointEndedError`` where the process has ended.
        """
        try:
            exchange = self._pool.request(
                request.method,
                request.path,
                request.body or None,
                request.headers,
                timeout=request.seconds,
                fresh=True,
            )
            body = exchange.read()
        except ConnectFailedError as error:
            raise EndpointUnreachableError(
                f"Endpoint {self.name} cannot be reached: {error}."
            ) from error
        except ExchangeFailedError as error:
            raise lost_answer(self.name, self._pool, error) from error
        content_type = exchange.header("Content-Type") or "application/octet-stream"
        return ServiceAnswer(exchange.status, content_type, body)
