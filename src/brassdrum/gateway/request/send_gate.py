"""Hold a request back while no endpoint takes it, by what the endpoints ask for."""

from __future__ import annotations

from typing import Protocol

from brassdrum.gateway.placing.placement import SLOT_WAIT_PATIENCE_SHARE, PlacementRequest
from brassdrum.gateway.request.exchange_context import ExchangeContext
from brassdrum.gateway.request.placer import PlacedExchange
from brassdrum.gateway.request.story import RequestStory
from brassdrum.gateway.throttling.permits import Permit
from brassdrum.gateway.throttling.rates import MAX_WAIT_SECONDS
from brassdrum.gateway.throttling.throttle import EndpointOpening
from brassdrum.telemetry import log_events

__all__ = ["GatedExchange", "GatedSearch", "SendGate"]

# The shortest time for which a request asks for permits, however long it has waited before.
_MIN_ASKING_MS = 500.0


class GatedExchange(PlacedExchange, Protocol):
    """The exchange of a request that is held back."""

    story: RequestStory

    @property
    def finished(self) -> bool:
        """Return whether the request has its final response."""

    def fail(self, detail: str, retry_after: float | None = None) -> None:
        """Refuse the request or break it off; ``retry_after`` is in seconds."""


class GatedSearch(Protocol):
    """The search for an endpoint that waits for the gate."""

    # Whether an endpoint is still sought.
    active: bool

    def dispatch(self) -> None:
        """Place the request and send it."""

    def postpone(self, seconds: float) -> None:
        """Dispatch the request again after some seconds."""


class SendGate:
    """Obtain permits for the sends of one request, or wait until an endpoint opens."""

    def __init__(
        self, context: ExchangeContext, exchange: GatedExchange, search: GatedSearch
    ) -> None:
        self.permit: Permit | None = None
        self._ask_until: float | None = None
        self._context = context
        self._exchange = exchange
        self._search = search

    def search_begun(self) -> None:
        """Allow a new search its own time to ask for permits."""
        self._ask_until = None

    def admits(self, endpoint: str) -> bool:
        """Return whether the request may be sent to an endpoint as far as its rate is limited."""
        if not self._context.throttle.needs_permit(endpoint):
            return True
        held = self.permit
        return (
            held is not None
            and held.endpoint == endpoint
            and held.is_valid(self._context.loop.now())
        )

    def wait_for_opening(self, need: PlacementRequest) -> None:
        """Wait for the endpoint that has room first, or refuse the request if that is too late."""
        opening = self._context.placer.next_opening(self._exchange, need)
        if opening is None:
            self._exchange.fail("no endpoint is available for the request")
            return
        max_wait = self._max_wait(need, opening)
        if opening.seconds > max_wait:
            self._exchange.fail("every endpoint asks for fewer requests", opening.seconds)
        elif opening.needs_permit:
            self.request_permit(opening.endpoint, max_wait)
        else:
            self._search.postpone(opening.seconds)

    def ask_at_once(self, endpoint: str, need: PlacementRequest) -> None:
        """Ask for a permit to send now, or refuse a request that has asked for too long.

        A daemon that does not hear the owners would ask one endpoint after the other until the
        caller leaves without an answer.
        """
        now = self._context.loop.now()
        if self._ask_until is None:
            left_ms = need.patience_ms * SLOT_WAIT_PATIENCE_SHARE - need.waited_ms
            self._ask_until = now + max(_MIN_ASKING_MS, left_ms) / 1000
        if now > self._ask_until:
            self._exchange.fail("every endpoint asks for fewer requests")
            return
        self.request_permit(endpoint, 0.0)

    def request_permit(self, endpoint: str, max_wait: float) -> None:
        """Ask for a permit; dispatch again when it allows a send or another endpoint is needed."""
        self.permit = None

        def decided(permit: Permit) -> None:
            if not self._exchange.finished and self._search.active:
                self._permit_decided(permit, max_wait)

        self._context.throttle.request_permit(endpoint, max_wait, decided)

    def _permit_decided(self, permit: Permit, max_wait: float) -> None:
        wait = permit.send_at - self._context.loop.now()
        self._exchange.story.log(
            log_events.PERMIT,
            endpoint=permit.endpoint,
            granted=permit.granted,
            wait_ms=round(wait * 1000),
            max_wait_ms=round(max_wait * 1000),
        )
        if permit.granted:
            self.permit = permit
            self._ask_until = None
        # A refusal within the time that was asked for is worth a second try after the wait.
        if wait > 0 and (permit.granted or wait <= max_wait):
            self._search.postpone(wait)
        else:
            self._search.dispatch()

    def _max_wait(self, need: PlacementRequest, opening: EndpointOpening) -> float:
        """Return for how many seconds the request may wait for an endpoint that is closed.

        A slot is booked, so even a late request may wait for it. A pause binds this daemon alone:
        a request that would be late is better off at another one.
        """
        if not self._context.may_wait(self._exchange):
            return 0.0
        start_ms = need.waited_ms + opening.first_event_ms
        if not opening.limits_rate:
            return (need.objective_ms - start_ms) / 1000
        latest_ms = need.patience_ms * SLOT_WAIT_PATIENCE_SHARE
        return min(MAX_WAIT_SECONDS, (latest_ms - start_ms) / 1000)
