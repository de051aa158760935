"""Interpret a state chart; each edge is looked up by its source and trigger."""

from __future__ import annotations

import functools
import json
from pathlib import Path

__all__ = ["Chart", "OutsideChartError", "load_chart"]


class OutsideChartError(Exception):
    """Tell that a trigger has no edge from a state."""


class Chart:
    """Answer which state follows; holds no state of its own."""

    def __init__(self, content: dict) -> None:
        self.name = str(content["name"])
        self.initial = str(content["initial"])
        self._next_by_edge: dict[tuple[str, str], str] = {}
        states = frozenset(content["states"])
        for edge in content["transitions"]:
            source, trigger, dest = str(edge["source"]), str(edge["trigger"]), str(edge["dest"])
            unknown = {self.initial, source, dest} - states
            if unknown:
                raise ValueError(f"chart {self.name} lacks the states {unknown}; add them to it")
            if (source, trigger) in self._next_by_edge:
                raise ValueError(
                    f"chart {self.name} has two edges {trigger!r} from {source!r}; keep one"
                )
            self._next_by_edge[source, trigger] = dest

    @property
    def edges(self) -> list[tuple[str, str, str]]:
        """Return all edges as source, trigger and destination."""
        return [(source, trigger, dest) for (source, trigger), dest in self._next_by_edge.items()]

    def allows(self, state: str, trigger: str) -> bool:
        """Return whether a trigger has an edge from a state."""
        return (state, trigger) in self._next_by_edge

    def next(self, state: str, trigger: str) -> str:
        """Return the state that follows, or raise ``OutsideChartError``."""
        following = self._next_by_edge.get((state, trigger))
        if following is None:
            raise OutsideChartError(f"chart {self.name} has no edge {trigger!r} from {state!r}")
        return following


@functools.cache
def load_chart(name: str) -> Chart:
    """Return a chart of this package by its name."""
    return Chart(json.loads(Path(__file__).with_name(f"{name}.json").read_bytes()))
