"""Lend slices of an organisation's limits to daemons: one lender an organisation, short terms."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from brassdrum.admission.limits import Allowance

__all__ = ["BorrowerDemand", "Census", "Grant", "Lender", "lender_of", "static_slice", "water_fill"]

_HEADROOM = 1.25
_RESERVE = 0.02
_NEWCOMERS_PART = 0.03


def _weight(organisation: str, daemon: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{organisation}\0{daemon}".encode())


def lender_of(organisation: str, daemons: Sequence[str]) -> str | None:
    """Return the daemon that lends an organisation's limits, by rendezvous hashing."""
    return max(
        daemons,
        key=lambda daemon: (_weight(organisation, daemon), daemon),
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
class Census:
    """Tell which daemons are heard and which are known of, heard or not."""

    live: Sequence[str]
    known: Sequence[str]

    @property
    def part_heard(self) -> float:
        """Return the part of the known daemons that is heard, above 0."""
        known = {*self.known, *self.live}
        return len(set(self.live)) / len(known) if known else 1.0


@dataclass(frozen=True, slots=True)
class BorrowerDemand:
    """Tell what one daemon's callers ask for."""

    requests_per_second: float
    tokens_per_second: float
    concurrency: int


@dataclass(frozen=True, slots=True)
class Grant:
    """Hold what was lent to a daemon until a time."""

    allowance: Allowance
    expires: float

    def lapsed(self, static: Allowance) -> Allowance:
        """Return what a daemon may use while no lender renews: never more than it was lent.

        All daemons together then stay within the limits, whoever else fell back already.
        """
        return Allowance(
            min(self.allowance.requests_per_second, static.requests_per_second),
            min(self.allowance.tokens_per_second, static.tokens_per_second),
            min(self.allowance.concurrency, static.concurrency),
        )


def water_fill(limit: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Share a limit: small demands are met, larger ones get equal parts of what is left.

    Half of what nobody asks for is shared too, by demand; the other half waits for newcomers.
    """
    shares: dict[str, float] = {}
    left = limit
    ordered = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    for position, (name, demand) in enumerate(ordered):
        share = min(demand, left / (len(ordered) - position))
        shares[name] = share
        left -= share
    if demands and left > 0:
        total = sum(demands.values()) + _RESERVE * len(demands)
        for name, demand in demands.items():
            shares[name] += left / 2 * (demand + _RESERVE) / total
    return shares


def _kept_back(limit: float) -> int:
    """Return what serves a daemon that comes new while the others hold their slices."""
    return math.floor(limit * _NEWCOMERS_PART)


def _lendable(limits: Allowance) -> Allowance:
    """Return what may be lent to daemons that are known already.

    Without it static slices of the first term take up the whole limit, and a daemon that comes
    within the next term gets nothing for up to that term: it refuses all its callers.
    """
    return Allowance(
        limits.requests_per_second - _kept_back(limits.requests_per_second),
        limits.tokens_per_second - _kept_back(limits.tokens_per_second),
        limits.concurrency - _kept_back(limits.concurrency),
    )


class Lender:
    """Decide one organisation's slices; what is lent never adds up to more than the limits."""

    def __init__(self, limits: Allowance, term_seconds: float, started: float) -> None:
        self._limits = limits
        self._term = term_seconds
        self._started = started
        self._demands_by_daemon: dict[str, tuple[float, BorrowerDemand]] = {}
        self._grants_by_daemon: dict[str, Grant] = {}

    def set_limits(self, limits: Allowance) -> None:
        """Change the limits that are lent from now on."""
        self._limits = limits

    def lend(self, daemon: str, demand: BorrowerDemand, census: Census, now: float) -> Grant:
        """Return the slice of a daemon for one term.

        In its first term a lender does not know what the one before it lent, and grants no more
        than static slices. While some known daemons are not heard, their part is kept back: they
        may be on the other side of a partition, with a lender of their own.
        """
        self._forget(now)
        self._demands_by_daemon[daemon] = (now, demand)
        if now - self._started < self._term:
            slice_ = self._first_slice(daemon, census)
        else:
            slice_ = self._allocate(daemon, self._limits.scaled(census.part_heard))
        grant = Grant(slice_, now + self._term)
        self._grants_by_daemon[daemon] = grant
        return grant

    def _first_slice(self, daemon: str, census: Census) -> Allowance:
        part = static_slice(_lendable(self._limits), daemon, census.known)
        running = sum(
            demand.concurrency
            for name, (_, demand) in self._demands_by_daemon.items()
            if name != daemon
        )
        # What runs on others under slices of the lender before still counts.
        room = max(0, self._limits.concurrency - running)
        return Allowance(
            part.requests_per_second, part.tokens_per_second, min(part.concurrency, room)
        )

    def _forget(self, now: float) -> None:
        for name, (at, _) in list(self._demands_by_daemon.items()):
            if now - at > 2 * self._term:
                del self._demands_by_daemon[name]
        for name, grant in list(self._grants_by_daemon.items()):
            if grant.expires <= now:
                del self._grants_by_daemon[name]

    def _allocate(self, daemon: str, limits: Allowance) -> Allowance:
        demands = {name: demand for name, (_, demand) in self._demands_by_daemon.items()}
        requests = self._share(
            daemon,
            limits.requests_per_second,
            {name: demand.requests_per_second * _HEADROOM for name, demand in demands.items()},
            {name: g.allowance.requests_per_second for name, g in self._grants_by_daemon.items()},
        )
        tokens = self._share(
            daemon,
            limits.tokens_per_second,
            {name: demand.tokens_per_second * _HEADROOM for name, demand in demands.items()},
            {name: g.allowance.tokens_per_second for name, g in self._grants_by_daemon.items()},
        )
        held = {
            name: max(grant.allowance.concurrency, self._running(name))
            for name, grant in self._grants_by_daemon.items()
        }
        concurrency = self._share(
            daemon,
            limits.concurrency,
            {name: float(demand.concurrency + 1) for name, demand in demands.items()},
            held,
        )
        return Allowance(requests, tokens, max(0, math.floor(concurrency + 1e-9)))

    def _running(self, daemon: str) -> int:
        known = self._demands_by_daemon.get(daemon)
        return 0 if known is None else known[1].concurrency

    @staticmethod
    def _share(
        daemon: str, limit: float, demands: Mapping[str, float], granted: Mapping[str, float]
    ) -> float:
        # What is kept back serves a daemon that comes new while the others hold their slices.
        lendable = limit - _kept_back(limit)
        target = water_fill(lendable, demands)[daemon]
        others = sum(amount for name, amount in granted.items() if name != daemon)
        room = lendable if daemon in granted else limit
        return max(0.0, min(target, room - others))
