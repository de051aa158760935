"""What simulated daemons believe of engines that fail."""

from __future__ import annotations

import math
from dataclasses import dataclass

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.following.slowdown_monitor import SlowdownMonitor
from brassdrum.gateway.following.suspicion import FailureDetector
from brassdrum.gateway.peering.peer_status import PeerStatus

__all__ = ["FailureModel", "SimulatedEndpointMonitor"]

# Reports of a failure that are still on their way when a recovery is known arrive within this time.
_OLD_REPORT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class FailureModel:
    """Say how engines refuse requests and what daemons believe of those that fail.

    An engine refuses requests beyond its slots and ``queue_limit`` more as not run. The retry
    budget is that of the daemons' settings. With ``recovery_news`` all daemons hear after
    ``news_seconds`` that an engine goes on, which daemons do not report to each other today.
    """

    queue_limit: int = 4
    retry_ratio: float = 0.2
    retry_slack: float = 100.0
    retry_window: float = 10.0
    recovery_news: bool = False
    news_seconds: float = 0.1


class SimulatedEndpointMonitor:
    """Judge engines as ``EndpointMonitor`` does; all are sound if no failure is ``believed``."""

    def __init__(self, loop: SimulatedLoop, routing_state: object, *, believed: bool) -> None:
        self.slowdowns = SlowdownMonitor(loop, routing_state, self.is_suspect)
        self.slowdowns.enabled = True
        self.detector = FailureDetector()
        self._loop = loop
        self._believed = believed
        self._silent: set[str] = set()
        self._ignored_until_by_endpoint: dict[str, float] = {}
        # Called with an engine that goes on.
        self.on_answered = _ignore

    def is_suspect(self, endpoint: str) -> bool:
        """Return whether an engine is avoided."""
        return self.detector.is_suspect(endpoint, self._loop.now())

    def suspect_by_others_alone(self, endpoint: str) -> bool:
        """Return whether an engine is avoided only because other daemons report it as failing."""
        now = self._loop.now()
        own = {notice.endpoint for notice in self.detector.notices(now)}
        return endpoint not in own and self.detector.is_suspect(endpoint, now)

    def endpoint_failed(self, endpoint: str, *, certain: bool, detail: str) -> None:
        """Record a failure."""
        if self._believed:
            self.detector.record_failure(endpoint, self._loop.now(), certain=certain)

    def endpoint_answered_failure(self, endpoint: str, _detail: str) -> None:
        """Record an error response."""
        if self._believed:
            self.detector.record_error_response(endpoint, self._loop.now())

    def endpoint_served(self, endpoint: str) -> None:
        """Record a complete response."""
        self.detector.record_success(endpoint)

    def endpoint_fell_silent(self, endpoint: str) -> None:
        """Record a silence."""
        self._silent.add(endpoint)

    def endpoint_answered(self, endpoint: str) -> None:
        """Use an engine again that goes on after a silence."""
        if endpoint not in self._silent:
            return
        self._silent.discard(endpoint)
        self.detector.record_recovery(endpoint)
        self.on_answered(endpoint)

    def recovery_reported(self, endpoint: str) -> None:
        """Use an engine again that another daemon saw go on; ignore older reports for a time."""
        self.detector.record_recovery(endpoint)
        self._ignored_until_by_endpoint[endpoint] = self._loop.now() + _OLD_REPORT_SECONDS

    def failure_status(self) -> dict[str, tuple]:
        """Return the fields of the status that name failing engines."""
        now = self._loop.now()
        return {
            "failing": tuple(self.detector.notices(now)),
            "recent_failures": tuple(self.detector.uncertain_failures(now)),
        }

    def apply_status(self, host: str, status: PeerStatus) -> None:
        """Apply what another daemon reports of engines."""
        now = self._loop.now()
        self.slowdowns.apply_report(host, status.slowdown)
        for notice in status.failing:
            if self._ignored_until_by_endpoint.get(notice.endpoint, -math.inf) <= now:
                self.detector.apply_notice(notice, now)
        for endpoint in status.recent_failures:
            self.detector.record_uncertain_failure(endpoint, host, now)

    def list_age(self) -> float:
        """Return a fresh list's age."""
        return 0.0


def _ignore(_endpoint: str) -> None:
    """Tell nobody."""
