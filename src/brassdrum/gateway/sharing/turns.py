"""Decide which waiting requests leave freed slots to others across the fleet."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from brassdrum.gateway.sharing.demand import DemandKey, DemandRow
from brassdrum.gateway.sharing.shares import max_min_shares

__all__ = ["PLAIN_TURN", "Turn", "decide_turn"]

# Shares are sums of fractions; differences below this are rounding errors.
_TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class Turn:
    """Whether a request yields, and to whose requests, or goes first.

    ``ahead`` counts the waiting requests of the fleet that go first in the service, ``waiting``
    all that wait for it, 0 if one kind alone waits or uses slots. A request may neither yield nor
    go first: then the order is that of its daemon.
    """

    yields_to: DemandKey | None = None
    goes_first: bool = False
    ahead: int = 0
    waiting: int = 0

    @property
    def yields(self) -> bool:
        """Return whether the request leaves freed slots to others."""
        return self.yields_to is not None


PLAIN_TURN = Turn()


def decide_turn(key: DemandKey, rows: Iterable[DemandRow]) -> Turn:
    """Return the turn of a waiting request of a key; ``rows`` are those of the whole fleet.

    It yields while a more urgent request waits, or an equally urgent one of an organisation below
    its share although its own organisation has its share. It goes first while others yield to it.
    """
    service_rows = [row for row in rows if row.key.service == key.service]
    waiting = sum(row.waiting for row in service_rows) if len(service_rows) > 1 else 0
    urgent = [row for row in service_rows if row.key.priority < key.priority and row.waiting]
    if urgent:
        most = min(urgent, key=lambda row: (row.key.priority, -row.waiting))
        return Turn(most.key, ahead=sum(row.waiting for row in urgent), waiting=waiting)
    equals = [row for row in service_rows if row.key.priority == key.priority]
    below = _below_share(equals, key)
    others_ahead = [row for row in equals if row.key in below and row.key != key and row.waiting]
    own_waiting = max([1, *(row.waiting for row in equals if row.key == key)])
    if key not in below and others_ahead:
        longest = max(others_ahead, key=lambda row: row.waiting)
        return Turn(longest.key, ahead=sum(row.waiting for row in others_ahead), waiting=waiting)
    behind = [row for row in service_rows if row.key.priority > key.priority]
    if key in below:
        behind += [row for row in equals if row.key not in below]
    if not any(row.waiting for row in behind):
        return Turn(waiting=waiting)
    ahead = own_waiting + sum(row.waiting for row in others_ahead)
    return Turn(goes_first=True, ahead=ahead, waiting=waiting)


def _below_share(rows: list[DemandRow], key: DemandKey) -> set[DemandKey]:
    """Return the keys whose organisation holds fewer slots than its share.

    The slots that are shared are those that the organisations hold together; the asking one counts
    with at least one waiting request. Without any slot in use all are below their share.
    """
    in_use_by_key = {row.key: row.in_use for row in rows}
    demand_by_key = {row.key: row.in_use + row.waiting for row in rows}
    in_use = in_use_by_key.setdefault(key, 0)
    demand_by_key[key] = max(demand_by_key.get(key, 0), in_use + 1)
    slots = sum(in_use_by_key.values())
    if not slots:
        return set(in_use_by_key)
    share_by_key = max_min_shares(demand_by_key, slots)
    return {
        each for each, share in share_by_key.items() if in_use_by_key[each] < share - _TOLERANCE
    }
