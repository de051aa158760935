"""Keep requests that come before the first configuration is known.

A daemon that starts knows nothing until a peer or the store tells it, and callers come at once.
Most may come again only once, so a refusal in that moment is for many the last word. They wait here
instead, for a part of the time that they have, and are answered when the daemon knows how.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brassdrum.gateway.model import DeclaredRequest, RequestHead
from brassdrum.gateway.net.callers import CallerConnection, CallerHandler
from brassdrum.gateway.net.loop import Timer, Timers

__all__ = ["HeldRequest", "HeldRequestQueue", "max_hold_seconds"]

# Part of its time for which a request waits. Its caller may come again: a refusal then still leaves
# a third of the rest until it does, and as long a wait there.
_HOLD_RATIO = 0.15
# A caller that resumes a stream has come again already.
_RESUMED_HOLD_RATIO = 0.4
_MAX_HELD_REQUESTS = 256
_MAX_HELD_BYTES = 16 << 20


def max_hold_seconds(request: DeclaredRequest) -> float:
    """Return for how many seconds a request waits for the first configuration."""
    share = _HOLD_RATIO if request.resume_after is None else _RESUMED_HOLD_RATIO
    return share * request.patience


@dataclass(slots=True)
class HeldRequest:
    """Hold one request, and hand on that its caller left; times in seconds."""

    connection: CallerConnection
    head: RequestHead
    body: bytes
    request: DeclaredRequest
    arrived: float
    on_caller_left: Callable[[HeldRequest], None]
    timer: Timer | None = None
    handler: CallerHandler | None = None

    def caller_left(self) -> None:
        """Stop waiting, or stop the work."""
        if self.handler is None:
            self.on_caller_left(self)
            return
        self.handler.caller_left()


class HeldRequestQueue:
    """Let requests wait, in the order in which they came."""

    def __init__(self, loop: Timers, refuse: Callable[[HeldRequest, str], None]) -> None:
        self._loop = loop
        self._refuse = refuse
        self._held: list[HeldRequest] = []
        self._held_bytes = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._held)

    def hold(
        self, connection: CallerConnection, head: RequestHead, body: bytes, request: DeclaredRequest
    ) -> HeldRequest | None:
        """Let a request wait; return None where too many do."""
        if len(self._held) >= _MAX_HELD_REQUESTS or self._held_bytes + len(body) > _MAX_HELD_BYTES:
            return None
        held = HeldRequest(connection, head, body, request, self._loop.now(), self._remove)
        held.timer = self._loop.call_later(
            max_hold_seconds(request), lambda: self._refuse_held(held, "no configuration yet")
        )
        self._held.append(held)
        self._held_bytes += len(body)
        return held

    def release(self, handle: Callable[[HeldRequest], CallerHandler | None]) -> None:
        """Answer all that wait."""
        for held in list(self._held):
            self._remove(held)
            held.handler = handle(held)

    def refuse_all(self, detail: str) -> None:
        """Refuse all that wait."""
        for held in list(self._held):
            self._refuse_held(held, detail)

    def _refuse_held(self, held: HeldRequest, detail: str) -> None:
        self._remove(held)
        self._refuse(held, detail)

    def _remove(self, held: HeldRequest) -> None:
        if held.timer is not None:
            held.timer.cancel()
            held.timer = None
        self._held.remove(held)
        self._held_bytes -= len(held.body)
