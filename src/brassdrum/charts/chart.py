"""Interpret a state chart by the ``transitions`` library."""

from __future__ import annotations

import functools
import json
from importlib import resources

from transitions import Machine

__all__ = ["Chart", "OutsideChartError", "load_chart"]


class OutsideChartError(Exception):
    """Tell that a trigger has no edge from a state."""


class Chart:
    """Answer which state follows; holds no state of its own."""

    def __init__(self, content: dict) -> None:
        self.name = str(content["name"])
        self.initial = str(content["initial"])
        self._machine = Machine(
            model=None,
            states=content["states"],
            transitions=content["transitions"],
            initial=self.initial,
            auto_transitions=False,
        )
        self._next_by_edge = {
            (source, trigger): edges[0].dest
            for trigger, event in self._machine.events.items()
            for source, edges in event.transitions.items()
        }

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
    text = resources.files("brassdrum.charts").joinpath(f"{name}.json").read_text()
    return Chart(json.loads(text))
