"""Watch one attempt for a silence that the endpoint's work does not explain."""

from __future__ import annotations

from typing import Protocol

from brassdrum.gateway.model import Route
from brassdrum.gateway.net.loop import Timer, Timers
from brassdrum.gateway.request.patience import silence_patience
from brassdrum.gateway.request.silence import allowed_silence, explained_silence, work_explains

__all__ = ["SilenceOwner", "SilenceWatch"]


class SilenceOwner(Protocol):
    """Say what is known of the attempt that is watched."""

    route: Route

    def may_replace(self) -> bool:
        """Return whether the attempt may be given up for another one."""

    def reading_seconds(self) -> float:
        """Return how long its endpoint has to read."""

    def fell_silent(self, *, certain: bool) -> None:
        """Learn that the endpoint is silent; ``certain`` where nothing explains it."""


class SilenceWatch:
    """Hold the one timer of a request that would send it again."""

    def __init__(self, loop: Timers, owner: SilenceOwner) -> None:
        self._loop = loop
        self._owner = owner
        self._heard_at = loop.now()
        self._timer: Timer | None = None

    def begin(self, predicted_ms: float | None) -> None:
        """Wait from now on; ``predicted_ms`` is the time to the first event, None after it."""
        self._heard_at = self._loop.now()
        seconds = allowed_silence(self._owner.route, predicted_ms)
        self._timer = self._loop.call_later(seconds, self._due)

    def stop(self) -> None:
        """Cancel what would send again: a second attempt beside the first, or after the end."""
        if self._timer is not None:
            self._timer.cancel()

    def _due(self) -> None:
        owner = self._owner
        if not owner.may_replace():
            return
        reading = owner.reading_seconds()
        if owner.route.streams:
            silent = self._loop.now() - self._heard_at
            more = explained_silence(silent, silence_patience(owner.route), reading)
            if more is not None:
                self._timer = self._loop.call_later(more, self._due)
                return
        owner.fell_silent(certain=owner.route.streams and not work_explains(reading))
