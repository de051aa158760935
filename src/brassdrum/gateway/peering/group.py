"""Members of an aggregation group and their reported load; performs no I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from brassdrum.gateway.following.evacuations import Evacuations, newest_evacuations
from brassdrum.gateway.following.suspicion import (
    CORROBORATION_SECONDS,
    FailureNotice,
    unexpired_notices,
)
from brassdrum.gateway.peering.carried_status import completed_status
from brassdrum.gateway.peering.peer_messages import Acknowledgement, Report, Sender
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.placing.load import EndpointLoad, LoadRow
from brassdrum.gateway.sharing.demand import DemandRow
from brassdrum.gateway.throttling.signals import (
    SignalNotice,
    aged_notices,
)

__all__ = ["AppliedReport", "Group"]


@dataclass(frozen=True, slots=True)
class AppliedReport:
    """Result of applying a report; ``first`` means that the member joined with it."""

    first: bool


@dataclass(slots=True)
class _Member:
    sender: Sender
    status: PeerStatus
    heard_at: float
    acknowledged: bool = False
    load_by_key: dict[int, EndpointLoad] = field(default_factory=dict)


class Group:
    """Sum the load of the members; an ungrouped daemon is a group without members."""

    def __init__(
        self, own_row: Callable[[int], LoadRow], on_changed: Callable[[set[int]], None]
    ) -> None:
        self.includes_own_load = False
        self._own_row = own_row
        self._on_changed = on_changed
        self._member_by_host: dict[str, _Member] = {}

    @property
    def hosts(self) -> list[str]:
        """Return the hosts of the members."""
        return list(self._member_by_host)

    @property
    def daemon_count(self) -> int:
        """Return the number of live daemons in the group, without those that are leaving."""
        live = sum(1 for each in self._member_by_host.values() if not each.sender.leaving)
        return live + self.includes_own_load

    def apply_report(self, report: Report, now: float) -> AppliedReport | None:
        """Apply a member's report; return None if it is outdated or ends the membership."""
        sender = report.sender
        host = sender.address.host
        known = self._member_by_host.get(host)
        if known is not None:
            earlier = (known.sender.incarnation, known.sender.sequence)
            if (sender.incarnation, sender.sequence) <= earlier:
                return None
        if report.leaves_group:
            self.remove(host)
            return None
        first = known is None or sender.incarnation > known.sender.incarnation
        if first:
            self.remove(host)
            known = self._member_by_host[host] = _Member(sender, report.status, now)
        assert known is not None
        known.sender = sender
        earlier = None if first else known.status
        known.status = completed_status(report.status, earlier, now - known.heard_at)
        known.heard_at = now
        known.acknowledged = False
        for row in report.rows:
            if row.load.is_empty():
                known.load_by_key.pop(row.key, None)
            else:
                known.load_by_key[row.key] = row.load
        self._on_changed({row.key for row in report.rows})
        return AppliedReport(first)

    def remove(self, host: str) -> Sender | None:
        """Remove a member and its load; return its last sender information."""
        member = self._member_by_host.pop(host, None)
        if member is None:
            return None
        self._on_changed(set(member.load_by_key))
        return member.sender

    def silent_hosts(self, now: float, silence: float) -> list[str]:
        """Return the hosts of members not heard from for ``silence`` seconds."""
        return [h for h, each in self._member_by_host.items() if now - each.heard_at > silence]

    def failing(self, now: float) -> list[FailureNotice]:
        """Return the endpoints that members avoid because of failures they observed."""
        members = self._member_by_host.values()
        return [
            w
            for each in members
            for w in unexpired_notices(each.status.failing, now - each.heard_at)
        ]

    def signals(self, now: float) -> list[SignalNotice]:
        """Return what endpoints said to members."""
        return [
            notice
            for each in self._member_by_host.values()
            for notice in aged_notices(each.status.signals or (), now - each.heard_at)
        ]

    def evacuations(self) -> Evacuations | None:
        """Return the newest evacuations that members reported, or None."""
        members = self._member_by_host.values()
        return newest_evacuations(each.status.evacuations for each in members)

    def demand(self) -> list[DemandRow]:
        """Return the demand of the members."""
        return [row for each in self._member_by_host.values() for row in each.status.demand or ()]

    def keeps_demand(self) -> bool:
        """Return whether all members understand digests that leave the demand as it was."""
        return all(each.status.keeps_demand for each in self._member_by_host.values())

    def recent_failures(self, now: float) -> set[str]:
        """Return the endpoints at which members recently observed a failure."""
        members = self._member_by_host.values()
        fresh = [
            each.status.recent_failures
            for each in members
            if now - each.heard_at < CORROBORATION_SECONDS
        ]
        return {endpoint for failures in fresh for endpoint in failures}

    def acknowledgements(self, *, every: bool) -> tuple[Acknowledgement, ...]:
        """Return the pending acknowledgements, or with ``every`` those of all members."""
        found = []
        for host, member in self._member_by_host.items():
            if member.acknowledged and not every:
                continue
            member.acknowledged = True
            found.append(Acknowledgement(host, member.sender.sequence))
        return tuple(found)

    def total(self, key: int) -> EndpointLoad:
        """Return the load of the group at one endpoint."""
        total = self._own_row(key).load if self.includes_own_load else EndpointLoad()
        for member in self._member_by_host.values():
            load = member.load_by_key.get(key)
            if load is not None:
                total.add(load, 1)
        return total
