"""Remember the decisions on recent requests, so that an operator can ask why."""

from __future__ import annotations

import threading
from collections import OrderedDict
from dataclasses import asdict, dataclass

from brassdrum.clock import Clock

__all__ = ["Explanations", "Step"]

_REQUESTS_KEPT = 2_000
_STEPS_KEPT = 32


@dataclass(frozen=True, slots=True)
class Step:
    """Hold one decision on a request."""

    at: str
    step: str
    detail: str


class Explanations:
    """Keep the last steps of the last requests."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._steps_by_request: OrderedDict[str, list[Step]] = OrderedDict()

    def add(self, request_id: str, step: str, detail: str) -> None:
        """Note a step."""
        at = self._clock.now().isoformat(timespec="milliseconds")
        with self._lock:
            steps = self._steps_by_request.setdefault(request_id, [])
            if len(steps) < _STEPS_KEPT:
                steps.append(Step(at, step, detail))
            if len(self._steps_by_request) > _REQUESTS_KEPT:
                self._steps_by_request.popitem(last=False)

    def get(self, request_id: str) -> list[dict[str, str]]:
        """Return the steps of a request, empty when it is not known here."""
        with self._lock:
            return [asdict(step) for step in self._steps_by_request.get(request_id, [])]
