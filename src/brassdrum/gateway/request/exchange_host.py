"""What a request's exchange asks of the daemon that carries it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from brassdrum.gateway.following.endpoint_monitor import EndpointMonitor
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.guards.endings import LostRequest
from brassdrum.gateway.placing.placement import Need, Placement
from brassdrum.gateway.request.attempt import Attempt, AttemptHost
from brassdrum.gateway.request.outcome import Outcome
from brassdrum.gateway.request.waiting import WaitingLine
from brassdrum.telemetry.log_events import LogEvent

if TYPE_CHECKING:
    from brassdrum.gateway.request.exchange import Exchange

__all__ = ["ExchangeHost"]


class ExchangeHost(AttemptHost, Protocol):
    """Give an exchange what it shares with all others of this daemon."""

    knowledge: RoutingState
    beliefs: EndpointMonitor
    line: WaitingLine
    guard: CrashGuard

    def place(self, exchange: Exchange, need: Need) -> Placement | None:
        """Return where to send a request now."""

    def may_wait(self, exchange: Exchange) -> bool:
        """Return whether a request may wait for calmer engines."""

    def may_repeat(self, service: str) -> bool:
        """Take one repeated send from the shared budget, or return False."""

    def decided(self, event: LogEvent, **values: object) -> None:
        """Log a decision that touches a request."""

    def answer_broke(self, attempt: Attempt, lost: LostRequest) -> None:
        """Learn that an endpoint broke off an answer without saying why."""

    def budget_left(self, service: str) -> float:
        """Return how many repeats this daemon may still send."""

    def ended(self, exchange: Exchange, outcome: Outcome, status: int, detail: str) -> None:
        """Learn that a request got its final answer."""
