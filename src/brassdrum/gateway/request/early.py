"""Hold requests that arrive before the first configuration is known.

Callers connect as soon as a daemon has started, and most of them retry only once, so a refusal
during startup would often be final. Requests are held for a share of their timeout instead.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brassdrum.gateway.model import DeclaredRequest, RequestHead
from brassdrum.gateway.net.callers import CallerConnection, CallerHandler
from brassdrum.gateway.net.loop import Timer, Timers

__all__ = ["HeldRequest", "HeldRequestQueue", "max_hold_seconds"]

# Share of its timeout for which a request is held; leaves time for one retry that is held as long.
_HOLD_RATIO = 0.15
# A caller that resumes a stream has already used its retry.
_RESUMED_HOLD_RATIO = 0.4
_MAX_HELD_REQUESTS = 256
_MAX_HELD_BYTES = 16 << 20


def max_hold_seconds(request: DeclaredRequest) -> float:
    """Return the seconds for which a request may wait for the first configuration."""
    share = _HOLD_RATIO if request.resume_after is None else _RESUMED_HOLD_RATIO
    return share * request.timeout


@dataclass(slots=True)
class HeldRequest:
    """A request that waits for a configuration; times are in seconds."""

    connection: CallerConnection
    head: RequestHead
    body: bytes
    request: DeclaredRequest
    arrived: float
    on_caller_left: Callable[[HeldRequest], None]
    timer: Timer | None = None
    handler: CallerHandler | None = None

    def caller_disconnected(self) -> None:
        """Drop the request, or tell its handler once it is being processed."""
        if self.handler is None:
            self.on_caller_left(self)
            return
        self.handler.caller_disconnected()


class HeldRequestQueue:
    """A bounded queue of held requests, in order of arrival."""

    def __init__(
        self,
        loop: Timers,
        refuse: Callable[[HeldRequest, str], None],
        caller_left: Callable[[HeldRequest], None],
    ) -> None:
        self._loop = loop
        self._refuse = refuse
        self._caller_left = caller_left
        self._held: list[HeldRequest] = []
        self._held_bytes = 0

    def __len__(self) -> int:
        """Return the number of held requests."""
        return len(self._held)

    def hold(
        self, connection: CallerConnection, head: RequestHead, body: bytes, request: DeclaredRequest
    ) -> HeldRequest | None:
        """Hold a request; return None if the queue is full."""
        if len(self._held) >= _MAX_HELD_REQUESTS or self._held_bytes + len(body) > _MAX_HELD_BYTES:
            return None
        held = HeldRequest(connection, head, body, request, self._loop.now(), self._drop)
        held.timer = self._loop.call_later(
            max_hold_seconds(request), lambda: self._refuse_held(held, "no configuration yet")
        )
        self._held.append(held)
        self._held_bytes += len(body)
        return held

    def release(self, handle: Callable[[HeldRequest], CallerHandler | None]) -> None:
        """Pass all held requests to ``handle``."""
        for held in list(self._held):
            self._remove(held)
            held.handler = handle(held)

    def refuse_all(self, detail: str) -> None:
        """Refuse all held requests."""
        for held in list(self._held):
            self._refuse_held(held, detail)

    def _refuse_held(self, held: HeldRequest, detail: str) -> None:
        self._remove(held)
        self._refuse(held, detail)

    def _drop(self, held: HeldRequest) -> None:
        self._remove(held)
        self._caller_left(held)

    def _remove(self, held: HeldRequest) -> None:
        if held.timer is not None:
            held.timer.cancel()
            held.timer = None
        self._held.remove(held)
        self._held_bytes -= len(held.body)
