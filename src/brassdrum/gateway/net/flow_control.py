"""Decide how much each response may read ahead of its caller, within one budget; no side effects.

A response reads ahead freely while there is room, so that its endpoint is free soon and does not
cut it off. The more the responses fill their part of the budget, the less each of them may hold,
so that the largest backlog is paused first. A backlog below one read is never paused.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "DEFAULT_MEMORY_MB",
    "MAX_READ_BYTES",
    "MIN_BUDGET_BYTES",
    "BufferBudget",
    "Flow",
    "default_budget",
]

# Assumed where the memory of the host is not known; the smallest hosts have this.
DEFAULT_MEMORY_MB = 200.0
# A smaller budget that an operator sets is refused: it would not hold one request body.
MIN_BUDGET_BYTES = 5 << 20
_MIN_DEFAULT_BUDGET_BYTES = 8 << 20
# Share of the host's memory: 16.7 MB of 200 MB, 46 MB of 552 MB. Beside it a daemon needs some
# 45 MB for itself and up to 64 MB for control.
_MEMORY_SHARE = 1 / 12

# One read from a socket; also the backlog up to which a response is never paused.
MAX_READ_BYTES = 65536
# The parts of the budget up to which the total may grow: by responses that read freely, by reads
# that only keep an endpoint from cutting off a paused response, and by large request bodies. What
# is left is for small request bodies, so that slow readers do not shut out ordinary requests.
_RESPONSE_SHARE = 0.375
_KEEP_ALIVE_SHARE = 0.8
_LARGE_BODY_SHARE = 0.9
# A response may hold this many times what responses have left. At 4, a single one gets 0.8 of their
# part, and eight get 0.97 of it together.
_ROOM_FACTOR = 4
# How much of what is left for them all paused responses may read at one moment to keep their
# endpoints sending, and one of them at most. An endpoint goes on only once about a third of its
# kernel's buffer is free, which may hold 2.5 MB, so that a single read is not enough.
_KEEP_ALIVE_RATIO = 0.25
_MAX_KEEP_ALIVE_BYTES = 524288
# A paused response resumes below this share of the backlog at which it would be paused, so that it
# does not alternate at every read.
_RESUME_SHARE = 0.5


@dataclass(slots=True, eq=False)
class Flow:
    """What is buffered for one connection of a caller, in bytes.

    ``unsent`` waits for the caller, ``held`` is a plain answer that is kept whole, ``unfinished``
    an event of a stream that has not ended yet, ``body`` the body of the request.
    """

    unsent: int = 0
    held: int = 0
    unfinished: int = 0
    body: int = 0

    @property
    def backlog(self) -> int:
        """Return the bytes that the caller's reading, or forwarding what is held, would free."""
        return self.unsent + self.held

    @property
    def response_bytes(self) -> int:
        """Return the bytes of the response."""
        return self.unsent + self.held + self.unfinished


def default_budget(memory_mb: float) -> int:
    """Return the budget in bytes of a host with some memory."""
    return max(_MIN_DEFAULT_BUDGET_BYTES, round(memory_mb * _MEMORY_SHARE * (1 << 20)))


class BufferBudget:
    """Count what is buffered for all connections, and decide what may be added.

    The total stays within ``limit`` plus one read for each connection, and one unfinished event
    for each stream: an event has to be complete before it can be checked and forwarded.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._response_bytes = 0
        self._body_bytes = 0

    @property
    def buffered(self) -> int:
        """Return the bytes that are buffered."""
        return self._response_bytes + self._body_bytes

    def set_unsent(self, flow: Flow, count: int) -> None:
        """Record how many bytes wait for a caller."""
        self._response_bytes += count - flow.unsent
        flow.unsent = count

    def set_held(self, flow: Flow, count: int) -> None:
        """Record how many bytes of an answer are kept whole."""
        self._response_bytes += count - flow.held
        flow.held = count

    def set_unfinished(self, flow: Flow, count: int) -> None:
        """Record how many bytes of an unfinished event are kept."""
        self._response_bytes += count - flow.unfinished
        flow.unfinished = count

    def read_size(self, flow: Flow, keep_alive: int = 0) -> int:
        """Return how many bytes a response may read now; 0 means that it is paused.

        ``keep_alive`` is what a paused response may read so that its endpoint does not cut it off.
        """
        if flow.backlog < self._pause_mark():
            # The mark is at least one read while there is no room.
            room = self._response_room()
            return MAX_READ_BYTES if room > 0 else MAX_READ_BYTES - flow.backlog
        if keep_alive and self.buffered < self.limit * _KEEP_ALIVE_SHARE:
            return min(keep_alive, MAX_READ_BYTES)
        return 0

    def keep_alive_bytes(self, paused: int) -> int:
        """Return how much each of some paused responses may read to keep its endpoint sending."""
        room = self.limit * _KEEP_ALIVE_SHARE - self.buffered
        if room <= 0 or paused == 0:
            return 0
        share = int(room * _KEEP_ALIVE_RATIO / paused)
        return min(_MAX_KEEP_ALIVE_BYTES, max(MAX_READ_BYTES, share))

    def may_resume(self, flow: Flow) -> bool:
        """Return whether a paused response may be read again."""
        return flow.backlog < self._pause_mark() * _RESUME_SHARE

    def resumable(self, paused: Iterable[Flow]) -> list[Flow]:
        """Return the paused responses that may be read again, the smallest backlog first."""
        return sorted((each for each in paused if self.may_resume(each)), key=_backlog)

    def reserve_body(self, flow: Flow, count: int) -> bool:
        """Raise what is reserved for a request body to ``count``; return False without room."""
        added = count - flow.body
        if added <= 0:
            return True
        share = 1.0 if count <= MAX_READ_BYTES else _LARGE_BODY_SHARE
        if self.buffered + added > self.limit * share:
            return False
        self._body_bytes += added
        flow.body = count
        return True

    def release_body(self, flow: Flow) -> None:
        """Free what is reserved for a request body."""
        self._body_bytes -= flow.body
        flow.body = 0

    def _response_room(self) -> float:
        """Return the bytes by which responses that read freely may grow."""
        free = min(
            self.limit * _RESPONSE_SHARE - self._response_bytes,
            self.limit - self.buffered,
        )
        return max(0.0, free)

    def _pause_mark(self) -> float:
        """Return the backlog from which on a response is paused."""
        return max(MAX_READ_BYTES, _ROOM_FACTOR * self._response_room())


def _backlog(flow: Flow) -> int:
    return flow.backlog
