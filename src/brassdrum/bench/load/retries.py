"""Count the retries of a simulated daemon, against the real budget where a run has one."""

from __future__ import annotations

from collections.abc import Callable

from brassdrum.bench.load.endpoint_monitor import FailureModel
from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.request.retry_budget import SharedRetryBudget

__all__ = ["SimulatedRetries"]

# What is left without a budget: enough for each request.
_UNLIMITED_RETRIES = 10.0


class SimulatedRetries:
    """The retries of one daemon; ``times`` and ``request_times`` say when each was counted."""

    def __init__(
        self, loop: SimulatedLoop, live_daemons: Callable[[], int], model: FailureModel | None
    ) -> None:
        self.times: list[float] = []
        self.request_times: list[float] = []
        self._loop = loop
        self._live_daemons = live_daemons
        self._budget = (
            None
            if model is None
            else SharedRetryBudget(model.retry_ratio, model.retry_slack, model.retry_window)
        )

    def record_request(self) -> None:
        """Count a request of a caller."""
        now = self._loop.now()
        self.request_times.append(now)
        if self._budget is not None:
            self._budget.record_request(now)

    def consume(self) -> bool:
        """Take a retry, or return False if none is left."""
        now = self._loop.now()
        if self._budget is not None and not self._budget.try_consume(now, self._live_daemons()):
            return False
        self.times.append(now)
        return True

    def give_back(self) -> None:
        """Take back the last retry, which was not sent."""
        self.times.pop()
        if self._budget is not None:
            self._budget.give_back()

    def left(self) -> float:
        """Return how many may still be taken."""
        if self._budget is None:
            return _UNLIMITED_RETRIES
        return self._budget.remaining(self._loop.now(), self._live_daemons())
