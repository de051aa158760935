"""Log the decisions on one request, and keep them for the line that explains its failure."""

from __future__ import annotations

from typing import Protocol

from brassdrum.gateway.model import DeclaredRequest
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.outcomes.fingerprint import RequestTraits
from brassdrum.telemetry.log_events import LogEvent

__all__ = ["RequestStory"]

# Bounds the log line that explains a failure.
_MAX_DECISIONS = 10


class StoryContext(Protocol):
    """Services of the daemon that a story needs."""

    loop: EventLoop

    def log_event(self, event: LogEvent, **values: object) -> None:
        """Log a decision about a request."""


class StorySubject(Protocol):
    """The request that a story is about."""

    request: DeclaredRequest
    traits: RequestTraits
    arrived: float


class RequestStory:
    """The decisions on one request, with the milliseconds since it arrived."""

    def __init__(self, context: StoryContext, subject: StorySubject) -> None:
        self.decisions: list[dict[str, object]] = []
        self._context = context
        self._subject = subject

    @property
    def elapsed_ms(self) -> int:
        """Return the milliseconds since the request arrived."""
        return round((self._context.loop.now() - self._subject.arrived) * 1000)

    def log(self, event: LogEvent, **values: object) -> None:
        """Log a decision and keep it."""
        subject = self._subject
        self._context.log_event(
            event, request=subject.request.id, content=subject.traits.content, **values
        )
        if len(self.decisions) < _MAX_DECISIONS:
            self.decisions.append({"at_ms": self.elapsed_ms, "event": event.name, **values})
