"""Bounded in-memory history of the decisions on recent requests."""

from __future__ import annotations

import threading
from collections import OrderedDict
from dataclasses import asdict, dataclass

from brassdrum.clock import Clock

__all__ = ["Explanations", "Step"]

_MAX_REQUESTS = 2_000
_MAX_STEPS_PER_REQUEST = 32


@dataclass(frozen=True, slots=True)
class Step:
    """A decision on a request."""

    at: str
    step: str
    detail: str


class Explanations:
    """Stores the first steps of each of the most recent requests."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._steps_by_request: OrderedDict[str, list[Step]] = OrderedDict()

    def add(self, request_id: str, step: str, detail: str) -> None:
        """Append a step; drop it if the request has too many."""
        at = self._clock.now().isoformat(timespec="milliseconds")
        with self._lock:
            steps = self._steps_by_request.setdefault(request_id, [])
            if len(steps) < _MAX_STEPS_PER_REQUEST:
                steps.append(Step(at, step, detail))
            if len(self._steps_by_request) > _MAX_REQUESTS:
                self._steps_by_request.popitem(last=False)

    def get(self, request_id: str) -> list[dict[str, str]]:
        """Return the steps of a request, or an empty list if it is unknown."""
        with self._lock:
            return [asdict(step) for step in self._steps_by_request.get(request_id, [])]
