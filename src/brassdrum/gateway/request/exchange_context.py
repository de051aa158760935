"""What an exchange needs of the daemon, and what the daemon needs of an exchange."""

from __future__ import annotations

from typing import Protocol

from brassdrum.gateway.forwarding.forwarded_attempt import ForwardContext
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.model import DeclaredRequest, Route
from brassdrum.gateway.placing.room_sampler import RoomSampler
from brassdrum.gateway.placing.unknown_load import UnknownLoad
from brassdrum.gateway.request.attempt import AttemptContext
from brassdrum.gateway.request.outcome import LatencyReport, Outcome
from brassdrum.gateway.request.placer import PlacedExchange, RequestPlacer
from brassdrum.gateway.request.send_limits import RetryBudget
from brassdrum.gateway.request.story import RequestStory
from brassdrum.gateway.request.waiting import WaitQueue
from brassdrum.outcomes.fingerprint import RequestTraits
from brassdrum.telemetry.log_events import LogEvent

__all__ = ["EndpointPath", "ExchangeContext", "TrackedExchange"]


class TrackedExchange(Protocol):
    """An exchange that the daemon tracks until its end, and whose result it records."""

    request: DeclaredRequest
    route: Route
    traits: RequestTraits
    story: RequestStory
    # The endpoints that fell silent and whose attempts were ended.
    gave_up: list[str]

    @property
    def send_count(self) -> int:
        """Return how often the request was sent."""

    @property
    def sender(self) -> str | None:
        """Return the host of the daemon that forwarded the request, or None."""

    @property
    def answer_framing(self) -> str | None:
        """Return how the last answer of an endpoint was framed, or None if there was none."""

    @property
    def partial_event_bytes(self) -> int:
        """Return the bytes that the endpoint sent after its last complete event."""

    def latency_report(self) -> LatencyReport:
        """Return the latencies of the request up to now."""

    def abort(self, detail: str) -> None:
        """Fail the request."""


class EndpointPath(Protocol):
    """The daemon's own network path to the endpoints."""

    @property
    def is_lost(self) -> bool:
        """Return whether no endpoint can be reached from this host."""

    @property
    def probe_interval(self) -> float:
        """Return the seconds between probes while the path is lost."""


class ExchangeContext(AttemptContext, ForwardContext, RetryBudget, Protocol):
    """State and services of the daemon that all exchanges share."""

    path: EndpointPath
    wait_queue: WaitQueue
    room: RoomSampler
    unknown_load: UnknownLoad
    crash_guard: CrashGuard
    placer: RequestPlacer

    def may_wait(self, exchange: PlacedExchange) -> bool:
        """Return whether a request may wait for a better placement."""

    def log_event(self, event: LogEvent, **values: object) -> None:
        """Log a decision about a request."""

    def exchange_finished(
        self, exchange: TrackedExchange, outcome: Outcome, status: int, detail: str
    ) -> None:
        """Handle the end of a request."""
