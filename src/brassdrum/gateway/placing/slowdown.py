"""Learn from the first events of the fleet which endpoints are slow; does no I/O."""

from __future__ import annotations

import math
import statistics
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

__all__ = [
    "MIN_FACTOR",
    "Slowdown",
    "SlowdownReport",
    "SlowdownRow",
    "SlowdownTable",
    "bounded_rows",
]

# An observation counts for this long at the daemon that made it.
_OBSERVATION_SECONDS = 6.0
# Rows of another daemon that are not renewed expire with its load, after 4.5 heartbeats of an
# aggregator; members renew theirs every 0.8 s, so one lost message removes nothing.
_REPORT_SECONDS = 1.8
# Factors are computed at most this often, twice between two reports, since an aggregator sums up
# the rows of all its members.
_REFRESH_SECONDS = 0.2
_MAX_FACTOR = 8.0
# Smaller deviations are common between endpoints of one speed: predictions are that inexact.
MIN_FACTOR = 1.3
_MIN_OBSERVATIONS = 4
_MIN_ENDPOINTS = 3
# Endpoints within this many standard errors of the usual mean are taken for usual ones. Of many
# equal endpoints, some deviate by the factor above with few observations.
_MIN_STANDARD_ERRORS = 4.0
# The median of the square of a standard normal variable.
_MEDIAN_SQUARE = 0.455
_MAX_ROWS = 64
# Sums of logarithms are in hundredths, as on the wire, so that they do not depend on the order.
_UNITS = 100
_MAX_RATIO = 100.0
_MAX_LOG = round(math.log(_MAX_RATIO) * _UNITS)
_MIN_DEVIATION = math.log(MIN_FACTOR) * _UNITS
_MAX_DEVIATION = math.log(_MAX_FACTOR) * _UNITS


@dataclass(frozen=True, slots=True)
class SlowdownRow:
    """Observations of the endpoint with a 4-byte key.

    ``log_sum`` adds up the logarithms of their ratios, in hundredths.
    """

    key: int
    count: int
    log_sum: int

    @property
    def mean(self) -> float:
        """Return the mean logarithm, in hundredths."""
        return self.log_sum / self.count


@dataclass(frozen=True, slots=True)
class SlowdownReport:
    """What a daemon reports of itself or its group, or with ``covers_fleet`` of all daemons.

    Rows that cover the fleet are those of slow endpoints, with logarithms relative to the usual
    one: an aggregator sends them in many copies.
    """

    rows: tuple[SlowdownRow, ...] = ()
    covers_fleet: bool = False


@dataclass(frozen=True, slots=True)
class Slowdown:
    """How many times as slow as usual an endpoint is; ``age`` is that of the newest row in s."""

    factor: float
    observations: int
    age: float


@dataclass(frozen=True, slots=True)
class _Observation:
    at: float
    key: int
    log: int


@dataclass(frozen=True, slots=True)
class _Received:
    at: float
    rows: tuple[SlowdownRow, ...]
    covers_fleet: bool


class SlowdownTable:
    """Compare the first events of each endpoint with those of the others of its service.

    ``service_by_key`` returns the services of the known endpoints; other keys have no factor.
    """

    def __init__(self, service_by_key: Callable[[], Mapping[int, str]]) -> None:
        self._service_by_key = service_by_key
        self._observations: deque[_Observation] = deque()
        self._received_by_publisher: dict[str, _Received] = {}
        self._slowdown_by_key: dict[int, Slowdown] = {}
        self._computed_at = -math.inf

    def record(self, key: int, ratio: float, now: float) -> None:
        """Record the time to a first event over its prediction for an endpoint of usual speed."""
        if not 1 / _MAX_RATIO <= ratio <= _MAX_RATIO:
            return
        self._observations.append(_Observation(now, key, round(math.log(ratio) * _UNITS)))

    def rows(self, now: float) -> tuple[SlowdownRow, ...]:
        """Return the sums of this daemon's observations, for the endpoints that tell the most."""
        return self._limited_rows(self._own_rows(now))

    def merge(
        self,
        publisher: str,
        rows: Iterable[SlowdownRow],
        now: float,
        *,
        covers_fleet: bool = False,
    ) -> None:
        """Replace the rows of another daemon; invalid ones are dropped."""
        valid = tuple(row for row in rows if _is_valid(row))
        self._received_by_publisher[publisher] = _Received(now, valid, covers_fleet)

    def factor(self, key: int, now: float) -> float:
        """Return how many times as slow as usual an endpoint is, from 1 to 8."""
        found = self.slow_by_key(now).get(key)
        return 1.0 if found is None else found.factor

    def slow_by_key(self, now: float) -> Mapping[int, Slowdown]:
        """Return the endpoints whose factor is above 1."""
        if now - self._computed_at >= _REFRESH_SECONDS:
            self._computed_at = now
            self._expire(now)
            self._slowdown_by_key = self._compute(now)
        return self._slowdown_by_key

    def report(
        self, publishers: Iterable[str], now: float, *, covers_fleet: bool
    ) -> SlowdownReport | None:
        """Return the sums over this daemon and others, or None without any.

        Rows without a deviation are reported too: a mean over those that see one would be biased.
        A report that ``covers_fleet`` may be empty: then members do not judge by their own few
        observations.
        """
        self._expire(now)
        received = (self._received_by_publisher.get(each) for each in publishers)
        others = [each for each in received if each is not None and not each.covers_fleet]
        rows = _sum_rows([self._own_rows(now), *(each.rows for each in others)])
        if not rows:
            return None
        if covers_fleet:
            return SlowdownReport(self._slow_rows(rows)[:_MAX_ROWS], covers_fleet=True)
        return SlowdownReport(self._limited_rows(rows))

    def is_empty(self, now: float) -> bool:
        """Return whether no observation counts any more."""
        self._expire(now)
        return not self._observations and not self._received_by_publisher

    def _expire(self, now: float) -> None:
        while self._observations and self._observations[0].at < now - _OBSERVATION_SECONDS:
            self._observations.popleft()
        received = self._received_by_publisher
        for each in [name for name in received if received[name].at < now - _REPORT_SECONDS]:
            del received[each]

    def _own_rows(self, now: float) -> tuple[SlowdownRow, ...]:
        self._expire(now)
        return _sum_rows([[SlowdownRow(each.key, 1, each.log) for each in self._observations]])

    def _compute(self, now: float) -> dict[int, Slowdown]:
        received = self._received_by_publisher.values()
        fleet = [each for each in received if each.covers_fleet]
        if fleet:
            # These include the rows of this daemon and of all others.
            newest = max(fleet, key=lambda each: each.at)
            known = self._service_by_key()
            sources = [(newest.at, newest.rows)]
            slow = [row for row in newest.rows if row.key in known]
        else:
            sources = [(each.at, each.rows) for each in received]
            sources += [
                (each.at, (SlowdownRow(each.key, 1, each.log),)) for each in self._observations
            ]
            slow = self._slow_rows(_sum_rows(rows for _, rows in sources))
        heard_at: dict[int, float] = {}
        for at, rows in sources:
            for row in rows:
                heard_at[row.key] = max(at, heard_at.get(row.key, at))
        return {
            row.key: Slowdown(_factor(row.mean), row.count, now - heard_at[row.key])
            for row in slow
            if row.mean >= _MIN_DEVIATION
        }

    def _slow_rows(self, rows: Iterable[SlowdownRow]) -> tuple[SlowdownRow, ...]:
        """Return the rows of slow endpoints, relative to the median of each service.

        The scatter of single observations is estimated from that of the endpoints' means.
        """
        slow = []
        for members in self._by_service(rows).values():
            if len(members) < _MIN_ENDPOINTS:
                continue
            usual = statistics.median(row.mean for row in members)
            squares = (row.count * (row.mean - usual) ** 2 for row in members)
            variance = statistics.median(squares) / _MEDIAN_SQUARE
            for row in members:
                deviation = row.mean - usual
                chance = _MIN_STANDARD_ERRORS * math.sqrt(variance / row.count)
                if row.count >= _MIN_OBSERVATIONS and deviation >= max(_MIN_DEVIATION, chance):
                    relative = math.ceil(min(deviation, _MAX_DEVIATION) * row.count)
                    slow.append(SlowdownRow(row.key, row.count, relative))
        return tuple(sorted(slow, key=lambda row: (-row.mean, row.key)))

    def _limited_rows(self, rows: tuple[SlowdownRow, ...]) -> tuple[SlowdownRow, ...]:
        """Return at most 64 rows: half of them the slowest, half of them the most usual ones.

        Their median is close to that of all rows. The slowest are those whose deviation is the
        least likely by chance, so that single outliers do not displace them.
        """
        if len(rows) <= _MAX_ROWS:
            return rows
        deviations = []
        for members in self._by_service(rows).values():
            usual = statistics.median(row.mean for row in members)
            deviations += [
                ((row.mean - usual) * math.sqrt(row.count), row.key, row) for row in members
            ]
        deviations.sort(reverse=True)
        slowest = deviations[: _MAX_ROWS // 2]
        rest = sorted(deviations[_MAX_ROWS // 2 :], key=lambda each: (abs(each[0]), each[1]))
        kept = [*slowest, *rest[: _MAX_ROWS // 2]]
        return tuple(sorted((row for _, _, row in kept), key=lambda row: row.key))

    def _by_service(self, rows: Iterable[SlowdownRow]) -> dict[str, list[SlowdownRow]]:
        service_by_key = self._service_by_key()
        found: dict[str, list[SlowdownRow]] = {}
        for row in rows:
            service = service_by_key.get(row.key)
            if service is not None:
                found.setdefault(service, []).append(row)
        return found


def bounded_rows(
    rows: Iterable[SlowdownRow], max_count: int, max_sum: int
) -> tuple[SlowdownRow, ...]:
    """Return rows with the same means whose counts and sums do not exceed a limit."""
    return tuple(_bounded(row, max_count, max_sum) for row in rows)


def _bounded(row: SlowdownRow, max_count: int, max_sum: int) -> SlowdownRow:
    count = min(row.count, max_count)
    if row.log_sum:
        count = min(count, max(1, int(row.count * max_sum / abs(row.log_sum))))
    if count == row.count:
        return row
    return SlowdownRow(row.key, count, round(row.log_sum * count / row.count))


def _factor(mean: float) -> float:
    return min(_MAX_FACTOR, math.exp(mean / _UNITS))


def _is_valid(row: SlowdownRow) -> bool:
    return row.count > 0 and abs(row.log_sum) <= row.count * _MAX_LOG


def _sum_rows(parts: Iterable[Iterable[SlowdownRow]]) -> tuple[SlowdownRow, ...]:
    """Return one row for each key, ordered by key."""
    sums: dict[int, tuple[int, int]] = {}
    for rows in parts:
        for row in rows:
            count, log_sum = sums.get(row.key, (0, 0))
            sums[row.key] = count + row.count, log_sum + row.log_sum
    return tuple(SlowdownRow(key, *sums[key]) for key in sorted(sums))
