"""Keep the members of a group and what they report; pure decisions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from brassdrum.gateway.following.suspicion import (
    CORROBORATION_SECONDS,
    FailureNotice,
    unexpired_notices,
)
from brassdrum.gateway.peering.peer_messages import Acknowledgement, PeerBelief, Report, Sender
from brassdrum.gateway.placing.load import EndpointLoad, LoadRow

__all__ = ["Group", "Joined"]


@dataclass(frozen=True, slots=True)
class Joined:
    """Say whether a report is the first of its member."""

    first: bool


@dataclass(slots=True)
class _Member:
    sender: Sender
    belief: PeerBelief
    heard: float
    told: bool = False
    load_by_key: dict[int, EndpointLoad] = field(default_factory=dict)


class Group:
    """Add up what members report; a daemon alone is a group without members."""

    def __init__(
        self, own_row: Callable[[int], LoadRow], on_changed: Callable[[set[int]], None]
    ) -> None:
        self.counts_own = False
        self._own_row = own_row
        self._on_changed = on_changed
        self._member_by_host: dict[str, _Member] = {}

    @property
    def hosts(self) -> list[str]:
        """Return the hosts of members."""
        return list(self._member_by_host)

    @property
    def daemons(self) -> int:
        """Return how many live daemons the group has; those that leave count no more."""
        live = sum(1 for each in self._member_by_host.values() if not each.sender.leaving)
        return live + self.counts_own

    def take(self, report: Report, now: float) -> Joined | None:
        """Take a member's report; return None for one that came late, or ends the membership."""
        sender = report.sender
        host = sender.address.host
        known = self._member_by_host.get(host)
        if known is not None:
            earlier = (known.sender.incarnation, known.sender.sequence)
            if (sender.incarnation, sender.sequence) <= earlier:
                return None
        if report.leaves:
            self.remove(host)
            return None
        first = known is None or sender.incarnation > known.sender.incarnation
        if first:
            self.remove(host)
            known = self._member_by_host[host] = _Member(sender, report.belief, now)
        assert known is not None
        known.sender = sender
        known.belief = report.belief
        known.heard = now
        known.told = False
        for row in report.rows:
            if row.load.empty():
                known.load_by_key.pop(row.key, None)
            else:
                known.load_by_key[row.key] = row.load
        self._on_changed({row.key for row in report.rows})
        return Joined(first)

    def remove(self, host: str) -> Sender | None:
        """Drop a member and its work; return who it was."""
        member = self._member_by_host.pop(host, None)
        if member is None:
            return None
        self._on_changed(set(member.load_by_key))
        return member.sender

    def silent(self, now: float, silence: float) -> list[str]:
        """Return the hosts of members that were silent for a number of seconds."""
        return [h for h, each in self._member_by_host.items() if now - each.heard > silence]

    def failing(self, now: float) -> list[FailureNotice]:
        """Return which endpoints members avoid for what they met."""
        members = self._member_by_host.values()
        return [
            w for each in members for w in unexpired_notices(each.belief.failing, now - each.heard)
        ]

    def doubts(self, now: float) -> set[str]:
        """Return the endpoints at which members have just met a failure."""
        members = self._member_by_host.values()
        fresh = [each.belief.doubts for each in members if now - each.heard < CORROBORATION_SECONDS]
        return {endpoint for doubts in fresh for endpoint in doubts}

    def acknowledgements(self, *, every: bool) -> tuple[Acknowledgement, ...]:
        """Return up to which report members are counted, or only of those with newer ones."""
        found = []
        for host, member in self._member_by_host.items():
            if member.told and not every:
                continue
            member.told = True
            found.append(Acknowledgement(host, member.sender.sequence))
        return tuple(found)

    def total(self, key: int) -> EndpointLoad:
        """Return the work of the group at one endpoint."""
        total = self._own_row(key).load if self.counts_own else EndpointLoad()
        for member in self._member_by_host.values():
            load = member.load_by_key.get(key)
            if load is not None:
                total.add(load, 1)
        return total
