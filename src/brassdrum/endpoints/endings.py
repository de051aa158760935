"""Tell an endpoint whose process has ended from one that lost an answer."""

from __future__ import annotations

from brassdrum.errors import EndpointEndedError, EndpointFailedError
from brassdrum.http_pool import HttpPool

__all__ = ["no_response_error"]

# A host without the process refuses within a round trip; longer silence proves nothing.
_CHECK_SECONDS = 0.3


def no_response_error(name: str, pool: HttpPool, error: Exception) -> EndpointFailedError:
    """Return the error of a request that was sent and not answered; opens one connection."""
    if pool.refuses(_CHECK_SECONDS):
        return EndpointEndedError(f"The process of endpoint {name} has ended: {error}.")
    return EndpointFailedError(f"Endpoint {name} did not answer: {error}.")
