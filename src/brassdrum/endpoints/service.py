"""HTTP client for a replica of a plain service."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from brassdrum.clock import Clock
from brassdrum.endpoints.endings import ExitCheck
from brassdrum.errors import EndpointUnreachableError
from brassdrum.http_pool import ConnectFailedError, ExchangeFailedError, HttpPool

__all__ = ["ServiceClient", "ServiceRequest", "ServiceResponse"]


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A service request, forwarded with the caller's method, path and body."""

    method: str
    path: str
    body: bytes
    headers: Mapping[str, str]
    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """A complete response from a service."""

    status: int
    content_type: str
    body: bytes


class ServiceClient:
    """Sends requests to one service replica, each on a new connection."""

    def __init__(
        self, name: str, url: str, clock: Clock, other_urls: Callable[[], list[str]]
    ) -> None:
        self.name = name
        self._pool = HttpPool(url)
        self._exit_check = ExitCheck(name, self._pool, clock, other_urls)

    def call(self, request: ServiceRequest) -> ServiceResponse:
        """Send a request and return the response.

        Raises ``NoEndpointError`` if nothing was sent, ``EndpointEndedError`` if the process has
        exited, and ``EndpointFailedError`` otherwise.
        """
        try:
            exchange = self._pool.request(
                request.method,
                request.path,
                request.body or None,
                request.headers,
                timeout=request.timeout_seconds,
                time_limit=request.timeout_seconds,
                fresh=True,
            )
            ends_with_connection = exchange.ends_with_connection
            body = exchange.read()
        except ConnectFailedError as error:
            raise EndpointUnreachableError(
                f"Endpoint {self.name} cannot be reached: {error}."
            ) from error
        except ExchangeFailedError as error:
            raise self._exit_check.no_response_error(error) from error
        if ends_with_connection:
            self._exit_check.check_running()
        content_type = exchange.header("Content-Type") or "application/octet-stream"
        return ServiceResponse(exchange.status, content_type, body)
