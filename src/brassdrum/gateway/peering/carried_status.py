"""Complete a status with what it leaves as it was; performs no I/O."""

from __future__ import annotations

from dataclasses import replace

from brassdrum.gateway.following.evacuations import newest_evacuations
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.throttling.signals import current_notices

__all__ = ["completed_status"]


def completed_status(status: PeerStatus, earlier: PeerStatus | None, age: float) -> PeerStatus:
    """Return a status with what it leaves out taken from the sender's earlier one, if there is one.

    ``age`` is how many seconds ago the earlier one came.
    """
    if earlier is None:
        return replace(status, signals=status.signals or (), demand=status.demand or ())
    return replace(
        status,
        signals=current_notices(status.signals, earlier.signals, age),
        evacuations=newest_evacuations([earlier.evacuations, status.evacuations]),
        demand=earlier.demand if status.demand is None else status.demand,
    )
