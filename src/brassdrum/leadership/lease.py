"""Judge leases from the order of the log alone."""

from __future__ import annotations

from dataclasses import dataclass, replace

from brassdrum.charts import load_chart
from brassdrum.contracts.records import CheckpointDuty, LeaseRecord

__all__ = ["Challenger", "Lease", "LeaseTable"]

_CHART = load_chart("lease")
_HELD = "held"
_MARGIN = 0.25


@dataclass(frozen=True, slots=True)
class Lease:
    """Describe who holds a duty; the fence is the offset of the claim that won it."""

    duty: str
    holder: str | None
    fence: int
    last: int
    term_seconds: float


class LeaseTable:
    """Hold the leases that follow from the records applied so far."""

    def __init__(self) -> None:
        self._by_duty: dict[str, Lease] = {}

    def get(self, duty: str) -> Lease | None:
        """Return the lease of a duty, or None when it was never claimed."""
        return self._by_duty.get(duty)

    def all(self) -> list[Lease]:
        """Return all leases by name of duty."""
        return [self._by_duty[duty] for duty in sorted(self._by_duty)]

    def apply(self, offset: int, record: LeaseRecord) -> bool:
        """Apply a record if it names the duty's last record; return whether it counted."""
        current = self._by_duty.get(record.duty)
        last = -1 if current is None else current.last
        if record.previous != last:
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
        self._by_duty[record.duty] = replace(current, holder=holder, last=offset)
        return True

    def load(self, duties: list[CheckpointDuty]) -> None:
        """Replace all leases by those of a checkpoint."""
        self._by_duty = {
            kept.duty: Lease(kept.duty, kept.holder, kept.fence, kept.last, kept.term_seconds)
            for kept in duties
        }

    def dump(self) -> list[CheckpointDuty]:
        """Return all leases in the form that a checkpoint keeps."""
        return [
            CheckpointDuty(
                duty=lease.duty,
                holder=lease.holder,
                fence=lease.fence,
                last=lease.last,
                term_seconds=lease.term_seconds,
            )
            for lease in self.all()
        ]


class Challenger:
    """Decide when a duty may be claimed: after a term and a margin without a renewal seen.

    Only the daemon's own monotonic clock counts, from when it saw the last record; a log that
    does not answer shows no renewals, so time while it is down does not count.
    """

    def __init__(self) -> None:
        self._seen_by_duty: dict[str, tuple[int, float]] = {}

    def may_claim(self, duty: str, lease: Lease | None, now: float, *, log_answers: bool) -> bool:
        """Return whether the holder's term has lapsed as far as this daemon can tell."""
        if lease is None or lease.holder is None:
            return True
        last, since = self._seen_by_duty.get(duty, (-1, now))
        if last != lease.last or not log_answers:
            since = now
        self._seen_by_duty[duty] = (lease.last, since)
        return now - since > lease.term_seconds * (1 + _MARGIN)
