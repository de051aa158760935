"""Reserve memory for one prompt at several endpoints atomically, with renewal and release."""

from __future__ import annotations

import logging
from collections.abc import Callable

from brassdrum.gateway.model import Dialect, EndpointSignals, Headers, Reservation
from brassdrum.gateway.net.answer_limits import MAX_CONTROL_ANSWER_BYTES
from brassdrum.gateway.net.loop import EventLoop, Timer
from brassdrum.gateway.net.upstream import CallFailure, EndpointCall, EndpointPool, OutgoingRequest

__all__ = ["MemoryHold", "ReservationManager"]

_logger = logging.getLogger(__name__)
# Timeout of a reservation call; one that times out may still take effect later.
_CALL_TIMEOUT_SECONDS = 0.3
# Renewals per hold time; more than one, so that a lost renewal doesn't end the hold.
_RENEWALS_PER_HOLD_TIME = 3.0
# Consecutive unanswered probes after which the consumer of the memory counts as silent, at most
# 1.7 s after its last answer with reservations of 3.2 s. It is probed before each renewal, so that
# memory is free again within the 4 s that the platform allows.
_MAX_UNANSWERED_PROBES = 2
_GRANTED = 200
_NO_ANSWER = 0
# Attempts to release; after that the reservation expires at the endpoint.
_RELEASE_ATTEMPTS = 3


class _ReservationCall:
    """One HTTP call to an endpoint; reports the status, 0 if there is no answer."""

    def __init__(
        self,
        loop: EventLoop,
        pool: EndpointPool,
        on_headers: Callable[[int, Headers], None],
        on_done: Callable[[int], None],
    ) -> None:
        self._pool = pool
        self._on_headers = on_headers
        self._on_done: Callable[[int], None] | None = on_done
        self._status = _NO_ANSWER
        self._call: EndpointCall | None = None
        self._timer = loop.call_later(_CALL_TIMEOUT_SECONDS, self._timed_out)

    def post(self, address: str, path: str, body: bytes) -> None:
        """Send a POST request with a JSON body."""
        headers = [
            (b"Host", address.encode()),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        request = OutgoingRequest(
            b"POST", path.encode(), headers, body, max_answer_bytes=MAX_CONTROL_ANSWER_BYTES
        )
        self._call = self._pool.call(address, self, request)

    def get(self, address: str, path: str) -> None:
        """Send a GET request."""
        request = OutgoingRequest(
            b"GET",
            path.encode(),
            [(b"Host", address.encode())],
            b"",
            max_answer_bytes=MAX_CONTROL_ANSWER_BYTES,
        )
        self._call = self._pool.call(address, self, request)

    def response_started(self, status: int, headers: Headers) -> None:
        """Record the status of the answer and report its headers."""
        self._status = status
        self._on_headers(status, headers)

    def response_data(self, _content: bytes) -> None:
        """Ignore the body; only the status matters."""

    def response_completed(self) -> None:
        """Report the status of a complete answer."""
        self._finish(self._status)

    def call_failed(self, how: CallFailure, detail: str) -> None:
        """Report a broken connection as no answer."""
        _logger.info("reservation call not answered", extra={"how": how.name, "detail": detail})
        self._finish(_NO_ANSWER)

    def _timed_out(self) -> None:
        if self._call is not None:
            self._call.cancel()
        self._finish(_NO_ANSWER)

    def _finish(self, status: int) -> None:
        self._timer.cancel()
        on_done, self._on_done = self._on_done, None
        if on_done is not None:
            on_done(status)


class MemoryHold:
    """The reserved memory of one prompt, renewed until it is released."""

    def __init__(
        self,
        manager: ReservationManager,
        reservations: tuple[Reservation, ...],
        consumer: str,
        on_done: Callable[[bool], None],
        on_consumer_silent: Callable[[], None],
    ) -> None:
        self.reservations = reservations
        self._manager = manager
        self._consumer = consumer
        self._on_consumer_silent = on_consumer_silent
        self._unanswered = 0
        self._probed_at = 0.0
        self._expires_at = manager.loop.now() + manager.hold_seconds
        self._on_done: Callable[[bool], None] | None = on_done
        self._pending = len(reservations)
        self._refused = False
        self._released = False
        self._timer: Timer | None = None

    def acquire(self) -> None:
        """Send all reservations at once.

        Endpoints refuse instead of waiting, so concurrent holds can't deadlock.
        """
        for reservation in self.reservations:
            self._manager.reserve(reservation, self._reserved)
        self._schedule_renewal()

    def release(self) -> None:
        """Release all memory."""
        if self._released:
            return
        self._released = True
        self._on_done = None
        if self._timer is not None:
            self._timer.cancel()
        for reservation in self.reservations:
            self._manager.release_one(reservation, _RELEASE_ATTEMPTS)

    def _reserved(self, granted: bool) -> None:
        self._pending -= 1
        self._refused = self._refused or not granted
        if self._pending or self._on_done is None:
            return
        on_done, refused = self._on_done, self._refused
        if refused:
            self.release()
        on_done(not refused)

    def _schedule_renewal(self) -> None:
        seconds = self._manager.hold_seconds / _RENEWALS_PER_HOLD_TIME
        self._timer = self._manager.loop.call_later(seconds, self._probe)

    def _probe(self) -> None:
        """Probe the endpoint that uses the memory."""
        self._probed_at = self._manager.loop.now()
        self._manager.probe(self._consumer, self._probed)

    def _probed(self, answered: bool) -> None:
        if self._released:
            return
        if answered:
            self._unanswered = 0
            self._renew()
            return
        self._unanswered += 1
        now = self._manager.loop.now()
        last_probe = now + _CALL_TIMEOUT_SECONDS >= self._expires_at
        if last_probe:
            # Another one would end after the reservations.
            self.release()
        if self._unanswered == _MAX_UNANSWERED_PROBES or (last_probe and self._unanswered == 1):
            self._on_consumer_silent()
        if self._released:
            return
        # A silent consumer may go on, so the memory is kept until the reservations end.
        next_probe = self._probed_at + _CALL_TIMEOUT_SECONDS
        self._timer = self._manager.loop.call_at(max(now, next_probe), self._probe)

    def _renew(self) -> None:
        self._expires_at = self._manager.loop.now() + self._manager.hold_seconds
        for reservation in self.reservations:
            self._manager.reserve(reservation, _ignore)
        self._schedule_renewal()


class ReservationManager:
    """Send the reservation calls of all holds of this daemon."""

    def __init__(
        self,
        loop: EventLoop,
        pool: EndpointPool,
        dialect: Dialect,
        hold_seconds: float,
        on_signals: Callable[[str, EndpointSignals], None],
    ) -> None:
        self.loop = loop
        self.hold_seconds = hold_seconds
        self.calls_sent = 0
        self._pool = pool
        self._dialect = dialect
        # Receives the address of an endpoint and what it asks for.
        self._on_signals = on_signals

    def acquire(
        self,
        reservations: tuple[Reservation, ...],
        consumer: str,
        on_done: Callable[[bool], None],
        on_consumer_silent: Callable[[], None],
    ) -> MemoryHold:
        """Reserve memory at several endpoints and report whether all of them granted it.

        ``consumer`` is the address of the endpoint that uses the memory. If it stops answering
        probes, ``on_consumer_silent`` is called, and the memory is not renewed until it answers.
        """
        hold = MemoryHold(self, reservations, consumer, on_done, on_consumer_silent)
        hold.acquire()
        return hold

    def reserve(self, reservation: Reservation, on_done: Callable[[bool], None]) -> None:
        """Reserve memory at one endpoint or renew the reservation."""
        body = self._dialect.encode_reserve(
            reservation.ticket, reservation.tokens, self.hold_seconds, wait=False
        )
        self._send(reservation, body, on_done)

    def release_one(self, reservation: Reservation, attempts: int) -> None:
        """Release memory at one endpoint; repeated on failure up to ``attempts`` times in all."""

        def repeat(granted: bool) -> None:
            if not granted and attempts > 1:
                self.release_one(reservation, attempts - 1)

        self._send(reservation, self._dialect.encode_release(reservation.ticket), repeat)

    def probe(self, address: str, on_done: Callable[[bool], None]) -> None:
        """Report whether an endpoint answers."""
        call = self._call(address, lambda status: on_done(status != _NO_ANSWER))
        call.get(address, self._dialect.report_path)

    def _send(self, reservation: Reservation, body: bytes, on_done: Callable[[bool], None]) -> None:
        self.calls_sent += 1
        call = self._call(reservation.address, lambda status: on_done(status == _GRANTED))
        call.post(reservation.address, self._dialect.order_path, body)

    def _call(self, address: str, on_done: Callable[[int], None]) -> _ReservationCall:
        def report_signals(status: int, headers: Headers) -> None:
            signals = self._dialect.read_signals(status, headers)
            if signals is not None:
                self._on_signals(address, signals)

        return _ReservationCall(self.loop, self._pool, report_signals, on_done)


def _ignore(_granted: bool) -> None:
    """Ignore a refused renewal; the endpoint then ends the request, which is retried elsewhere."""
