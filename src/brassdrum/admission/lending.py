"""Lend slices of an organisation's limits to daemons: one lender an organisation, short terms."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import xxhash

from brassdrum.admission.limits import Allowance, TokenBucket
from brassdrum.admission.shares import (
    CONCURRENCY_HEADROOM,
    LimitState,
    concurrency_share,
    first_term_share,
    rate_share,
)

__all__ = ["BorrowerDemand", "Grant", "Lender", "MembershipView", "lender_of", "static_slice"]

# Rates are lent with a quarter more than was asked for lately, for what comes before the renewal.
_RATE_HEADROOM_FACTOR = 1.25


def _rendezvous_weight(organisation: str, daemon: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{organisation}\0{daemon}".encode())


def lender_of(organisation: str, daemons: Sequence[str]) -> str | None:
    """Return the daemon that lends an organisation's limits, by rendezvous hashing."""
    return max(
        daemons,
        key=lambda daemon: (_rendezvous_weight(organisation, daemon), daemon),
        default=None,
    )


def static_slice(limits: Allowance, daemon: str, daemons: Sequence[str]) -> Allowance:
    """Return the part that a daemon may use when it cannot reach the lender."""
    ordered = sorted({*daemons, daemon})
    part = limits.scaled(1.0 / len(ordered))
    spare = limits.concurrency - part.concurrency * len(ordered)
    extra = 1 if ordered.index(daemon) < spare else 0
    return Allowance(part.requests_per_second, part.tokens_per_second, part.concurrency + extra)


@dataclass(frozen=True, slots=True)
class MembershipView:
    """Tell which daemons are heard and which are known of, heard or not."""

    live: Sequence[str]
    known: Sequence[str]

    @property
    def live_fraction(self) -> float:
        """Return the part of the known daemons that is heard, above 0."""
        known = {*self.known, *self.live}
        return len(set(self.live)) / len(known) if known else 1.0

    @property
    def unreachable(self) -> set[str]:
        """Return the known daemons that are not heard."""
        return set(self.known) - set(self.live)


@dataclass(frozen=True, slots=True)
class BorrowerDemand:
    """Tell what one daemon's callers ask for and how many of their requests run there.

    ``concurrency`` counts refused callers too, so it is no measure of what runs.
    """

    requests_per_second: float
    tokens_per_second: float
    concurrency: int
    running: int | None = None

    def in_use(self, held: float | None) -> int:
        """Return how many places are in use at most by a daemon that held some until now.

        Where ``running`` is not told, all that callers want counts, up to what the daemon held.
        """
        if self.running is not None:
            return self.running
        return self.concurrency if held is None else min(self.concurrency, math.floor(held))


@dataclass(frozen=True, slots=True)
class Grant:
    """Hold what was lent to a daemon until a time, and the unused burst that comes with it."""

    allowance: Allowance
    expires: float
    burst_requests: float = 0.0
    burst_tokens: float = 0.0

    def fallback_allowance(self, static: Allowance) -> Allowance:
        """Return what a daemon may use while no lender renews: never more than it was lent.

        All daemons together then stay within the limits, whoever else fell back already.
        """
        return Allowance(
            min(self.allowance.requests_per_second, static.requests_per_second),
            min(self.allowance.tokens_per_second, static.tokens_per_second),
            min(self.allowance.concurrency, static.concurrency),
        )


@dataclass(frozen=True, slots=True)
class _LimitKind:
    """Read one limit from allowances and demands."""

    granted: Callable[[Allowance], float]
    requested: Callable[[BorrowerDemand], float]


_REQUESTS = _LimitKind(
    lambda allowance: allowance.requests_per_second,
    lambda demand: demand.requests_per_second * _RATE_HEADROOM_FACTOR,
)
_TOKENS = _LimitKind(
    lambda allowance: allowance.tokens_per_second,
    lambda demand: demand.tokens_per_second * _RATE_HEADROOM_FACTOR,
)
_CONCURRENCY = _LimitKind(
    lambda allowance: allowance.concurrency,
    lambda demand: demand.concurrency + CONCURRENCY_HEADROOM,
)


class Lender:
    """Decide one organisation's slices; what is lent never adds up to more than the limits."""

    def __init__(self, limits: Allowance, term_seconds: float, started: float) -> None:
        self._limits = limits
        self._term_seconds = term_seconds
        self._started_at = started
        self._demands_by_daemon: dict[str, tuple[float, BorrowerDemand]] = {}
        self._grants_by_daemon: dict[str, Grant] = {}
        self._in_use_by_daemon: dict[str, int] = {}
        # What was used before this lender began is not known: nothing unused is lent at first.
        self._unallocated_requests = TokenBucket(limits.requests_per_second, started)
        self._unallocated_requests.empty(started)
        self._unallocated_tokens = TokenBucket(limits.tokens_per_second, started)
        self._unallocated_tokens.empty(started)

    def set_limits(self, limits: Allowance) -> None:
        """Change the limits that are lent from now on."""
        self._limits = limits

    def allowances_by_daemon(self, now: float) -> dict[str, Allowance]:
        """Return what is lent now, by daemon."""
        self._expire(now)
        return {name: grant.allowance for name, grant in self._grants_by_daemon.items()}

    def lend(
        self, daemon: str, demand: BorrowerDemand, census: MembershipView, now: float
    ) -> Grant:
        """Return the slice of a daemon for one term.

        In its first term a lender does not know what the one before it lent, and grants no more
        than static slices. While some known daemons are not heard, their part is kept back: they
        may be on the other side of a partition, with a lender of their own.
        """
        self._expire(now)
        self._update_unallocated(now)
        self._record_demand(daemon, demand, now)
        slice_ = self._allocate(daemon, census)
        if now - self._started_at < self._term_seconds:
            slice_ = self._first_term_slice(daemon, slice_, census)
        self._grants_by_daemon[daemon] = Grant(slice_, now + self._term_seconds)
        requests, tokens = self._update_unallocated(now)
        grant = Grant(slice_, now + self._term_seconds, requests, tokens)
        self._grants_by_daemon[daemon] = grant
        return grant

    def return_slice(self, daemon: str) -> None:
        """Take a slice back from a daemon that uses nothing any more."""
        self._demands_by_daemon.pop(daemon, None)
        self._in_use_by_daemon.pop(daemon, None)
        self._grants_by_daemon.pop(daemon, None)

    def _update_unallocated(self, now: float) -> tuple[float, float]:
        """Let what is not lent fill up; return the unused burst of what was lent since last time.

        A rate that moves takes its burst along, so that all daemons together give no more than the
        limit and one burst; without it a newcomer refused 114 of 200 callers by a rate of 1000 a
        second of which nothing was used.
        """
        lent = [grant.allowance for grant in self._grants_by_daemon.values()]
        requests = self._limits.requests_per_second - sum(each.requests_per_second for each in lent)
        tokens = self._limits.tokens_per_second - sum(each.tokens_per_second for each in lent)
        return (
            self._unallocated_requests.set_rate(max(0.0, requests), now),
            self._unallocated_tokens.set_rate(max(0.0, tokens), now),
        )

    def _record_demand(self, daemon: str, demand: BorrowerDemand, now: float) -> None:
        held = self._held(daemon, _CONCURRENCY) if daemon in self._grants_by_daemon else None
        self._in_use_by_daemon[daemon] = demand.in_use(held)
        self._demands_by_daemon[daemon] = (now, demand)

    def _first_term_slice(self, daemon: str, most: Allowance, census: MembershipView) -> Allowance:
        """Return a static slice, less where the daemon asks for less, and at most ``most``."""
        static = static_slice(self._limits, daemon, census.known)
        _, demand = self._demands_by_daemon[daemon]
        requests = first_term_share(static.requests_per_second, _REQUESTS.requested(demand))
        tokens = first_term_share(static.tokens_per_second, _TOKENS.requested(demand))
        places = first_term_share(static.concurrency, demand.concurrency)
        return Allowance(
            min(requests, most.requests_per_second),
            min(tokens, most.tokens_per_second),
            min(math.ceil(places), most.concurrency),
        )

    def _allocate(self, daemon: str, census: MembershipView) -> Allowance:
        unheard = census.unreachable - {daemon}
        heard_demands = {
            name: demand
            for name, (_, demand) in self._demands_by_daemon.items()
            if name not in unheard
        }
        others = [name for name in self._grants_by_daemon if name != daemon]
        unheard_others = [name for name in others if name in unheard]
        live_fraction = census.live_fraction

        def state(resource: _LimitKind) -> LimitState:
            return LimitState(
                limit=resource.granted(self._limits),
                live_fraction=live_fraction,
                demands={name: resource.requested(each) for name, each in heard_demands.items()},
                held_by_others=sum(self._held(name, resource) for name in others),
                held_by_unreachable=sum(self._held(name, resource) for name in unheard_others),
            )

        return Allowance(
            rate_share(daemon, state(_REQUESTS)),
            rate_share(daemon, state(_TOKENS)),
            concurrency_share(daemon, state(_CONCURRENCY)),
        )

    def _held(self, daemon: str, resource: _LimitKind) -> float:
        """Return what a daemon may use, or uses still where its slice was cut below that."""
        lent = resource.granted(self._grants_by_daemon[daemon].allowance)
        return max(lent, self._in_use_by_daemon[daemon]) if resource is _CONCURRENCY else lent

    def _expire(self, now: float) -> None:
        for name, (at, _) in list(self._demands_by_daemon.items()):
            if now - at > 2 * self._term_seconds:
                del self._demands_by_daemon[name]
                del self._in_use_by_daemon[name]
        for name, grant in list(self._grants_by_daemon.items()):
            if grant.expires <= now:
                del self._grants_by_daemon[name]
