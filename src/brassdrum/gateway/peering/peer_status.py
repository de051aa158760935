"""What daemons tell each other of the configuration and the endpoints, and its wire encoding."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from brassdrum.gateway.following.evacuations import Evacuations
from brassdrum.gateway.following.suspicion import (
    CORROBORATION_SECONDS,
    FailureNotice,
    unexpired_notices,
)
from brassdrum.gateway.peering.wire import DURATION_BYTES, FieldReader, FieldWriter, duration_ms
from brassdrum.gateway.placing.slowdown import SlowdownReport
from brassdrum.gateway.sharing.demand import DemandRow
from brassdrum.gateway.throttling.cold import ColdNotice
from brassdrum.gateway.throttling.signals import SignalNotice, aged_notices
from brassdrum.outcomes.crash_reports import CrashReport, ObservedCrash
from brassdrum.outcomes.fingerprint import CALLER_BITS

__all__ = ["DrainNotice", "PeerStatus", "read_status", "write_status"]

# Encoding of an unknown age; other ages are in ms.
_NO_AGE = 0xFFFFFFFF
_NEVER_SERVED = 0xFFFFFF
_TRAIT_BYTES = 8
# Count in a message that says nothing about signals.
_NOT_TOLD = 0xFF
# One bit for each of the up to 12 endpoint crashes kept per trait of requests.
_BITMASK_BYTES = 2
_CALLERS_BYTES = CALLER_BITS // 8


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """An endpoint was found to be draining ``age`` seconds ago."""

    endpoint: str
    age: float


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Version of a daemon's configuration, and the endpoint failures it observed.

    ``age`` is in seconds, None before the first read of the store. ``reads`` is the number of the
    store read that the configuration is from, ``era`` the era of the store. ``recent_failures``
    names endpoints that recently failed a request for any reason. ``signals`` is what endpoints
    said of themselves, None in messages that leave that as it was. ``evacuations`` is None in
    messages that tell of none. ``cold`` names endpoints that are known to be cold from more than
    the list. ``demand`` is empty while no request waits for a slot, and None in messages that leave
    it as it was; ``keeps_demand`` says that the sender understands these. ``slowdown`` is None in
    messages that leave as it was how slow endpoints are. ``sent_at`` is the time of sending by the
    sender's clock. ``revision`` is that of the list in the store, which rises with each record; it
    orders the lists of an era; messages that do not tell of a change leave it out. Both are None in
    messages of earlier releases.
    """

    version: int
    digest: str
    age: float | None
    reads: int
    failing: tuple[FailureNotice, ...] = ()
    draining: tuple[DrainNotice, ...] = ()
    recent_failures: tuple[str, ...] = ()
    endings: tuple[CrashReport, ...] = ()
    era: int | None = None
    signals: tuple[SignalNotice, ...] | None = ()
    evacuations: Evacuations | None = None
    cold: tuple[ColdNotice, ...] = ()
    demand: tuple[DemandRow, ...] | None = ()
    keeps_demand: bool = False
    slowdown: SlowdownReport | None = None
    sent_at: float | None = None
    revision: int | None = None

    def aged(self, seconds: float) -> PeerStatus:
        """Return what the status says some seconds after it was sent."""
        return replace(
            self,
            age=None if self.age is None else self.age + seconds,
            failing=tuple(unexpired_notices(self.failing, seconds)),
            draining=tuple(replace(each, age=each.age + seconds) for each in self.draining),
            recent_failures=self.recent_failures if seconds < CORROBORATION_SECONDS else (),
            endings=tuple(each.aged(seconds) for each in self.endings),
            signals=None if self.signals is None else tuple(aged_notices(self.signals, seconds)),
            cold=tuple(
                replace(each, left=each.left - seconds) for each in self.cold if each.left > seconds
            ),
        )


def write_status(writer: FieldWriter, status: PeerStatus) -> None:
    """Append a status."""
    # The version is -1 before the first configuration.
    writer.uint(status.version + 1, 6)
    writer.text(status.digest)
    writer.uint(_NO_AGE if status.age is None else round(status.age * 1000), 4)
    writer.uint(status.reads, 4)
    # 0 stands for no era.
    writer.uint(0 if status.era is None else status.era + 1, 4)
    writer.uint(len(status.failing), 2)
    for each in status.failing:
        writer.text(each.endpoint)
        writer.duration(each.left)
        writer.duration(each.span)
    writer.uint(len(status.draining), 2)
    for each in status.draining:
        writer.text(each.endpoint)
        writer.duration(each.age)
    writer.uint(len(status.recent_failures), 1)
    for name in status.recent_failures:
        writer.text(name)
    writer.uint(len(status.endings), 1)
    for ending in status.endings:
        _write_ending(writer, ending)
    _write_signals(writer, status.signals)


def _write_signals(writer: FieldWriter, signals: tuple[SignalNotice, ...] | None) -> None:
    if signals is None:
        writer.uint(_NOT_TOLD, 1)
        return
    writer.uint(len(signals), 1)
    for notice in signals:
        writer.text(notice.endpoint)
        writer.uint(notice.draining, 1)
        writer.rate(notice.rate_limit)
        writer.duration(notice.age)


def _read_signals(reader: FieldReader) -> tuple[SignalNotice, ...] | None:
    count = reader.uint(1)
    if count == _NOT_TOLD:
        return None
    signals = []
    for _ in range(count):
        endpoint, draining = reader.text(), bool(reader.uint(1))
        signals.append(SignalNotice(endpoint, reader.rate(), reader.duration(), draining))
    return tuple(signals)


def _write_ending(writer: FieldWriter, ending: CrashReport) -> None:
    """Append the endpoint crashes at which one trait of requests was in flight."""
    writer.uint(int(ending.trait, 16), _TRAIT_BYTES)
    served_age_ms = (
        _NEVER_SERVED
        if ending.served_age is None
        else min(_NEVER_SERVED - 1, duration_ms(ending.served_age))
    )
    writer.uint(served_age_ms, DURATION_BYTES)
    writer.uint(len(ending.crashes), 1)
    writer.uint(_bitmask(end.soon for end in ending.crashes), _BITMASK_BYTES)
    writer.uint(_bitmask(end.lived for end in ending.crashes), _BITMASK_BYTES)
    for end in ending.crashes:
        writer.uint(end.endpoint, 4)
        writer.duration(end.age)
        writer.uint(end.callers, _CALLERS_BYTES)


def _bitmask(values: Iterable[bool]) -> int:
    return sum(value << bit for bit, value in enumerate(values))


def _read_ending(reader: FieldReader) -> CrashReport:
    trait = f"{reader.uint(_TRAIT_BYTES):0{2 * _TRAIT_BYTES}x}"
    served_age_ms = reader.uint(DURATION_BYTES)
    count = reader.uint(1)
    soon, lived = reader.uint(_BITMASK_BYTES), reader.uint(_BITMASK_BYTES)
    ends = tuple(
        ObservedCrash(
            reader.uint(4),
            reader.duration(),
            bool(soon >> bit & 1),
            bool(lived >> bit & 1),
            reader.uint(_CALLERS_BYTES),
        )
        for bit in range(count)
    )
    return CrashReport(
        trait, ends, None if served_age_ms == _NEVER_SERVED else served_age_ms / 1000
    )


def read_status(reader: FieldReader) -> PeerStatus:
    """Read a status."""
    version = reader.uint(6) - 1
    digest = reader.text()
    age = reader.uint(4)
    reads = reader.uint(4)
    era = reader.uint(4)
    failing = tuple(
        FailureNotice(reader.text(), reader.duration(), reader.duration())
        for _ in range(reader.uint(2))
    )
    draining = tuple(DrainNotice(reader.text(), reader.duration()) for _ in range(reader.uint(2)))
    recent_failures = tuple(reader.text() for _ in range(reader.uint(1)))
    endings = tuple(_read_ending(reader) for _ in range(reader.uint(1)))
    signals = _read_signals(reader)
    known_age = None if age == _NO_AGE else age / 1000
    known_era = era - 1 if era else None
    return PeerStatus(
        version,
        digest,
        known_age,
        reads,
        failing=failing,
        draining=draining,
        recent_failures=recent_failures,
        endings=endings,
        era=known_era,
        signals=signals,
    )
