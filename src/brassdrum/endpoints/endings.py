"""Distinguishes an exited endpoint process from a lost response and from a lost network path."""

from __future__ import annotations

import random
from collections.abc import Callable

from brassdrum.clock import Clock
from brassdrum.errors import EndpointEndedError, EndpointFailedError
from brassdrum.http_pool import ExchangeFailedError, HttpPool

__all__ = ["ExitCheck"]

# Without a listening process, the host refuses the connection within one round trip.
_CONNECT_CHECK_TIMEOUT_SECONDS = 0.3
# For all endpoints that are asked whether this host still reaches them.
_PATH_CHECK_SECONDS = 0.6


class ExitCheck:
    """Find out why an endpoint did not respond; ``other_urls`` are those of all other endpoints."""

    def __init__(
        self, name: str, pool: HttpPool, clock: Clock, other_urls: Callable[[], list[str]]
    ) -> None:
        self._name = name
        self._pool = pool
        self._clock = clock
        self._other_urls = other_urls

    def check_running(self) -> None:
        """Raise ``EndpointFailedError`` unless the process still listens.

        For a response that ended with its connection, as it does where the process ends.
        """
        if not self._pool.accepts(_CONNECT_CHECK_TIMEOUT_SECONDS):
            reason = (
                "its response has no length, and the process may have ended in the middle of it"
            )
            raise self.no_response_error(ExchangeFailedError(reason))

    def no_response_error(self, error: Exception) -> EndpointFailedError:
        """Return the error for a request that was sent but got no response.

        Opens a connection to find out whether the process still listens. A refused one proves
        nothing on a host that reaches no other endpoint either.
        """
        if self._pool.refuses(_CONNECT_CHECK_TIMEOUT_SECONDS) and self._reaches_others():
            return EndpointEndedError(f"The process of endpoint {self._name} has exited: {error}.")
        return EndpointFailedError(f"Endpoint {self._name} did not respond: {error}.")

    def _reaches_others(self) -> bool:
        """Return whether another endpoint accepts a connection, or there is none to ask."""
        urls = self._other_urls()
        random.shuffle(urls)
        limit = self._clock.monotonic() + _PATH_CHECK_SECONDS
        for url in urls:
            left = limit - self._clock.monotonic()
            if left <= 0:
                return False
            if HttpPool(url).accepts(min(left, _CONNECT_CHECK_TIMEOUT_SECONDS)):
                return True
        return not urls
