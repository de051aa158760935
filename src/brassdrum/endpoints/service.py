"""Reach one replica of a plain service by HTTP."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from brassdrum.endpoints.endings import no_response_error
from brassdrum.errors import EndpointUnreachableError
from brassdrum.http_pool import ConnectFailedError, ExchangeFailedError, HttpPool

__all__ = ["ServiceClient", "ServiceRequest", "ServiceResponse"]


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """Hold one call as the caller sent it."""

    method: str
    path: str
    body: bytes
    headers: Mapping[str, str]
    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """Hold a service's whole answer."""

    status: int
    content_type: str
    body: bytes


class ServiceClient:
    """Send calls to one service replica, each on a connection of its own."""

    def __init__(self, name: str, url: str) -> None:
        self.name = name
        self._pool = HttpPool(url)

    def call(self, request: ServiceRequest) -> ServiceResponse:
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
                timeout=request.timeout_seconds,
                fresh=True,
            )
            body = exchange.read()
        except ConnectFailedError as error:
            raise EndpointUnreachableError(
                f"Endpoint {self.name} cannot be reached: {error}."
            ) from error
        except ExchangeFailedError as error:
            raise no_response_error(self.name, self._pool, error) from error
        content_type = exchange.header("Content-Type") or "application/octet-stream"
        return ServiceResponse(exchange.status, content_type, body)
