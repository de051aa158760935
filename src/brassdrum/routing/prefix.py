"""Remember which endpoints probably hold which prompt blocks."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

__all__ = ["PrefixIndex"]

_MOST_BLOCKS = 200_000
_ENDPOINTS_PER_BLOCK = 8


class PrefixIndex:
    """Map block hashes to endpoints; bounded, least recently used blocks go first.

    Entries come from own dispatches at once and from cache events later. An endpoint whose
    events had a gap may have dropped blocks unseen; its trust falls until it is heard again.
    """

    def __init__(self, most_blocks: int = _MOST_BLOCKS) -> None:
        self._most = most_blocks
        self._endpoints_by_block: OrderedDict[int, list[str]] = OrderedDict()
        self._trust_by_endpoint: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._endpoints_by_block)

    def record_stored(self, endpoint: str, blocks: Sequence[int]) -> None:
        """Note that an endpoint holds blocks."""
        for block in blocks:
            names = self._endpoints_by_block.get(block)
            if names is None:
                names = self._endpoints_by_block[block] = []
            else:
                self._endpoints_by_block.move_to_end(block)
            if endpoint in names:
                continue
            names.append(endpoint)
            if len(names) > _ENDPOINTS_PER_BLOCK:
                names.pop(0)
        while len(self._endpoints_by_block) > self._most:
            self._endpoints_by_block.popitem(last=False)

    def record_removed(self, endpoint: str, block: int) -> None:
        """Note that an endpoint dropped a block."""
        names = self._endpoints_by_block.get(block)
        if names is None or endpoint not in names:
            return
        names.remove(endpoint)
        if not names:
            del self._endpoints_by_block[block]

    def record_missed_events(self, endpoint: str, events: int) -> None:
        """Lower the trust in an endpoint's entries after a gap in its events."""
        trust = self._trust_by_endpoint.get(endpoint, 1.0)
        self._trust_by_endpoint[endpoint] = max(0.2, trust * 0.99**events)

    def record_received_events(self, endpoint: str, events: int) -> None:
        """Raise the trust in an endpoint's entries with each event received."""
        trust = self._trust_by_endpoint.get(endpoint, 1.0)
        self._trust_by_endpoint[endpoint] = 1.0 - (1.0 - trust) * 0.999**events

    def remove_endpoint(self, endpoint: str) -> None:
        """Drop all of an endpoint's entries."""
        for block in list(self._endpoints_by_block):
            self.record_removed(endpoint, block)
        self._trust_by_endpoint.pop(endpoint, None)

    def expected_prefix_blocks(self, blocks: Sequence[int]) -> dict[str, float]:
        """Return the expected number of leading blocks held, by endpoint."""
        counts: dict[str, int] = {}
        held: set[str] | None = None
        for position, block in enumerate(blocks):
            names = self._endpoints_by_block.get(block)
            if not names:
                break
            held = set(names) if held is None else held.intersection(names)
            if not held:
                break
            for name in held:
                counts[name] = position + 1
        return {
            name: count * self._trust_by_endpoint.get(name, 1.0) for name, count in counts.items()
        }
