"""Pause and resume the reading of responses as their callers read."""

from __future__ import annotations

from typing import Protocol

from brassdrum.gateway.net.flow_control import MAX_READ_BYTES, BufferBudget, Flow
from brassdrum.gateway.net.loop import Timers

__all__ = ["CallerFlow", "Pacer", "PausableReader", "UnpacedFlow"]

# Endpoints cut off a response that stays unread for some seconds. A little is read of each paused
# response at this interval, while the budget has room for it.
_KEEP_ALIVE_SECONDS = 1.0


class PausableReader(Protocol):
    """The side of a response that reads from its endpoint."""

    def reading_resumed(self) -> None:
        """Read again after a pause."""


class UnpacedFlow:
    """The flow of a connection that shares no budget, as those of pages and probes."""

    deliver_until = 0.0

    def set_unsent(self, count: int) -> None:
        """Ignore the bytes that wait for the caller."""

    def set_held(self, count: int) -> None:
        """Ignore the bytes that are kept."""

    def set_unfinished(self, count: int) -> None:
        """Ignore the bytes of an unfinished event."""

    def reserve_body(self, count: int) -> bool:
        """Allow every request body."""
        return True

    def release_body(self) -> None:
        """Do nothing."""

    def request_read(self, reader: PausableReader) -> int:
        """Allow every read."""
        return MAX_READ_BYTES

    def response_ended(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""

    @property
    def buffered(self) -> int:
        """Return 0: nothing is counted."""
        return 0

    @property
    def unsent(self) -> int:
        """Return 0: nothing is counted."""
        return 0


class CallerFlow:
    """What one connection of a caller buffers; ``deliver_until`` is when its caller gives up."""

    def __init__(self, pacer: Pacer) -> None:
        self.deliver_until = 0.0
        self._pacer = pacer
        self._flow = Flow()
        self._keep_alive = 0

    @property
    def flow(self) -> Flow:
        """Return the counted bytes."""
        return self._flow

    @property
    def buffered(self) -> int:
        """Return the bytes that all connections buffer."""
        return self._pacer.budget.buffered

    @property
    def unsent(self) -> int:
        """Return the bytes that wait for the caller."""
        return self._flow.unsent

    def set_unsent(self, count: int) -> None:
        """Record how many bytes wait for the caller."""
        freed = self._flow.unsent - count
        self._pacer.budget.set_unsent(self._flow, count)
        if freed > 0:
            self._pacer.freed(freed, self)

    def set_held(self, count: int) -> None:
        """Record how many bytes of an answer are kept whole."""
        freed = self._flow.held - count
        self._pacer.budget.set_held(self._flow, count)
        if freed > 0:
            self._pacer.freed(freed, self)

    def set_unfinished(self, count: int) -> None:
        """Record how many bytes of an unfinished event are kept."""
        self._pacer.budget.set_unfinished(self._flow, count)

    def reserve_body(self, count: int) -> bool:
        """Reserve room for a request body; return False if there is none."""
        return self._pacer.budget.reserve_body(self._flow, count)

    def release_body(self) -> None:
        """Free the room of the request body."""
        freed = self._flow.body
        self._pacer.budget.release_body(self._flow)
        if freed:
            self._pacer.freed(freed, self)

    def request_read(self, reader: PausableReader) -> int:
        """Return how many bytes may be read now; 0 if the reader is paused and told later."""
        size = self._pacer.budget.read_size(self._flow, self._keep_alive)
        self._keep_alive = max(0, self._keep_alive - size)
        if size == 0:
            self._pacer.pause(self, reader)
        return size

    def grant_keep_alive(self, count: int) -> None:
        """Allow some bytes to be read although the response is paused."""
        self._keep_alive = count

    def response_ended(self) -> None:
        """Forget the response's reader and what was kept for it."""
        self._keep_alive = 0
        self._pacer.forget(self)
        self.set_unfinished(0)
        self.set_held(0)

    def close(self) -> None:
        """Free everything."""
        self.response_ended()
        self.release_body()
        self.set_unsent(0)


class Pacer:
    """Apply the budget to the responses of all connections."""

    def __init__(self, loop: Timers, budget: BufferBudget) -> None:
        self.budget = budget
        self._loop = loop
        self._reader_by_flow: dict[CallerFlow, PausableReader] = {}
        self._freed_bytes = 0
        self._ticking = False

    @property
    def paused_count(self) -> int:
        """Return the number of paused responses."""
        return len(self._reader_by_flow)

    def open(self) -> CallerFlow:
        """Return the flow of a new connection."""
        return CallerFlow(self)

    def pause(self, flow: CallerFlow, reader: PausableReader) -> None:
        """Remember a paused response."""
        self._reader_by_flow[flow] = reader
        self._start_ticking()

    def forget(self, flow: CallerFlow) -> None:
        """Forget a response whose reading has ended."""
        self._reader_by_flow.pop(flow, None)

    def freed(self, count: int, flow: CallerFlow) -> None:
        """Resume what may be read again now that bytes were freed at one connection."""
        if not self._reader_by_flow:
            return
        if flow in self._reader_by_flow and self.budget.may_resume(flow.flow):
            self._resume(flow)
        # Looking at every paused response is worth it once a read fits into what was freed.
        self._freed_bytes += count
        if self._freed_bytes < MAX_READ_BYTES:
            return
        self._freed_bytes = 0
        flow_by_counts = {each.flow: each for each in self._reader_by_flow}
        for counts in self.budget.resumable(flow_by_counts):
            self._resume(flow_by_counts[counts])

    def _resume(self, flow: CallerFlow) -> None:
        reader = self._reader_by_flow.pop(flow, None)
        if reader is not None:
            reader.reading_resumed()

    def _keep_alive(self) -> None:
        """Let each paused response read a little, the smallest backlog first."""
        self._ticking = False
        if not self._reader_by_flow:
            return
        granted = self.budget.keep_alive_bytes(len(self._reader_by_flow))
        if granted:
            self._resume_all(granted)
        self._start_ticking()

    def _resume_all(self, granted: int) -> None:
        for flow in sorted(self._reader_by_flow, key=lambda each: each.flow.backlog):
            flow.grant_keep_alive(granted)
            self._resume(flow)

    def _start_ticking(self) -> None:
        if not self._ticking:
            self._ticking = True
            self._loop.call_later(_KEEP_ALIVE_SECONDS, self._keep_alive)
