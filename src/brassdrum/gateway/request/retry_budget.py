"""The part of one daemon in the retry budget that all daemons share."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from brassdrum.gateway.model import Bounds

__all__ = ["RetryBudgets", "SharedRetryBudget"]

# The rest is a margin for daemons that have just joined or are counted late.
_USABLE_SHARE = 0.7


class SharedRetryBudget:
    """Count this daemon's requests and retries of one service in a sliding window."""

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._request_times: deque[float] = deque()
        self._retry_times: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request that is sent for the first time."""
        self._request_times.append(now)

    def remaining(self, now: float, live_daemons: int) -> float:
        """Return the number of retries that this daemon may still send in the window."""
        for times in (self._request_times, self._retry_times):
            while times and times[0] <= now - self._window:
                times.popleft()
        allowed = self._ratio * len(self._request_times) + self._slack / max(1, live_daemons)
        return allowed * _USABLE_SHARE - len(self._retry_times)

    def try_consume(self, now: float, live_daemons: int) -> bool:
        """Count a retry, or return False if none is left."""
        if self.remaining(now, live_daemons) < 1.0:
            return False
        self._retry_times.append(now)
        return True

    def give_back(self) -> None:
        """Take the last retry back, which was not sent."""
        if self._retry_times:
            self._retry_times.pop()


class RetryBudgets:
    """The part of one daemon in the retry budgets of all services.

    ``live_daemons`` returns how many daemons share the budgets.
    """

    def __init__(
        self,
        now: Callable[[], float],
        bounds: Callable[[], Bounds],
        live_daemons: Callable[[], int],
    ) -> None:
        self._now = now
        self._bounds = bounds
        self._live_daemons = live_daemons
        self._by_service: dict[str, SharedRetryBudget] = {}

    def record_request(self, service: str) -> None:
        """Count a request that is sent for the first time."""
        self._budget(service).record_request(self._now())

    def try_consume(self, service: str) -> bool:
        """Count a retry, or return False if none is left."""
        return self._budget(service).try_consume(self._now(), self._live_daemons())

    def give_back(self, service: str) -> None:
        """Take the last retry back, which was not sent."""
        self._budget(service).give_back()

    def remaining(self, service: str) -> float:
        """Return the number of retries that this daemon may still send in the window."""
        return self._budget(service).remaining(self._now(), self._live_daemons())

    def _budget(self, service: str) -> SharedRetryBudget:
        if service not in self._by_service:
            bounds = self._bounds()
            self._by_service[service] = SharedRetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
        return self._by_service[service]
