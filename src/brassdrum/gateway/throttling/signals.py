"""Hold what endpoints ask for; does no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from brassdrum.gateway.model import EndpointSignals

__all__ = ["EndpointSignalTable", "LimitChange"]


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A changed rate limit of an endpoint, in requests per second; None is no limit."""

    endpoint: str
    limit: float | None
    before: float | None


@dataclass(frozen=True, slots=True)
class _Statement:
    rate_limit: float | None
    stated_at: float


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
        before = None if known is None else known.rate_limit
        if signals.rate_limit is None and (known is None or sent_at <= known.stated_at):
            return None
        self._statement_by_endpoint[endpoint] = _Statement(signals.rate_limit, now)
        if signals.rate_limit == before:
            return None
        return LimitChange(endpoint, signals.rate_limit, before)

    def retain(self, endpoints: set[str]) -> None:
        """Forget all endpoints but the given ones."""
        for endpoint in [each for each in self._statement_by_endpoint if each not in endpoints]:
            del self._statement_by_endpoint[endpoint]
