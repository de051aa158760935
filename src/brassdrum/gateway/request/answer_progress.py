"""Tell the crash guard what the answer to a request proves of its content and parts."""

from __future__ import annotations

from typing import Protocol

from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.outcomes.fingerprint import RequestTraits
from brassdrum.outcomes.quarantine import SURVIVAL_SECONDS

__all__ = ["AnswerProgress"]


class ProgressContext(Protocol):
    """Services of the daemon that the progress of an answer needs."""

    loop: EventLoop
    crash_guard: CrashGuard


class AnswerProgress:
    """Follow the answer of one attempt of a request.

    An endpoint that crashes under a request does so when it begins to answer; one that goes on has
    survived it.
    """

    def __init__(self, context: ProgressContext, traits: RequestTraits) -> None:
        self._context = context
        self._traits = traits
        self._sent_at = context.loop.now()
        self._began_at: float | None = None
        self._survival_reported = False

    def event_received(self) -> None:
        """Note the first event, and tell once that the endpoint has survived it."""
        now = self._context.loop.now()
        if self._began_at is None:
            self._began_at = now
            return
        if self._survival_reported or now - self._began_at < SURVIVAL_SECONDS:
            return
        self._survival_reported = True
        self._context.crash_guard.request_survived(self._traits, self._began_at)

    def completed(self) -> None:
        """Tell that the answer is complete, and that it began no later than its first event."""
        began_at = self._sent_at if self._began_at is None else self._began_at
        self._context.crash_guard.request_served(self._traits, began_at)
