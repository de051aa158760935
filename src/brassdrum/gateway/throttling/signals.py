"""Hold what endpoints ask for, as they or other daemons said; does no I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from brassdrum.gateway.model import EndpointSignals
from brassdrum.outcomes.pauses import Pause

__all__ = [
    "EndpointSignalTable",
    "SignalChange",
    "SignalNotice",
    "aged_notices",
    "current_notices",
    "newest_notices",
]

# How long peers are told that an endpoint has taken back what it said.
_WITHDRAWN_NOTICE_SECONDS = 4.0
# How long an endpoint is remembered that is not listed.
_GONE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class SignalNotice:
    """Tell peers what an endpoint said ``age`` seconds ago.

    ``rate_limit`` is in requests per second over all daemons; None says that there is no limit.
    ``draining`` says that the endpoint is about to stop.
    """

    endpoint: str
    rate_limit: float | None
    age: float
    draining: bool = False


def aged_notices(notices: Iterable[SignalNotice], seconds: float) -> list[SignalNotice]:
    """Return the notices as of some seconds later."""
    return [replace(each, age=each.age + seconds) for each in notices]


def newest_notices(notices: Iterable[SignalNotice]) -> tuple[SignalNotice, ...]:
    """Return the newest notice of each endpoint, newest first."""
    by_endpoint: dict[str, SignalNotice] = {}
    for notice in sorted(notices, key=lambda each: (each.age, each.endpoint)):
        by_endpoint.setdefault(notice.endpoint, notice)
    return tuple(by_endpoint.values())


def current_notices(
    reported: tuple[SignalNotice, ...] | None,
    known: tuple[SignalNotice, ...] | None,
    seconds: float,
) -> tuple[SignalNotice, ...]:
    """Return what a peer reported, or what was known some seconds ago if it reports no change."""
    return tuple(aged_notices(known or (), seconds)) if reported is None else reported


@dataclass(frozen=True, slots=True)
class SignalChange:
    """A change of what an endpoint says; limits are in requests per second, None without one."""

    endpoint: str
    limit: float | None
    limit_before: float | None
    draining: bool
    draining_before: bool


@dataclass(frozen=True, slots=True)
class _Statement:
    """``from_peer`` marks what another daemon heard; only that daemon tells others of it."""

    rate_limit: float | None = None
    draining: bool = False
    stated_at: float = -math.inf
    from_peer: bool = False

    @property
    def says_anything(self) -> bool:
        return self.draining or self.rate_limit is not None

    def says_the_same(self, rate_limit: float | None, draining: bool) -> bool:
        return (self.rate_limit, self.draining) == (rate_limit, draining)


_NOTHING_SAID = _Statement()


class EndpointSignalTable:
    """Keep the latest signals of each endpoint, by its id.

    The id is that of one incarnation, so a restarted endpoint starts without any.
    """

    def __init__(self) -> None:
        self._pause_by_endpoint: dict[str, Pause] = {}
        self._gone_at_by_endpoint: dict[str, float] = {}
        self._statement_by_endpoint: dict[str, _Statement] = {}
        self._on_pause_answered: Callable[[str], None] = lambda _: None

    def set_pause_observer(self, on_answered: Callable[[str], None]) -> None:
        """Set the function that is called when a response tells whether a pause goes on."""
        self._on_pause_answered = on_answered

    @property
    def limited_count(self) -> int:
        """Return the number of endpoints that limit their requests."""
        statements = self._statement_by_endpoint.values()
        return sum(1 for each in statements if each.rate_limit is not None)

    @property
    def is_empty(self) -> bool:
        """Return whether no endpoint has asked for anything."""
        return not self._statement_by_endpoint and not self._pause_by_endpoint

    def rate_limit(self, endpoint: str) -> float | None:
        """Return the requests per second that an endpoint takes, or None without a limit."""
        return self._statement(endpoint).rate_limit

    def paused_until(self, endpoint: str) -> float:
        """Return the time at which an endpoint takes requests of this daemon again."""
        pause = self._pause_by_endpoint.get(endpoint)
        return -math.inf if pause is None else pause.until

    def is_reopening(self, endpoint: str, now: float) -> bool:
        """Return whether a pause is over and no later request has shown that it does not go on."""
        pause = self._pause_by_endpoint.get(endpoint)
        return pause is not None and not pause.is_active(now)

    def draining(self) -> set[str]:
        """Return the endpoints that say that they are about to stop."""
        return {name for name, each in self._statement_by_endpoint.items() if each.draining}

    def record(
        self, endpoint: str, signals: EndpointSignals, sent_at: float, now: float
    ) -> SignalChange | None:
        """Record the signals of a response to a request sent at a time; return what changed.

        Responses may overtake each other, so one takes back what an earlier one said only if its
        request was sent after that.
        """
        self._record_pause(endpoint, signals.pause, sent_at, now)
        known = self._statement(endpoint)
        rate_limit, draining = signals.rate_limit, signals.draining
        if sent_at <= known.stated_at:
            rate_limit = known.rate_limit if rate_limit is None else rate_limit
            draining = draining or known.draining
        if not known.says_anything and rate_limit is None and not draining:
            return None
        repeats = signals.draining or signals.rate_limit is not None
        stated_at = now if repeats or sent_at > known.stated_at else known.stated_at
        return self._set(endpoint, _Statement(rate_limit, draining, stated_at))

    def list_shows_ready(self, endpoint: str, now: float) -> SignalChange | None:
        """Record that the list, which had shown an endpoint draining, shows it ready again."""
        known = self._statement(endpoint)
        if not known.draining:
            return None
        return self._set(endpoint, replace(known, draining=False, stated_at=now))

    def notices(self, now: float) -> list[SignalNotice]:
        """Return what endpoints said to this daemon; what peers said they tell themselves."""
        return [
            SignalNotice(endpoint, each.rate_limit, now - each.stated_at, each.draining)
            for endpoint, each in self._statement_by_endpoint.items()
            if not each.from_peer
            and (each.says_anything or now - each.stated_at < _WITHDRAWN_NOTICE_SECONDS)
        ]

    def apply_notice(self, notice: SignalNotice, now: float) -> SignalChange | None:
        """Apply a peer's notice if it is news; return what changed."""
        known = self._statement(notice.endpoint)
        stated_at = now - notice.age
        if known.says_the_same(notice.rate_limit, notice.draining) or stated_at <= known.stated_at:
            return None
        statement = _Statement(notice.rate_limit, notice.draining, stated_at, from_peer=True)
        return self._set(notice.endpoint, statement)

    def retain(self, listed: set[str], now: float) -> None:
        """Forget the endpoints that have not been listed for a while.

        An entry that the store lost and that comes back is the same endpoint still.
        """
        known = self._statement_by_endpoint.keys() | self._pause_by_endpoint.keys()
        self._gone_at_by_endpoint = {
            endpoint: self._gone_at_by_endpoint.get(endpoint, now) for endpoint in known - listed
        }
        for endpoint, gone_at in self._gone_at_by_endpoint.items():
            if now - gone_at > _GONE_SECONDS:
                self._statement_by_endpoint.pop(endpoint, None)
                self._pause_by_endpoint.pop(endpoint, None)

    def _record_pause(self, endpoint: str, pause: float | None, sent_at: float, now: float) -> None:
        """Extend a pause, or end it if a request sent after it was not asked for another one."""
        if pause is not None:
            self._pause_by_endpoint.setdefault(endpoint, Pause()).extend(pause, now)
        elif self.is_reopening(endpoint, sent_at):
            del self._pause_by_endpoint[endpoint]
        else:
            return
        self._on_pause_answered(endpoint)

    def _statement(self, endpoint: str) -> _Statement:
        return self._statement_by_endpoint.get(endpoint, _NOTHING_SAID)

    def _set(self, endpoint: str, statement: _Statement) -> SignalChange | None:
        before = self._statement(endpoint)
        self._statement_by_endpoint[endpoint] = statement
        if before.says_the_same(statement.rate_limit, statement.draining):
            return None
        return SignalChange(
            endpoint, statement.rate_limit, before.rate_limit, statement.draining, before.draining
        )
