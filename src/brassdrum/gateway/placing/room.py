"""Find out early that waiting for less loaded engines is in vain, from their load of late."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from brassdrum.gateway.placing.harm import stalled_stream_tokens
from brassdrum.gateway.placing.load import EndpointLoad
from brassdrum.gateway.placing.placement import Placement, PlacementRequest, wait_limit_ms
from brassdrum.gateway.placing.splitting import MAX_GROUP_ENGINES

__all__ = ["SAMPLE_INTERVAL_SECONDS", "RoomHistory"]

# Several samples within the wait of a long prompt, which is a second or more.
SAMPLE_INTERVAL_SECONDS = 0.25
# Longer than any wait of a prompt with an objective of 8 s.
_HISTORY_SECONDS = 8.0
# Covers placements that are not reported yet when a sample is taken.
_TOLERANCE_SHARE = 0.15


@dataclass(frozen=True, slots=True)
class _Sample:
    at: float
    stall_tokens: float


class RoomHistory:
    """Remember what a group of the least loaded engines of a service would have lost of late.

    The least that such a group held within as long as a request may wait is taken for the least
    that it will hold during the wait.
    """

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque()

    def record(self, loads: Iterable[EndpointLoad], now: float) -> None:
        """Add a sample of the loads of all engines."""
        stalls = (stalled_stream_tokens(load) for load in loads)
        self._samples.append(_Sample(now, sum(heapq.nsmallest(MAX_GROUP_ENGINES, stalls))))
        while self._samples[0].at < now - _HISTORY_SECONDS:
            self._samples.popleft()

    def seconds_without_room(
        self, request: PlacementRequest, placement: Placement, now: float
    ) -> float | None:
        """Return for how long there has been no room, or None if waiting may find some.

        Without samples that cover the wait nothing is known.
        """
        wait_ms = wait_limit_ms(request, placement)
        if wait_ms <= 0 or not self._samples or self._samples[0].at > now - wait_ms / 1000:
            return None
        latest = self._samples[-1].stall_tokens
        if latest <= 0:
            return None
        # Beyond this the request would be refused at the end of its wait.
        acceptable = request.total_tokens - placement.lateness_tokens
        if placement.interference_tokens * self._lowest_share(now - wait_ms / 1000) <= acceptable:
            return None
        enough = latest * max(0.0, acceptable) / placement.interference_tokens
        had_room = [each.at for each in self._samples if each.stall_tokens <= enough]
        return now - max(had_room, default=self._samples[0].at)

    def _lowest_share(self, since: float) -> float:
        """Return the lowest sample since a time, as a share of the latest one."""
        latest = self._samples[-1].stall_tokens
        lowest = min((each.stall_tokens for each in self._samples if each.at >= since), default=0)
        return (1 - _TOLERANCE_SHARE) * lowest / latest
