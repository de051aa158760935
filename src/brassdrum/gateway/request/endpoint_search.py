"""Seek an endpoint for one request: place it, or wait for a slot, a permit or an opening."""

from __future__ import annotations

from typing import Protocol

from brassdrum.gateway.net.loop import Timer
from brassdrum.gateway.placing.placement import Decision, Placement, PlacementRequest, decide
from brassdrum.gateway.request.exchange_context import ExchangeContext
from brassdrum.gateway.request.send_gate import GatedExchange, SendGate
from brassdrum.gateway.request.waiting import WaitingRequest
from brassdrum.gateway.throttling.permits import Permit
from brassdrum.outcomes.quarantine import ContentStatus, Judgement
from brassdrum.telemetry import log_events

__all__ = ["EndpointSearch", "SeekingExchange"]


class SeekingExchange(GatedExchange, WaitingRequest, Protocol):
    """The exchange of a request that needs an endpoint."""

    @property
    def may_be_refused(self) -> bool:
        """Return whether a refusal as not run would be true."""

    def need(self) -> PlacementRequest:
        """Return the requirements that placement has to meet."""

    def send(self, placement: Placement, standing: ContentStatus) -> None:
        """Send the request to the endpoint that was found."""

    def forward(self) -> None:
        """Hand the request to another daemon, since this one can reach no endpoint."""

    def refuse_quarantined(self, judgement: Judgement) -> None:
        """Refuse a request that crashes the endpoints that run it."""

    def handler_failed(self, error: Exception) -> None:
        """Fail the request after an unexpected error."""


class EndpointSearch:
    """The search for an endpoint for one request, from its begin until it is sent or ended."""

    def __init__(self, context: ExchangeContext, exchange: SeekingExchange) -> None:
        self.active = False
        self.waits_for_slot = False
        self._context = context
        self._exchange = exchange
        self._gate = SendGate(context, exchange, self)
        self._waiting = False
        self._postponed: Timer | None = None

    @property
    def permit(self) -> Permit | None:
        """Return the permit for the next send to an endpoint that limits its rate."""
        return self._gate.permit

    def begin(self) -> None:
        """Seek an endpoint."""
        self.active = True
        self._gate.search_begun()
        self.dispatch()

    def end(self) -> None:
        """Seek no further endpoint."""
        self.active = False
        self._stop_waiting()
        if self._postponed is not None:
            self._postponed.cancel()
        self._gate.permit = None

    def postpone(self, seconds: float) -> None:
        """Dispatch the request again after some seconds."""
        self._stop_waiting()
        self._postponed = self._context.loop.call_later(seconds, self.dispatch)

    def dispatch(self) -> None:
        """Place the request and send it, unless the search has ended."""
        if not self.active:
            return
        try:
            self._dispatch()
        except Exception as error:
            self._exchange.handler_failed(error)

    def _dispatch(self) -> None:
        exchange = self._exchange
        judgement = self._context.crash_guard.judge(exchange.traits, exchange.tried_endpoints)
        if judgement.status is ContentStatus.QUARANTINED:
            self._stop_waiting()
            exchange.refuse_quarantined(judgement)
            return
        if judgement.status is ContentStatus.UNDECIDED:
            # Reports of other daemons may still decide whether this request crashes endpoints.
            self.postpone(judgement.seconds)
            return
        if self._context.path.is_lost:
            self._stop_waiting()
            exchange.forward()
            return
        need = exchange.need()
        placement = self._context.placer.place(exchange, need)
        if placement is None:
            self._stop_waiting()
            self._gate.wait_for_opening(need)
            return
        if self._is_sendable(need, placement):
            self._send(need, placement, judgement.status)

    def _is_sendable(self, need: PlacementRequest, placement: Placement) -> bool:
        """Return whether a placement suits now; otherwise the request waits or is refused."""
        verdict = decide(need, placement)
        if verdict is Decision.SEND and self._context.unknown_load.delays(need, placement):
            verdict = Decision.WAIT
        if verdict is Decision.WAIT and not self._context.may_wait(self._exchange):
            verdict = Decision.SEND
        if verdict is Decision.WAIT and self._refuse_early(need, placement):
            return False
        if verdict is Decision.WAIT and self._wait(placement):
            return False
        self._stop_waiting(served=verdict is Decision.SEND)
        if verdict is Decision.SEND or not self._exchange.may_be_refused:
            return True
        detail = "others would lose more by it"
        if placement.endpoint_full:
            detail = "every place is taken"
        self._exchange.fail(detail, self._context.wait_queue.retry_after_seconds())
        return False

    def _send(self, need: PlacementRequest, placement: Placement, standing: ContentStatus) -> None:
        """Send the request if the endpoint's rate permits it, or ask for a permit."""
        if not self._gate.admits(placement.entry.id):
            self._gate.ask_at_once(placement.entry.id, need)
            return
        self._exchange.send(placement, standing)

    def _refuse_early(self, need: PlacementRequest, placement: Placement) -> bool:
        """Refuse a request whose wait would be in vain; return whether it was refused."""
        exchange = self._exchange
        if placement.endpoint_full or not exchange.may_be_refused:
            return False
        without_room = self._context.room.seconds_without_room(exchange.service, need, placement)
        if without_room is None:
            return False
        self._stop_waiting()
        exchange.fail("no engines will have room in time", without_room)
        return True

    def _wait(self, placement: Placement) -> bool:
        """Queue for a better placement; return False if the request is unlikely to get one."""
        exchange, queue = self._exchange, self._context.wait_queue
        now = self._context.loop.now()
        self.waits_for_slot = placement.endpoint_full
        exchange.wait_deadlines.update(placement, now)
        late = now > exchange.wait_deadlines.timely_until
        if late and placement.endpoint_full and not queue.admits_late(exchange):
            return False
        if self._waiting:
            return True
        self._waiting = True
        exchange.story.log(
            log_events.WAITING,
            harm=round(placement.interference_tokens),
            late=round(placement.lateness_tokens),
            full=placement.endpoint_full,
            predicted_ms=round(placement.first_event_ms),
            **queue.turn_fields(exchange),
        )
        queue.add(exchange)
        return True

    def _stop_waiting(self, *, served: bool = False) -> None:
        if self._waiting:
            self._waiting = self.waits_for_slot = False
            self._context.wait_queue.remove(self._exchange, served=served)
