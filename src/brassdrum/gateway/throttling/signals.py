"""Hold what endpoints ask for, as they or other daemons said; does no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from brassdrum.gateway.model import EndpointSignals

__all__ = [
    "EndpointSignalTable",
    "LimitChange",
    "RateLimitNotice",
    "aged_notices",
    "current_notices",
    "newest_notices",
]

# How long peers are told that an endpoint has lifted its limit.
_LIFTED_NOTICE_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class RateLimitNotice:
    """Tell peers what an endpoint said ``age`` seconds ago.

    ``rate_limit`` is in requests per second over all daemons; None says that there is no limit.
    """

    endpoint: str
    rate_limit: float | None
    age: float


def aged_notices(notices: Iterable[RateLimitNotice], seconds: float) -> list[RateLimitNotice]:
    """Return the notices as of some seconds later."""
    return [replace(each, age=each.age + seconds) for each in notices]


def newest_notices(notices: Iterable[RateLimitNotice]) -> tuple[RateLimitNotice, ...]:
    """Return the newest notice of each endpoint, newest first."""
    by_endpoint: dict[str, RateLimitNotice] = {}
    for notice in sorted(notices, key=lambda each: (each.age, each.endpoint)):
        by_endpoint.setdefault(notice.endpoint, notice)
    return tuple(by_endpoint.values())


def current_notices(
    told: tuple[RateLimitNotice, ...] | None,
    known: tuple[RateLimitNotice, ...] | None,
    seconds: float,
) -> tuple[RateLimitNotice, ...]:
    """Return what a peer told, or what it told some seconds ago if it leaves that as it was."""
    return tuple(aged_notices(known or (), seconds)) if told is None else told


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A changed rate limit of an endpoint, in requests per second; None is no limit."""

    endpoint: str
    limit: float | None
    before: float | None


@dataclass(frozen=True, slots=True)
class _Statement:
    """``from_peer`` marks what another daemon heard; only that daemon tells others of it."""

    rate_limit: float | None
    stated_at: float
    from_peer: bool = False


class EndpointSignalTable:
    """Keep the latest signals of each endpoint, by its id.

    The id is that of one incarnation, so a restarted endpoint starts without any.
    """

    def __init__(self) -> None:
        self._statement_by_endpoint: dict[str, _Statement] = {}

    @property
    def limited_count(self) -> int:
        """Return the number of endpoints that limit their requests."""
        statements = self._statement_by_endpoint.values()
        return sum(1 for each in statements if each.rate_limit is not None)

    def rate_limit(self, endpoint: str) -> float | None:
        """Return the requests per second that an endpoint takes, or None without a limit."""
        known = self._statement_by_endpoint.get(endpoint)
        return None if known is None else known.rate_limit

    def record(
        self, endpoint: str, signals: EndpointSignals, sent_at: float, now: float
    ) -> LimitChange | None:
        """Record the signals of a response to a request sent at a time; return what changed.

        Responses may overtake each other, so one without a limit counts only if its request was
        sent after the limit was last named.
        """
        known = self._statement_by_endpoint.get(endpoint)
        if signals.rate_limit is None and (known is None or sent_at <= known.stated_at):
            return None
        return self._set(endpoint, _Statement(signals.rate_limit, now))

    def notices(self, now: float) -> list[RateLimitNotice]:
        """Return what endpoints said to this daemon; what peers said they tell themselves."""
        return [
            RateLimitNotice(endpoint, each.rate_limit, now - each.stated_at)
            for endpoint, each in self._statement_by_endpoint.items()
            if not each.from_peer
            and (each.rate_limit is not None or now - each.stated_at < _LIFTED_NOTICE_SECONDS)
        ]

    def apply_notice(self, notice: RateLimitNotice, now: float) -> LimitChange | None:
        """Apply a peer's notice if it is news; return what changed."""
        known = self._statement_by_endpoint.get(notice.endpoint)
        stated_at = now - notice.age
        if known is not None and (
            known.rate_limit == notice.rate_limit or stated_at <= known.stated_at
        ):
            return None
        statement = _Statement(notice.rate_limit, stated_at, from_peer=True)
        return self._set(notice.endpoint, statement)

    def retain(self, endpoints: set[str]) -> None:
        """Forget all endpoints but the given ones."""
        for endpoint in [each for each in self._statement_by_endpoint if each not in endpoints]:
            del self._statement_by_endpoint[endpoint]

    def _set(self, endpoint: str, statement: _Statement) -> LimitChange | None:
        before = self.rate_limit(endpoint)
        self._statement_by_endpoint[endpoint] = statement
        if statement.rate_limit == before:
            return None
        return LimitChange(endpoint, statement.rate_limit, before)
