"""Hold one send of a request: its call, its held memory and its part of the shared picture."""

from __future__ import annotations

from typing import Protocol

from brassdrum.gateway.model import (
    DeclaredRequest,
    Dialect,
    Headers,
    HelperName,
    Reply,
    Reservation,
    Route,
)
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.net.upstream import Break, EndpointCall, EndpointPool, OutgoingRequest
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.gateway.placing.placement import Helper, Placement
from brassdrum.gateway.placing.reservations import MemoryHold, ReservationManager

__all__ = ["Attempt", "AttemptHost", "AttemptOwner", "helper_name"]

# An endpoint of whose places at most this part is taken has room, whatever is on its way to it.
_ROOM_SHARE = 0.5


class AttemptHost(Protocol):
    """Give an attempt what it shares with all others of this daemon."""

    loop: EventLoop
    dialect: Dialect
    pool: EndpointPool
    table: LoadTable
    reservations: ReservationManager

    def load_changed(self) -> None:
        """Learn that own work in flight changed."""

    def next_number(self) -> int:
        """Return a number that no other attempt of this daemon has."""


class AttemptOwner(Protocol):
    """Be told what becomes of an attempt; each method is called at most once but ``data``."""

    request: DeclaredRequest
    route: Route

    def outgoing(self, attempt: Attempt, placement: Placement) -> OutgoingRequest:
        """Return the request as an endpoint receives it."""

    def watch_silence(self, placement: Placement | None) -> None:
        """Give an endpoint up when it is silent for longer than its work explains."""

    def memory_refused(self, attempt: Attempt) -> None:
        """Learn that an endpoint has no memory for its part; nothing was sent."""

    def attempt_unheard(self, attempt: Attempt) -> None:
        """Learn that the endpoint gives no sign of life; memory held for it is given back."""

    def attempt_began(self, attempt: Attempt, reply: Reply) -> None:
        """Judge the start of an answer."""

    def attempt_data(self, attempt: Attempt, content: bytes) -> None:
        """Take a part of an answer."""

    def attempt_answered(self, attempt: Attempt) -> None:
        """Learn that the answer is whole."""

    def attempt_broken(self, attempt: Attempt, how: Break, detail: str) -> None:
        """Learn that the connection broke."""


class Attempt:
    """Hold one send of a request; hears its call and keeps the load table true."""

    def __init__(self, host: AttemptHost, exchange: AttemptOwner, placement: Placement) -> None:
        self.endpoint = placement.entry.id
        self.sent_at = host.loop.now()
        self.reply: Reply | None = None
        self.body = bytearray()
        self._host = host
        self._exchange = exchange
        self._placement = placement
        # Not the number of sends: one that was refused memory is not counted there.
        self._number = host.next_number()
        self._key = f"{exchange.request.id}.{self._number}"
        self._hold: MemoryHold | None = None
        self._call: EndpointCall | None = None
        self._writing = False
        self._finished = False

    @property
    def unproven(self) -> bool:
        """Return whether the request was sent and nothing has proved that it did not run."""
        return not self._finished and self._call is not None and self._call.sent

    @property
    def reused(self) -> bool:
        """Return whether the request went over a kept connection."""
        return self._call is not None and self._call.reused

    @property
    def leaves_room(self) -> bool:
        """Return whether many places of the endpoint are known to be free after this attempt."""
        taken = self._host.table.total(self.endpoint).requests
        return taken <= self._placement.entry.slots * _ROOM_SHARE

    @property
    def finished(self) -> bool:
        """Return whether nothing more is expected of the attempt."""
        return self._finished

    def ticket(self, endpoint: str) -> str:
        """Return the name of the memory that an endpoint holds for this attempt."""
        return f"{self._exchange.request.id}-{self._number}-{endpoint}"

    def start(self) -> None:
        """Send the request, after the memory of its parts is held."""
        self._host.table.start(
            self._key,
            self._placement.shares,
            self._host.loop.now(),
            self._placement.first_event_ms,
        )
        self._host.load_changed()
        reservations = tuple(
            Reservation(each.entry.address, self.ticket(each.entry.name), each.stored_tokens)
            for each in self._placement.helpers
            if each.stored_tokens
        )
        if reservations:
            user = self._placement.entry.address
            self._hold = self._host.reservations.acquire(
                reservations, user, self._held, self._user_gone
            )
            return
        self._send()

    def _held(self, granted: bool) -> None:
        if self._finished:
            return
        if granted:
            self._send()
        else:
            self._exchange.memory_refused(self)

    def _send(self) -> None:
        address = self._placement.entry.address
        request = self._exchange.outgoing(self, self._placement)
        fresh = not self._exchange.route.repeatable
        self.sent_at = self._host.loop.now()
        self._call = self._host.pool.call(address, self, request, fresh=fresh)
        self._exchange.watch_silence(self._placement)

    def _user_gone(self) -> None:
        if not self._finished:
            self._exchange.attempt_unheard(self)

    def writes(self) -> None:
        """Note that the first event came: the prompt is read."""
        if self._writing or self._finished:
            return
        self._writing = True
        self._host.table.prefill_finished(self._key)
        self._host.load_changed()

    def cancel(self) -> None:
        """Stop the endpoint's work."""
        if self._call is not None and not self._finished:
            self._call.cancel()
        self.finish()

    def finish(self) -> None:
        """Give back what the attempt took of the shared picture."""
        if self._finished:
            return
        self._finished = True
        if self._hold is not None:
            self._hold.release()
        self._host.table.end(self._key, self._host.loop.now())
        self._host.load_changed()

    def began(self, status: int, headers: Headers) -> None:
        """Take the start of the answer."""
        self.reply = self._host.dialect.read_reply(self._exchange.request, status, headers)
        self._exchange.attempt_began(self, self.reply)

    def data(self, content: bytes) -> None:
        """Take a part of the answer's body."""
        if not self._finished:
            self._exchange.attempt_data(self, content)

    def answered(self) -> None:
        """Learn that the answer is whole."""
        if not self._finished:
            self._exchange.attempt_answered(self)

    def broken(self, how: Break, detail: str) -> None:
        """Learn that the connection broke."""
        if not self._finished:
            self._exchange.attempt_broken(self, how, detail)


def helper_name(attempt: Attempt, helper: Helper) -> HelperName:
    """Return how a request names a helper and the memory that it holds."""
    ticket = attempt.ticket(helper.entry.name) if helper.stored_tokens else None
    return HelperName(helper.entry.address, ticket)
