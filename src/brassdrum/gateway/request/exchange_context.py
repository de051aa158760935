"""What a request's exchange asks of the daemon that carries it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from brassdrum.gateway.following.beliefs import Beliefs
from brassdrum.gateway.following.knowledge import Knowledge
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.guards.endings import LostRequest
from brassdrum.gateway.placing.placement import Need, Placement
from brassdrum.gateway.request.attempt import Attempt, AttemptContext
from brassdrum.gateway.request.outcome import Outcome
from brassdrum.gateway.request.wait_queue import WaitQueue
from brassdrum.telemetry.log_events import LogEvent

if TYPE_CHECKING:
    from brassdrum.gateway.request.exchange import Exchange

__all__ = ["ExchangeContext"]


class ExchangeContext(AttemptContext, Protocol):
    """Give an exchange what it shares with all others of this daemon."""

    knowledge: Knowledge
    beliefs: Beliefs
    wait_queue: WaitQueue
    guard: CrashGuard

    def place(self, exchange: Exchange, need: Need) -> Placement | None:
        """Return where to send a request now."""

    def may_wait(self, exchange: Exchange) -> bool:
        """Return whether a request may wait for calmer engines."""

    def consume_retry(self, service: str) -> bool:
        """Take one repeated send from the shared budget, or return False."""

    def log_decision(self, event: LogEvent, **values: object) -> None:
        """Log a decision that touches a request."""

    def response_interrupted(self, attempt: Attempt, lost: LostRequest) -> None:
        """Learn that an endpoint broke off an answer without saying why."""

    def retries_left(self, service: str) -> float:
        """Return how many repeats this daemon may still send."""

    def exchange_finished(
        self, exchange: Exchange, outcome: Outcome, status: int, detail: str
    ) -> None:
        """Learn that a request got its final answer."""
