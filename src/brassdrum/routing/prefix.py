"""Index of the endpoints that probably cache a prompt block."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

__all__ = ["PrefixIndex"]

_MAX_BLOCKS = 200_000
_MAX_ENDPOINTS_PER_BLOCK = 8


class PrefixIndex:
    """A bounded map from block hashes to endpoints that evicts the least recently used blocks.

    Blocks are added when this daemon dispatches a request and when a cache event arrives. A gap
    in an endpoint's events may hide evictions: it lowers the trust in the endpoint's entries,
    which recovers as further events arrive.
    """

    def __init__(self, max_blocks: int = _MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._endpoints_by_block: OrderedDict[int, list[str]] = OrderedDict()
        self._trust_by_endpoint: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._endpoints_by_block)

    def record_stored(self, endpoint: str, blocks: Sequence[int]) -> None:
        """Record that an endpoint caches blocks."""
        for block in blocks:
            names = self._endpoints_by_block.get(block)
            if names is None:
                names = self._endpoints_by_block[block] = []
            else:
                self._endpoints_by_block.move_to_end(block)
            if endpoint in names:
                continue
            names.append(endpoint)
            if len(names) > _MAX_ENDPOINTS_PER_BLOCK:
                names.pop(0)
        while len(self._endpoints_by_block) > self._max_blocks:
            self._endpoints_by_block.popitem(last=False)

    def record_removed(self, endpoint: str, block: int) -> None:
        """Record that an endpoint evicted a block."""
        names = self._endpoints_by_block.get(block)
        if names is None or endpoint not in names:
            return
        names.remove(endpoint)
        if not names:
            del self._endpoints_by_block[block]

    def record_missed_events(self, endpoint: str, events: int) -> None:
        """Lower the trust in an endpoint's entries after missing ``events`` events."""
        trust = self._trust_by_endpoint.get(endpoint, 1.0)
        self._trust_by_endpoint[endpoint] = max(0.2, trust * 0.99**events)

    def record_received_events(self, endpoint: str, events: int) -> None:
        """Raise the trust in an endpoint's entries after receiving ``events`` events."""
        trust = self._trust_by_endpoint.get(endpoint, 1.0)
        self._trust_by_endpoint[endpoint] = 1.0 - (1.0 - trust) * 0.999**events

    def remove_endpoint(self, endpoint: str) -> None:
        """Remove all entries of an endpoint and reset its trust."""
        for block in list(self._endpoints_by_block):
            self.record_removed(endpoint, block)
        self._trust_by_endpoint.pop(endpoint, None)

    def expected_prefix_blocks(self, blocks: Sequence[int]) -> dict[str, float]:
        """Return the expected number of leading blocks cached, by endpoint."""
        counts: dict[str, int] = {}
        holders: set[str] | None = None
        for position, block in enumerate(blocks):
            names = self._endpoints_by_block.get(block)
            if not names:
                break
            holders = set(names) if holders is None else holders.intersection(names)
            if not holders:
                break
            for name in holders:
                counts[name] = position + 1
        return {
            name: count * self._trust_by_endpoint.get(name, 1.0) for name, count in counts.items()
        }
