"""Ask the daemon that schedules an endpoint when a request may be sent there, or answer as it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from brassdrum.gateway.net.loop import Timer, Timers
from brassdrum.gateway.peering.peer_messages import PermitReply, PermitRequest
from brassdrum.gateway.throttling.ownership import Member, OwnerSelector
from brassdrum.gateway.throttling.rates import MAX_WAIT_SECONDS
from brassdrum.gateway.throttling.schedule import SendSchedule, SendSlot

__all__ = ["Permit", "PermitBroker", "PermitTransport"]

# Covers two hops between zones and a loaded event loop. Datagrams are not repeated: a lost one
# costs the request this wait.
_REPLY_TIMEOUT_SECONDS = 0.15
# Pause before an owner that did not reply, or is not settled at another daemon, is asked again.
_RETRY_SECONDS = 0.2
# A permit that is not used within this time has expired.
_VALIDITY_SECONDS = 0.2
_TIMER_TOLERANCE_SECONDS = 0.001
_REQUEST_NUMBERS = 1 << 32


class PermitTransport(Protocol):
    """Send messages to other daemons; implemented by the peers of this one."""

    @property
    def own_host(self) -> str:
        """Return the host of this daemon."""

    @property
    def report_target(self) -> str | None:
        """Return the host of the aggregator of this daemon, or None if it is one itself."""

    def members(self) -> frozenset[Member]:
        """Return all aggregators that are not about to stop, or all if every one is."""

    def send_message(self, host: str, message: PermitRequest | PermitReply) -> None:
        """Send a datagram; it may get lost."""


@dataclass(frozen=True, slots=True)
class Permit:
    """The answer to a request to send: one request to one endpoint from a time on.

    Without a grant, ``send_at`` is when it is worth asking again.
    """

    endpoint: str
    granted: bool
    send_at: float

    def is_valid(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        since = now - self.send_at
        return self.granted and -_TIMER_TOLERANCE_SECONDS <= since <= _VALIDITY_SECONDS


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    endpoint: str
    on_decided: Callable[[Permit], None]
    timer: Timer


class PermitBroker:
    """Obtain permits from the owners of endpoints, and grant those for endpoints owned here.

    Aggregators own endpoints; members of a group ask their aggregator, which passes requests on.
    """

    def __init__(
        self,
        loop: Timers,
        transport: PermitTransport,
        rate_limit: Callable[[str], float | None],
        first_number: int,
    ) -> None:
        self.granted_count = 0
        self._loop = loop
        self._transport = transport
        self._rate_limit = rate_limit
        self._owners = OwnerSelector(transport.own_host)
        self._schedule_by_endpoint: dict[str, SendSchedule] = {}
        self._pending_by_number: dict[int, _PendingRequest] = {}
        # Differs between restarts, so that a reply to the process before matches no request.
        self._last_number = first_number % _REQUEST_NUMBERS

    def members_changed(self) -> None:
        """Follow the aggregators that are alive; call often enough to notice each change."""
        self._owners.set_members(self._transport.members(), self._loop.now())

    def request(
        self, endpoint: str, rate: float, max_wait: float, on_decided: Callable[[Permit], None]
    ) -> None:
        """Ask for a permit to send within ``max_wait`` seconds; the answer may come at once."""
        own_host = self._transport.own_host
        host = self._next_host(endpoint)
        if host == own_host:
            on_decided(self._permit(endpoint, self._reserve(endpoint, rate, max_wait)))
            return
        number = self._last_number = (self._last_number + 1) % _REQUEST_NUMBERS
        timer = self._loop.call_later(_REPLY_TIMEOUT_SECONDS, lambda: self._timed_out(number))
        self._pending_by_number[number] = _PendingRequest(endpoint, on_decided, timer)
        message = PermitRequest(number, own_host, endpoint, rate, max_wait)
        self._transport.send_message(host, message)

    def handle_request(self, message: PermitRequest) -> None:
        """Grant or refuse a permit, or pass the request on to the owner once."""
        host = self._next_host(message.endpoint)
        if host == self._transport.own_host:
            slot = self._reserve(message.endpoint, message.rate, message.max_wait)
        elif not message.relayed:
            self._transport.send_message(host, replace(message, relayed=True))
            return
        else:
            # The members that the sender knows differ from those known here.
            slot = SendSlot(False, _RETRY_SECONDS)
        reply = PermitReply(message.number, slot.granted, slot.wait)
        self._transport.send_message(message.reply_host, reply)

    def handle_reply(self, message: PermitReply) -> None:
        """Complete a request; replies that come after the timeout are ignored."""
        pending = self._pending_by_number.get(message.number)
        # A suspended daemon reads the reply before the timer of the timeout runs.
        if pending is None or self._loop.now() > pending.timer.when:
            return
        del self._pending_by_number[message.number]
        pending.timer.cancel()
        slot = SendSlot(message.granted, message.wait)
        pending.on_decided(self._permit(pending.endpoint, slot))

    def _next_host(self, endpoint: str) -> str:
        aggregator = self._transport.report_target
        if aggregator is not None:
            return aggregator
        self.members_changed()
        return self._owners.owner(endpoint)

    def _reserve(self, endpoint: str, rate: float, max_wait: float) -> SendSlot:
        now = self._loop.now()
        unsettled = self._owners.seconds_until_settled(endpoint, now)
        if unsettled > 0:
            return SendSlot(False, unsettled)
        known_rate = self._rate_limit(endpoint)
        if known_rate is not None:
            rate = min(rate, known_rate)
        schedule = self._schedule_by_endpoint.get(endpoint)
        if schedule is None:
            self._drop_idle(now)
            schedule = self._schedule_by_endpoint[endpoint] = SendSchedule(rate, now)
        slot = schedule.reserve(rate, min(max_wait, MAX_WAIT_SECONDS), now)
        self.granted_count += slot.granted
        return slot

    def _drop_idle(self, now: float) -> None:
        schedules = self._schedule_by_endpoint
        for endpoint in [each for each, schedule in schedules.items() if schedule.is_idle(now)]:
            del schedules[endpoint]

    def _permit(self, endpoint: str, slot: SendSlot) -> Permit:
        return Permit(endpoint, slot.granted, self._loop.now() + slot.wait)

    def _timed_out(self, number: int) -> None:
        pending = self._pending_by_number.pop(number)
        pending.on_decided(self._permit(pending.endpoint, SendSlot(False, _RETRY_SECONDS)))
