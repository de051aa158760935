"""Hold memory at several endpoints for one prompt: all or none, renewed, always given back."""

from __future__ import annotations

import logging
from collections.abc import Callable

from brassdrum.gateway.model import Dialect, Headers, Reservation
from brassdrum.gateway.net.loop import EventLoop, Timer
from brassdrum.gateway.net.upstream import CallFailure, EndpointCall, EndpointPool, OutgoingRequest

__all__ = ["Hold", "Reservations"]

_logger = logging.getLogger(__name__)
# An order takes a few ms; one without an answer may be carried out seconds later.
_ORDER_SECONDS = 0.3
# A hold is renewed three times in its span, so that one lost renewal does no harm.
_RENEWALS_PER_HOLD = 3.0
# Before each renewal the endpoint that uses the memory is asked for a sign of life. After this many
# questions in a row without an answer it counts as gone: at most 1.7 s after its last answer, with
# holds of 3.2 s, so that memory is free again within the 4 s that the platform allows.
_MOST_UNANSWERED = 2
_GRANTED = 200
_NO_ANSWER = 0
# A release is repeated this often; after that the hold's own end gives the memory back.
_RELEASE_ATTEMPTS = 3


class Order:
    """Send one order or question and tell the status of its answer, 0 without one."""

    def __init__(self, loop: EventLoop, pool: EndpointPool, done: Callable[[int], None]) -> None:
        self._pool = pool
        self._done: Callable[[int], None] | None = done
        self._status = _NO_ANSWER
        self._call: EndpointCall | None = None
        self._timer = loop.call_later(_ORDER_SECONDS, self._late)

    def send(self, address: str, path: str, body: bytes) -> None:
        """Send an order."""
        headers = [
            (b"Host", address.encode()),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        request = OutgoingRequest(b"POST", path.encode(), headers, body)
        self._call = self._pool.call(address, self, request)

    def ask(self, address: str, path: str) -> None:
        """Send a question."""
        request = OutgoingRequest(b"GET", path.encode(), [(b"Host", address.encode())], b"")
        self._call = self._pool.call(address, self, request)

    def response_started(self, status: int, _headers: Headers) -> None:
        """Take the start of the answer."""
        self._status = status

    def response_data(self, _content: bytes) -> None:
        """Leave the body: the status says all."""

    def response_completed(self) -> None:
        """Take a whole answer."""
        self._finish(self._status)

    def call_failed(self, how: CallFailure, detail: str) -> None:
        """Take a broken connection as no answer."""
        _logger.info("order not answered", extra={"how": how.name, "detail": detail})
        self._finish(_NO_ANSWER)

    def _late(self) -> None:
        if self._call is not None:
            self._call.cancel()
        self._finish(_NO_ANSWER)

    def _finish(self, status: int) -> None:
        self._timer.cancel()
        done, self._done = self._done, None
        if done is not None:
            done(status)


class Hold:
    """Keep the memory of one prompt until it is released."""

    def __init__(
        self,
        manager: Reservations,
        reservations: tuple[Reservation, ...],
        user: str,
        done: Callable[[bool], None],
        on_user_gone: Callable[[], None],
    ) -> None:
        self.reservations = reservations
        self._manager = manager
        self._user = user
        self._on_user_gone = on_user_gone
        self._unanswered = 0
        self._done: Callable[[bool], None] | None = done
        self._waiting = len(reservations)
        self._refused = False
        self._released = False
        self._timer: Timer | None = None

    def acquire(self) -> None:
        """Ask all endpoints at once; none of them waits, so holders cannot block each other."""
        for reservation in self.reservations:
            self._manager.reserve(reservation, self._answered)
        self._plan_renewal()

    def release(self) -> None:
        """Give all memory back."""
        if self._released:
            return
        self._released = True
        self._done = None
        if self._timer is not None:
            self._timer.cancel()
        for reservation in self.reservations:
            self._manager.give_back(reservation, _RELEASE_ATTEMPTS)

    def _answered(self, granted: bool) -> None:
        self._waiting -= 1
        self._refused = self._refused or not granted
        if self._waiting or self._done is None:
            return
        done, refused = self._done, self._refused
        if refused:
            self.release()
        done(not refused)

    def _plan_renewal(self) -> None:
        seconds = self._manager.hold_seconds / _RENEWALS_PER_HOLD
        self._timer = self._manager.loop.call_later(seconds, self._ask)

    def _ask(self) -> None:
        """Ask the endpoint that uses the memory for a sign of life."""
        self._manager.ask(self._user, self._heard)

    def _heard(self, answered: bool) -> None:
        if self._released:
            return
        if answered:
            self._unanswered = 0
            self._renew()
            return
        self._unanswered += 1
        if self._unanswered < _MOST_UNANSWERED:
            self._ask()
            return
        # Nobody uses the memory any more, or nobody here would hear of it.
        self.release()
        self._on_user_gone()

    def _renew(self) -> None:
        for reservation in self.reservations:
            self._manager.reserve(reservation, _ignore)
        self._plan_renewal()


class Reservations:
    """Send the orders of all holds of this daemon."""

    def __init__(
        self, loop: EventLoop, pool: EndpointPool, dialect: Dialect, hold_seconds: float
    ) -> None:
        self.loop = loop
        self.hold_seconds = hold_seconds
        self.orders = 0
        self._pool = pool
        self._dialect = dialect

    def hold(
        self,
        reservations: tuple[Reservation, ...],
        user: str,
        done: Callable[[bool], None],
        on_user_gone: Callable[[], None],
    ) -> Hold:
        """Ask for memory at several endpoints; tell whether all of them granted it.

        ``user`` is the address of the endpoint that uses it. When that gives no sign of life, all
        is given back and ``on_user_gone`` is called.
        """
        hold = Hold(self, reservations, user, done, on_user_gone)
        hold.acquire()
        return hold

    def reserve(self, reservation: Reservation, done: Callable[[bool], None]) -> None:
        """Ask one endpoint to hold memory, or to hold it longer."""
        body = self._dialect.reserve(
            reservation.ticket, reservation.tokens, self.hold_seconds, wait=False
        )
        self._order(reservation, body, done)

    def give_back(self, reservation: Reservation, attempts: int) -> None:
        """Tell one endpoint that the memory is free, again if it does not answer."""

        def repeat(granted: bool) -> None:
            if not granted and attempts > 1:
                self.give_back(reservation, attempts - 1)

        self._order(reservation, self._dialect.release(reservation.ticket), repeat)

    def ask(self, address: str, done: Callable[[bool], None]) -> None:
        """Tell whether an endpoint answers at all."""
        order = Order(self.loop, self._pool, lambda status: done(status != _NO_ANSWER))
        order.ask(address, self._dialect.report_path)

    def _order(self, reservation: Reservation, body: bytes, done: Callable[[bool], None]) -> None:
        self.orders += 1
        order = Order(self.loop, self._pool, lambda status: done(status == _GRANTED))
        order.send(reservation.address, self._dialect.order_path, body)


def _ignore(_granted: bool) -> None:
    """Leave a refused renewal: the endpoint cuts the request, which is then sent elsewhere."""
