"""Distinguishes an exited endpoint process from a lost response."""

from __future__ import annotations

from brassdrum.errors import EndpointEndedError, EndpointFailedError
from brassdrum.http_pool import HttpPool

__all__ = ["no_response_error"]

# Without a listening process, the host refuses the connection within one round trip.
_CONNECT_CHECK_TIMEOUT_SECONDS = 0.3


def no_response_error(name: str, pool: HttpPool, error: Exception) -> EndpointFailedError:
    """Return the error for a request that was sent but got no response.

    Opens one connection to find out whether the process still listens.
    """
    if pool.refuses(_CONNECT_CHECK_TIMEOUT_SECONDS):
        return EndpointEndedError(f"The process of endpoint {name} has exited: {error}.")
    return EndpointFailedError(f"Endpoint {name} did not respond: {error}.")
