"""The demand of the fleet as one daemon knows it."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from brassdrum.gateway.peering.demand_pacing import DemandPacing
from brassdrum.gateway.peering.group import Group
from brassdrum.gateway.peering.peer_messages import Digest
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.publishers import Aggregators
from brassdrum.gateway.sharing.demand import DemandRow, add_rows, bounded_rows, subtract_rows

__all__ = ["FleetDemand", "LocalDemand"]

# 64 rows would take 7 KB/s of the 13 KB/s that a daemon may receive at 320 daemons.
_MAX_SUMMED_ROWS = 32
# What an aggregator said counts for this long; it sends a heartbeat every 0.4 s.
_DIGEST_LIFETIME_SECONDS = 1.5
# Reports whose acknowledgement got lost are forgotten beyond this number.
_MAX_UNACKNOWLEDGED_REPORTS = 64

LocalDemand = Callable[[bool], tuple[DemandRow, ...]]


class FleetDemand:
    """Add up the rows of this daemon, its group and other groups, or take the aggregator's sum.

    ``local_rows`` returns the own rows, given whether a request waits elsewhere. A member replaces
    the own rows that its aggregator's sum includes by the current ones.
    """

    def __init__(
        self, own_host: str, local_rows: LocalDemand, group: Group, aggregators: Aggregators
    ) -> None:
        self._own_host = own_host
        self._local_rows = local_rows
        self._group = group
        self._aggregators = aggregators
        self._digest_rows: tuple[DemandRow, ...] = ()
        self._digest_at = 0.0
        self._reported_by_sequence: dict[int, tuple[DemandRow, ...]] = {}
        self._acknowledged: tuple[DemandRow, ...] = ()
        self._acknowledged_sequence = -1
        self._group_pacing = DemandPacing()
        self._fleet_pacing = DemandPacing()

    def rows_to_send(self, now: float, *, fleet: bool) -> tuple[DemandRow, ...]:
        """Return the sum of this daemon and its group, or of the ``fleet``, for a message."""
        rows = self.fleet_rows(now) if fleet else self._group_rows(now)
        return bounded_rows(rows, _MAX_SUMMED_ROWS)

    def paced(
        self,
        status: PeerStatus,
        now: float,
        receivers: Iterable[str],
        *,
        fleet: bool,
        heartbeat: bool,
    ) -> PeerStatus:
        """Return the status for a digest, without rows of demand if its receivers can keep theirs.

        Not for digests that one receiver alone gets, since the others would miss the rows. A
        ``heartbeat`` has all rows.
        """
        rows = status.demand or ()
        pacing = self._fleet_pacing if fleet else self._group_pacing
        due = pacing.is_due(rows, now)
        keep = self._group.keeps_demand() if fleet else self._aggregators.keep_demand(receivers)
        # Without rows a digest is shorter than one that says that they are kept.
        if due or heartbeat or not rows or not keep:
            return status
        return replace(status, demand=None, keeps_demand=True)

    def fleet_rows(self, now: float) -> list[DemandRow]:
        """Return the sum of the fleet."""
        elsewhere = self._elsewhere(now)
        return add_rows([*self._local_rows(_anything_waits(elsewhere)), *elsewhere])

    def reported(self, sequence: int, rows: tuple[DemandRow, ...]) -> None:
        """Record what the report with a number told the aggregator."""
        self._reported_by_sequence[sequence] = rows
        while len(self._reported_by_sequence) > _MAX_UNACKNOWLEDGED_REPORTS:
            del self._reported_by_sequence[next(iter(self._reported_by_sequence))]

    def digest_received(self, digest: Digest, now: float) -> None:
        """Take the fleet's sum from the aggregator of this daemon."""
        for each in digest.acknowledgements:
            if each.host == self._own_host:
                self._acknowledged_sequence = max(self._acknowledged_sequence, each.sequence)
        if digest.status.demand is None:
            # The rows that are kept don't include what this digest acknowledges.
            return
        self._digest_rows, self._digest_at = digest.status.demand, now
        newest = self._acknowledged_sequence
        self._acknowledged = self._reported_by_sequence.get(newest, self._acknowledged)
        for sequence in [old for old in self._reported_by_sequence if old < newest]:
            del self._reported_by_sequence[sequence]

    def aggregator_changed(self) -> None:
        """Drop what the earlier aggregator reported."""
        self._digest_rows = self._acknowledged = ()
        self._reported_by_sequence.clear()
        self._acknowledged_sequence = -1

    def _group_rows(self, now: float) -> list[DemandRow]:
        own = self._local_rows(_anything_waits(self._elsewhere(now)))
        return add_rows([*own, *self._group.demand()])

    def _elsewhere(self, now: float) -> list[DemandRow]:
        if now - self._digest_at > _DIGEST_LIFETIME_SECONDS:
            self._digest_rows = ()
        from_digest = subtract_rows(
            self._digest_rows, self._acknowledged if self._digest_rows else ()
        )
        return [*from_digest, *self._group.demand(), *self._aggregators.demand()]


def _anything_waits(rows: list[DemandRow]) -> bool:
    return any(row.waiting for row in rows)
