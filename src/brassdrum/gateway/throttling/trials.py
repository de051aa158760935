"""Send one request to an endpoint whose pause is over before all that wait for it; no I/O."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from brassdrum.gateway.net.loop import Timer, Timers

__all__ = ["PauseTrials"]

# An endpoint that has not answered a trial gets the next one after this time. Long prompts are
# answered later, so that a longer time would leave it empty.
_TRIAL_SECONDS = 0.5
# From one rejected trial to the next, if the endpoint names a shorter pause. It doubles with each,
# up to the time above: a time that is rounded down to tenths costs the endpoint little.
_FIRST_GAP_SECONDS = 0.1
# A trial rejected longer ago belongs to an earlier pause.
_KEPT_SECONDS = 5.0


@dataclass(slots=True)
class _Trial:
    begun: float
    gap: float
    timer: Timer
    rejected: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Rejection:
    at: float
    next_gap: float


class PauseTrials:
    """Hold back requests to endpoints whose pause is over while one request tries each.

    The time that an endpoint names is often rounded down, or its overload lasts for longer. The
    requests that waited for the end of the pause would all be sent at once and be rejected.
    """

    def __init__(self, loop: Timers) -> None:
        self._loop = loop
        self._trial_by_endpoint: dict[str, _Trial] = {}
        self._rejection_by_endpoint: dict[str, _Rejection] = {}

    def tried_until(self, endpoint: str) -> float:
        """Return the time of the next trial if the present one is not answered before."""
        trial = self._trial_by_endpoint.get(endpoint)
        return -math.inf if trial is None else trial.timer.when

    def awaits_answer(self, endpoint: str) -> bool:
        """Return whether there is a trial that was not rejected yet."""
        trial = self._trial_by_endpoint.get(endpoint)
        return trial is not None and not trial.rejected

    def begin(self, endpoint: str) -> bool:
        """Begin a trial; return False if there is one."""
        if endpoint in self._trial_by_endpoint:
            return False
        now = self._loop.now()
        self._forget_until(now - _KEPT_SECONDS)
        rejection = self._rejection_by_endpoint.get(endpoint)
        gap = _FIRST_GAP_SECONDS if rejection is None else rejection.next_gap
        timer = self._loop.call_later(_TRIAL_SECONDS, lambda: self._end(endpoint))
        self._trial_by_endpoint[endpoint] = _Trial(now, gap, timer)
        return True

    def when_over(self, endpoint: str, action: Callable[[], None]) -> None:
        """Call a function once the present trial is answered or has lasted for too long."""
        self._trial_by_endpoint[endpoint].waiting.append(action)

    def pause_ended(self, endpoint: str) -> None:
        """Record that an endpoint takes requests again."""
        self._rejection_by_endpoint.pop(endpoint, None)
        self._end(endpoint)

    def rejected(self, endpoint: str, paused_until: float) -> None:
        """Record that an endpoint asks for another pause."""
        trial = self._trial_by_endpoint.get(endpoint)
        if trial is None or trial.rejected:
            return
        trial.rejected = True
        now = self._loop.now()
        next_gap = min(_TRIAL_SECONDS, 2 * trial.gap)
        self._rejection_by_endpoint[endpoint] = _Rejection(now, next_gap)
        left = trial.begun + trial.gap - now
        if left <= 0 or paused_until >= now + left:
            self._end(endpoint)
            return
        trial.timer.cancel()
        trial.timer = self._loop.call_later(left, lambda: self._end(endpoint))

    def _end(self, endpoint: str) -> None:
        """End the trial of an endpoint, if there is one, and go on with the requests held back."""
        trial = self._trial_by_endpoint.pop(endpoint, None)
        if trial is None:
            return
        trial.timer.cancel()
        for action in trial.waiting:
            # Not within the handling of the response that ended the trial.
            self._loop.call_later(0.0, action)

    def _forget_until(self, end: float) -> None:
        rejections = self._rejection_by_endpoint
        for endpoint in [each for each, rejection in rejections.items() if rejection.at <= end]:
            del rejections[endpoint]
