"""Count the messages and bytes that a daemon spends on control, by kind."""

from __future__ import annotations

import threading
from dataclasses import dataclass

__all__ = ["ControlCost", "CostOfKind"]


@dataclass(slots=True)
class CostOfKind:
    """Hold the totals of one kind of message, both directions."""

    messages: int = 0
    bytes: int = 0


class ControlCost:
    """Add up control traffic."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_kind: dict[str, CostOfKind] = {}

    def add(self, kind: str, size: int) -> None:
        """Count one message."""
        with self._lock:
            cost = self._by_kind.setdefault(kind, CostOfKind())
            cost.messages += 1
            cost.bytes += size

    def totals(self) -> dict[str, dict[str, int]]:
        """Return the totals by kind."""
        with self._lock:
            return {
                kind: {"messages": cost.messages, "bytes": cost.bytes}
                for kind, cost in sorted(self._by_kind.items())
            }
