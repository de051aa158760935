"""What an exchange needs of the daemon, and what the daemon needs of an exchange."""

from __future__ import annotations

from typing import Protocol

from brassdrum.gateway.forwarding.forwarded_attempt import ForwardContext
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.model import DeclaredRequest, Route
from brassdrum.gateway.placing.placement import Placement, PlacementRequest
from brassdrum.gateway.placing.room_sampler import RoomSampler
from brassdrum.gateway.placing.unknown_load import UnknownLoad
from brassdrum.gateway.request.attempt import AttemptContext
from brassdrum.gateway.request.outcome import LatencyReport, Outcome
from brassdrum.gateway.request.patience import WaitDeadlines
from brassdrum.gateway.request.send_limits import RetryBudget
from brassdrum.gateway.request.story import RequestStory
from brassdrum.gateway.request.waiting import WaitQueue
from brassdrum.gateway.sharing.demand import DemandKey
from brassdrum.gateway.throttling.permits import Permit
from brassdrum.gateway.throttling.throttle import EndpointOpening
from brassdrum.outcomes.fingerprint import RequestTraits
from brassdrum.telemetry.log_events import LogEvent

__all__ = ["EndpointPath", "ExchangeContext", "PlacedExchange", "TrackedExchange"]


class PlacedExchange(Protocol):
    """The exchange of a request for which the daemon chooses an endpoint.

    ``tried_endpoints`` are those that have had the request; it is not sent to them again.
    """

    request: DeclaredRequest
    route: Route
    service: str
    traits: RequestTraits
    tried_endpoints: set[str]
    wait_deadlines: WaitDeadlines

    @property
    def permit(self) -> Permit | None:
        """Return the permit for the next send to an endpoint that limits its rate."""

    @property
    def demand_key(self) -> DemandKey:
        """Return the key under which the request is counted across daemons."""


class TrackedExchange(Protocol):
    """An exchange that the daemon tracks until its end, and whose result it records."""

    request: DeclaredRequest
    route: Route
    traits: RequestTraits
    story: RequestStory

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

    def place(self, exchange: PlacedExchange, need: PlacementRequest) -> Placement | None:
        """Return the best placement for a request now, or None without a usable endpoint."""

    def next_opening(
        self, exchange: PlacedExchange, need: PlacementRequest
    ) -> EndpointOpening | None:
        """Return the endpoint that takes a request first, or None without a usable endpoint."""

    def seconds_until_open(self, service: str) -> float:
        """Return the seconds until some endpoint of a service takes requests, 0 if one does."""

    def may_wait(self, exchange: PlacedExchange) -> bool:
        """Return whether a request may wait for a better placement."""

    def log_event(self, event: LogEvent, **values: object) -> None:
        """Log a decision about a request."""

    def exchange_finished(
        self, exchange: TrackedExchange, outcome: Outcome, status: int, detail: str
    ) -> None:
        """Handle the end of a request."""
