"""Lease state derived from the order of lease records in the log."""

from __future__ import annotations

from dataclasses import dataclass, replace

from brassdrum.charts import load_chart
from brassdrum.contracts.records import CheckpointDuty, LeaseRecord

__all__ = ["Lease", "LeaseExpiryDetector", "LeaseTable"]

_CHART = load_chart("lease")
_HELD = "held"
# Share of the term added before a lease counts as expired.
_EXPIRY_MARGIN_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class Lease:
    """The state of one duty's lease; ``holder`` is None after a release.

    ``fencing_token`` is the offset of the accepted claim, ``last_offset`` that of the last accepted
    record.
    """

    duty: str
    holder: str | None
    fencing_token: int
    last_offset: int
    term_seconds: float


class LeaseTable:
    """The leases that result from the records applied so far."""

    def __init__(self) -> None:
        self._by_duty: dict[str, Lease] = {}

    def get(self, duty: str) -> Lease | None:
        """Return the lease of a duty, or None if it was never claimed."""
        return self._by_duty.get(duty)

    def all(self) -> list[Lease]:
        """Return all leases, sorted by duty."""
        return [self._by_duty[duty] for duty in sorted(self._by_duty)]

    def apply(self, offset: int, record: LeaseRecord) -> bool:
        """Apply a record and return whether it was accepted.

        A record is rejected unless its ``previous`` is the offset of the duty's last accepted
        record, so that of concurrent records only the first in the log takes effect.
        """
        current = self._by_duty.get(record.duty)
        last_offset = -1 if current is None else current.last_offset
        if record.previous != last_offset:
            return False
        state = _CHART.initial if current is None or current.holder is None else _HELD
        if not _CHART.allows(state, record.action):
            return False
        if record.action == "claim":
            self._by_duty[record.duty] = Lease(
                record.duty, record.holder, offset, offset, record.term_seconds
            )
            return True
        if current is None or current.holder != record.holder:
            return False
        holder = record.holder if record.action == "renew" else None
        self._by_duty[record.duty] = replace(current, holder=holder, last_offset=offset)
        return True

    def load(self, duties: list[CheckpointDuty]) -> None:
        """Replace all leases with those of a checkpoint."""
        self._by_duty = {
            entry.duty: Lease(entry.duty, entry.holder, entry.fence, entry.last, entry.term_seconds)
            for entry in duties
        }

    def dump(self) -> list[CheckpointDuty]:
        """Return all leases as checkpoint entries."""
        return [
            CheckpointDuty(
                duty=lease.duty,
                holder=lease.holder,
                fence=lease.fencing_token,
                last=lease.last_offset,
                term_seconds=lease.term_seconds,
            )
            for lease in self.all()
        ]


class LeaseExpiryDetector:
    """Detects leases that were not renewed for their term plus a margin.

    Time is measured on the local monotonic clock, from when a new record was first seen. The time
    restarts while the log is unavailable, because renewals can't be seen then.
    """

    def __init__(self) -> None:
        self._last_seen_by_duty: dict[str, tuple[int, float]] = {}

    def may_claim(self, duty: str, lease: Lease | None, now: float, *, log_available: bool) -> bool:
        """Return whether the duty is free or its lease has expired, as seen by this daemon."""
        if lease is None or lease.holder is None:
            return True
        last_offset, since = self._last_seen_by_duty.get(duty, (-1, now))
        if last_offset != lease.last_offset or not log_available:
            since = now
        self._last_seen_by_duty[duty] = (lease.last_offset, since)
        return now - since > lease.term_seconds * (1 + _EXPIRY_MARGIN_FRACTION)
