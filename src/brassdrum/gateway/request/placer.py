"""Choice of the endpoint for a request, from all that the daemon knows."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.model import DeclaredRequest, EndpointEntry, EngineModel, Route
from brassdrum.gateway.net.loop import Timers
from brassdrum.gateway.placing.choosing import EndpointSelector, Selection
from brassdrum.gateway.placing.costs import prefill_ms
from brassdrum.gateway.placing.placement import Placement, PlacementRequest
from brassdrum.gateway.placing.policies import Policy
from brassdrum.gateway.request.patience import WaitDeadlines
from brassdrum.gateway.sharing.demand import DemandKey
from brassdrum.gateway.sharing.fair_order import FairOrder
from brassdrum.gateway.throttling.permits import Permit
from brassdrum.gateway.throttling.throttle import EndpointOpening, EndpointThrottle
from brassdrum.outcomes.fingerprint import RequestTraits

__all__ = ["EndpointList", "PlacedExchange", "RequestPlacer"]


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


class EndpointList(Protocol):
    """The endpoints and the cost models of the services."""

    def usable(self, service: str) -> list[EndpointEntry]:
        """Return the endpoints of a service that accept new requests."""

    def engine_model(self, service: str) -> EngineModel | None:
        """Return the cost model of a service, or None if its endpoints are no engines."""


class RequestPlacer:
    """Place requests on the endpoints that may get them.

    ``policy`` returns the policy in force, ``is_suspect`` which endpoints should be avoided.
    """

    def __init__(
        self,
        loop: Timers,
        endpoints: EndpointList,
        selector: EndpointSelector,
        throttle: EndpointThrottle,
        guard: CrashGuard,
        fair_order: FairOrder,
        is_suspect: Callable[[str], bool],
        policy: Callable[[], Policy],
    ) -> None:
        self._loop = loop
        self._endpoints = endpoints
        self._selector = selector
        self._throttle = throttle
        self._guard = guard
        self._fair_order = fair_order
        self._is_suspect = is_suspect
        self._policy = policy

    def place(self, exchange: PlacedExchange, need: PlacementRequest) -> Placement | None:
        """Return the best placement for a request now, or None without a usable endpoint."""
        now = self._loop.now()
        selection = Selection(
            self._policy(),
            need,
            self._usable_entries(exchange),
            self._is_suspect,
            self._endpoints.engine_model(exchange.service),
            now,
            exchange.permit,
        )
        return self._selector.select(
            selection,
            late=now > exchange.wait_deadlines.timely_until,
            turn=self._fair_order.turn(exchange.demand_key),
        )

    def next_opening(
        self, exchange: PlacedExchange, need: PlacementRequest
    ) -> EndpointOpening | None:
        """Return the endpoint that takes a request first, or None without a usable endpoint."""
        opening = self._throttle.next_opening(self._usable_entries(exchange))
        engine = self._endpoints.engine_model(exchange.service)
        if opening is None or engine is None:
            return opening
        return replace(opening, first_event_ms=prefill_ms(engine, need.prompt_tokens))

    def seconds_until_open(self, service: str) -> float:
        """Return the seconds until some endpoint of a service takes requests, 0 if one does."""
        opening = self._throttle.next_opening(self._endpoints.usable(service))
        return 0.0 if opening is None else opening.seconds

    def _usable_entries(self, exchange: PlacedExchange) -> list[EndpointEntry]:
        """Return the endpoints for a request, without the limits and pauses that they ask for."""
        usable = self._guard.eligible_endpoints(
            self._guard.judge(exchange.traits, exchange.tried_endpoints).status,
            self._endpoints.usable(exchange.service),
            self._is_suspect,
        )
        return [entry for entry in usable if entry.id not in exchange.tried_endpoints]
