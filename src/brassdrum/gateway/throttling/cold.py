"""Hold until when endpoints are cold, as the list, they or other daemons said; does no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

__all__ = ["LIST_MARGIN_SECONDS", "ColdNotice", "ColdTable", "notices_to_send"]

# The list and messages of peers are some ms old on arrival, and an end that is too early breaks the
# bound.
LIST_MARGIN_SECONDS = 0.3
# An entry of the list is up to 1.2 s old, so an end that is this much later is news: the endpoint
# has become cold again.
_LIST_NEWS_SECONDS = 1.5
# The same for what endpoints and peers say, which is delayed by the network alone.
_NEWS_SECONDS = 0.2
# Bounds the effect of a wrong value.
_MAX_COLD_SECONDS = 3600.0
# How long changes are repeated in each message; heartbeats carry all.
_REPEAT_SECONDS = 0.5
# A member of a group, its aggregator, another aggregator and the members of that one.
_MAX_HOPS = 3
_MAX_NOTICES = 64


@dataclass(frozen=True, slots=True)
class ColdNotice:
    """Tell peers that the endpoint with a 4-byte key stays cold for ``left`` seconds.

    ``hops`` counts the daemons that passed it on; ``recent`` says that it has just changed.
    """

    key: int
    left: float
    hops: int = 0
    recent: bool = field(default=False, compare=False)


def notices_to_send(notices: Iterable[ColdNotice], *, heartbeat: bool) -> tuple[ColdNotice, ...]:
    """Return the notices that a message carries: all in a heartbeat, else recent ones."""
    sent = [each for each in notices if heartbeat or each.recent]
    return tuple(sorted(sent, key=lambda each: -each.left)[:_MAX_NOTICES])


@dataclass(frozen=True, slots=True)
class _ColdState:
    """``hops`` is None where every daemon learns the end from the list."""

    until: float
    changed_at: float
    hops: int | None
    withheld_until: float = 0.0


class ColdTable:
    """Keep the latest known end of each endpoint's cold time, by its id.

    An end never becomes earlier: the list is up to 1.2 s behind, and messages overtake each other.
    """

    def __init__(self) -> None:
        self._state_by_endpoint: dict[str, _ColdState] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no endpoint is known to be or to have been cold."""
        return not self._state_by_endpoint

    def is_cold(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is cold."""
        state = self._state_by_endpoint.get(endpoint)
        return state is not None and now < state.until

    def withhold(self, endpoint: str, until: float) -> None:
        """Let nothing be sent to a cold endpoint before a time."""
        state = self._state_by_endpoint[endpoint]
        self._state_by_endpoint[endpoint] = replace(state, withheld_until=until)

    def withheld_seconds(self, endpoint: str, now: float) -> float:
        """Return for how long nothing may be sent to an endpoint."""
        state = self._state_by_endpoint.get(endpoint)
        return 0.0 if state is None else max(0.0, state.withheld_until - now)

    def seconds_left_by_endpoint(self, now: float) -> dict[str, float]:
        """Return for how long each cold endpoint stays cold."""
        states = self._state_by_endpoint.items()
        return {each: state.until - now for each, state in states if now < state.until}

    def record_response(self, endpoint: str, left: float, now: float) -> bool:
        """Record what an endpoint said; return whether it was not known to be cold."""
        if left <= 0:
            return False
        return self._extend(endpoint, now + left, now, _NEWS_SECONDS, 0)

    def record_list(
        self, endpoint: str, left: float, read_at: float, now: float, *, joined: bool
    ) -> bool:
        """Record what the list that was read at a time shows; return whether it is news.

        Peers read the entry of an endpoint that ``joined`` themselves.
        """
        if left <= 0:
            return False
        until = read_at + left + LIST_MARGIN_SECONDS
        return self._extend(endpoint, until, now, _LIST_NEWS_SECONDS, None if joined else 0)

    def apply_notice(self, endpoint: str, notice: ColdNotice, now: float) -> bool:
        """Apply a peer's notice; return whether the endpoint was not known to be cold.

        One that is no news is not passed on, so that an echo makes no end later.
        """
        hops = notice.hops + 1
        return self._extend(endpoint, now + notice.left, now, _NEWS_SECONDS, hops)

    def notices(self, key_by_endpoint: dict[str, int], now: float) -> list[ColdNotice]:
        """Return what is sent to peers."""
        return [
            ColdNotice(
                key_by_endpoint[endpoint],
                state.until - now,
                state.hops,
                now - state.changed_at < _REPEAT_SECONDS,
            )
            for endpoint, state in self._state_by_endpoint.items()
            if state.hops is not None
            and state.hops < _MAX_HOPS
            and now < state.until
            and endpoint in key_by_endpoint
        ]

    def take_warm(self, now: float) -> list[str]:
        """Forget and return the endpoints whose cold time is over."""
        states = self._state_by_endpoint
        warm = [endpoint for endpoint, state in states.items() if state.until <= now]
        for endpoint in warm:
            del states[endpoint]
        return warm

    def next_end(self) -> float:
        """Return when the first cold endpoint becomes warm, infinity without one."""
        return min((each.until for each in self._state_by_endpoint.values()), default=math.inf)

    def _extend(
        self, endpoint: str, until: float, now: float, tolerance: float, hops: int | None
    ) -> bool:
        """Take a later end; return whether the endpoint has become cold by it.

        A later end within the tolerance is that of the same cold time, which peers know.
        """
        until = min(until, now + _MAX_COLD_SECONDS)
        known = self._state_by_endpoint.get(endpoint)
        if until <= now or (known is not None and until <= known.until):
            return False
        if known is None:
            self._state_by_endpoint[endpoint] = _ColdState(until, now, hops)
            return True
        if until > known.until + tolerance:
            state = replace(known, until=until, changed_at=now, hops=hops)
            self._state_by_endpoint[endpoint] = state
            return known.until <= now
        if hops in (0, None):
            # Not from peers: they would extend an end that they pass back and forth by each delay.
            self._state_by_endpoint[endpoint] = replace(known, until=until)
        return False
