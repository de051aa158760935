"""An HTTP client that is imported at its first use; the import costs 16 ms of processor time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brassdrum.http_pool import Exchange, HttpPool

__all__ = ["ConnectFailedError", "DeferredHttpPool", "ExchangeFailedError"]


class ConnectFailedError(Exception):
    """Tell that no byte of the request left this process."""


class ExchangeFailedError(Exception):
    """Tell that the request may have arrived but its answer did not."""


class DeferredHttpPool:
    """A pool of connections to one base URL, for threads that may wait for the import."""

    def __init__(self, url: str, timeout: float) -> None:
        self._url = url
        self._timeout = timeout
        self._pool: HttpPool | None = None

    def request(
        self, method: str, path: str, body: bytes | None = None, *, time_limit: float
    ) -> Exchange:
        """Send a request as ``HttpPool.request`` does; ``time_limit`` is for the whole response."""
        return self._imported().request(method, path, body, time_limit=time_limit)

    def close(self) -> None:
        """Close all idle connections."""
        if self._pool is not None:
            self._pool.close()

    def _imported(self) -> HttpPool:
        from brassdrum.http_pool import HttpPool

        if self._pool is None:
            # Two threads may each create one at the first call; the later one is kept, and the
            # connection of the other closes when it is collected.
            self._pool = HttpPool(self._url, self._timeout)
        return self._pool
