"""Decide which endpoints may get a request of this daemon now, by what they ask for."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from brassdrum.gateway.model import EndpointEntry
from brassdrum.gateway.net.loop import Timers
from brassdrum.gateway.throttling.permits import Permit, PermitBroker
from brassdrum.gateway.throttling.rates import EndpointRates
from brassdrum.gateway.throttling.signals import EndpointSignalTable
from brassdrum.gateway.throttling.trials import PauseTrials

__all__ = ["EndpointOpening", "EndpointThrottle"]

_MAX_REMEMBERED_ASKS = 1024


@dataclass(frozen=True, slots=True)
class EndpointOpening:
    """The endpoint that is expected to take a request first, and in how many seconds.

    With ``needs_permit`` a permit can be asked for now, and one for a send time can be booked if
    the endpoint ``limits_rate``. ``first_event_ms`` is the predicted time from the opening to the
    first event.
    """

    endpoint: str
    seconds: float
    needs_permit: bool
    limits_rate: bool
    first_event_ms: float = 0.0


class EndpointThrottle:
    """Keep requests from endpoints that have no room for them.

    An endpoint that asked for a pause is closed until its end. Then one request tries it, and it
    opens for others once that one is answered. An endpoint that limits its rate needs a permit for
    each request: it is open until a permit is refused, and again from the time that the refusal
    names.
    """

    def __init__(
        self,
        loop: Timers,
        signals: EndpointSignalTable,
        broker: PermitBroker,
        rates: EndpointRates | None = None,
    ) -> None:
        self._loop = loop
        self._signals = signals
        self._rates = rates or EndpointRates(loop.now, signals)
        self._broker = broker
        self._refused_until_by_endpoint: dict[str, float] = {}
        self._asked_at_by_endpoint: dict[str, float] = {}
        self._trials = PauseTrials(loop)
        signals.set_pause_observer(self._pause_answered)

    def limits_rate(self, endpoint: str) -> bool:
        """Return whether an endpoint takes so many requests a second from all daemons together."""
        return self._rates.limit(endpoint) is not None

    def needs_permit(self, endpoint: str) -> bool:
        """Return whether a request to an endpoint needs a permit, from its owner or for a trial."""
        return self.limits_rate(endpoint) or self._is_reopening(endpoint)

    def asked_at(self, endpoint: str) -> float:
        """Return when a permit for an endpoint was last asked for here."""
        return self._asked_at_by_endpoint.get(endpoint, -math.inf)

    def is_paused(self, endpoint: str) -> bool:
        """Return whether an endpoint has asked this daemon for a pause that lasts."""
        return self._loop.now() < self._signals.paused_until(endpoint)

    def open_entries(
        self, entries: Sequence[EndpointEntry], permit: Permit | None = None
    ) -> list[EndpointEntry]:
        """Return the endpoints that may take a request.

        With a valid permit these are its endpoint and those that need none.
        """
        if self._rates.is_empty:
            return list(entries)
        now = self._loop.now()
        if permit is None or not permit.is_valid(now):
            return [entry for entry in entries if self._closed_until(entry.id) <= now]
        return [
            entry
            for entry in self.unpaused_entries(entries)
            if entry.id == permit.endpoint or not self.needs_permit(entry.id)
        ]

    def unpaused_entries(self, entries: Sequence[EndpointEntry]) -> list[EndpointEntry]:
        """Return the endpoints that have not asked for a pause, whatever limits they name."""
        return [entry for entry in entries if not self.is_paused(entry.id)]

    def next_opening(self, entries: Sequence[EndpointEntry]) -> EndpointOpening | None:
        """Return the endpoint that opens first, or None if there is none or one is open."""
        now = self._loop.now()
        if not entries or self.open_entries(entries):
            return None
        first = min(entries, key=lambda entry: self._expected_opening(entry.id))
        seconds = max(0.0, self._expected_opening(first.id) - now)
        if self.is_paused(first.id):
            return EndpointOpening(first.id, seconds, needs_permit=False, limits_rate=False)
        limits_rate = self.limits_rate(first.id)
        return EndpointOpening(first.id, seconds, self.needs_permit(first.id), limits_rate)

    def request_permit(
        self, endpoint: str, max_wait: float, on_decided: Callable[[Permit], None]
    ) -> None:
        """Ask for a permit within ``max_wait`` seconds; the endpoint stays closed if refused."""
        rate = self._rates.limit(endpoint)
        if rate is None:
            self._request_trial(endpoint, on_decided)
            return

        def decided(permit: Permit) -> None:
            if not permit.granted:
                self._record_refusal(endpoint, permit.send_at)
            on_decided(permit)

        withheld = self._rates.withheld_seconds(endpoint)
        if withheld > 0:
            decided(Permit(endpoint, False, self._loop.now() + withheld))
            return
        self._record_ask(endpoint)
        max_wait = min(max_wait, self._rates.max_wait(endpoint))
        self._broker.request(endpoint, rate, max_wait, decided)

    def _is_reopening(self, endpoint: str) -> bool:
        return self._signals.is_reopening(endpoint, self._loop.now())

    def _pause_answered(self, endpoint: str) -> None:
        paused_until = self._signals.paused_until(endpoint)
        if paused_until == -math.inf:
            self._trials.pause_ended(endpoint)
        else:
            self._trials.rejected(endpoint, paused_until)

    def _request_trial(self, endpoint: str, on_decided: Callable[[Permit], None]) -> None:
        """Permit a request, or refuse it: once the present trial is over, or while a pause lasts.

        Those refused after a trial look at once whether to wait on, so that none waits in vain.
        """

        def decide(*, granted: bool) -> None:
            on_decided(Permit(endpoint, granted, self._loop.now()))

        if self.is_paused(endpoint):
            on_decided(Permit(endpoint, False, self._signals.paused_until(endpoint)))
        elif not self._is_reopening(endpoint) or self._trials.begin(endpoint):
            decide(granted=True)
        else:
            self._trials.when_over(endpoint, lambda: decide(granted=False))

    def _closed_until(self, endpoint: str) -> float:
        paused_until = self._signals.paused_until(endpoint)
        if not self.limits_rate(endpoint):
            return max(paused_until, self._trials.tried_until(endpoint))
        return max(paused_until, self._refused_until_by_endpoint.get(endpoint, paused_until))

    def _expected_opening(self, endpoint: str) -> float:
        """Return when an endpoint is expected to open: at once while a trial awaits its answer."""
        if self._trials.awaits_answer(endpoint) and not self.is_paused(endpoint):
            return self._loop.now()
        return self._closed_until(endpoint)

    def _record_ask(self, endpoint: str) -> None:
        # In the order of time, so that the oldest are dropped first.
        asked = self._asked_at_by_endpoint
        asked.pop(endpoint, None)
        asked[endpoint] = self._loop.now()
        while len(asked) > _MAX_REMEMBERED_ASKS:
            del asked[next(iter(asked))]

    def _record_refusal(self, endpoint: str, until: float) -> None:
        now = self._loop.now()
        refused = self._refused_until_by_endpoint
        for expired in [each for each, opens_at in refused.items() if opens_at <= now]:
            del refused[expired]
        refused[endpoint] = until
