"""A single-threaded event loop for sockets and timers."""

from __future__ import annotations

import heapq
import itertools
import logging
import selectors
import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from brassdrum.clock import Clock

__all__ = ["EventLoop", "Timer", "Timers"]

_logger = logging.getLogger(__name__)
# Bounds the delay after a missed wake-up.
_MAX_WAIT_SECONDS = 1.0

ReadyCallback = Callable[[int], None]


class Timer:
    """A callback scheduled for one point in time; it can be cancelled."""

    __slots__ = ("callback", "when")

    def __init__(self, when: float, callback: Callable[[], None]) -> None:
        self.when = when
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the callback."""
        self.callback = None


class Timers(Protocol):
    """A clock that schedules callbacks, in real or simulated time."""

    def now(self) -> float:
        """Return the current monotonic time in seconds."""

    def call_later(self, seconds: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback after a delay."""


class EventLoop:
    """Dispatches socket events and timers; only ``post`` and ``stop`` are thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()
        self._posted_callbacks: deque[Callable[[], None]] = deque()
        self._wakeup_writer, self._wakeup_reader = socket.socketpair()
        self._wakeup_writer.setblocking(False)
        self._wakeup_reader.setblocking(False)
        self._selector.register(self._wakeup_reader, selectors.EVENT_READ, self._drain_wakeups)
        self._running = False
        self._round_began_at = clock.monotonic()
        self._last_round_seconds = 0.0

    @property
    def lag(self) -> float:
        """Return for how many seconds an event that comes now may wait, given the work so far."""
        return max(self._last_round_seconds, self.now() - self._round_began_at)

    def now(self) -> float:
        """Return the current monotonic time in seconds."""
        return self.clock.monotonic()

    def watch(self, sock: socket.socket, events: int, ready: ReadyCallback) -> None:
        """Register a callback for events on a socket, replacing any previous one."""
        if sock.fileno() in self._selector.get_map():
            self._selector.modify(sock, events, ready)
        else:
            self._selector.register(sock, events, ready)

    def unwatch(self, sock: socket.socket) -> None:
        """Stop watching a socket."""
        if sock.fileno() in self._selector.get_map():
            self._selector.unregister(sock)

    def call_at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback at a monotonic time."""
        timer = Timer(when, callback)
        heapq.heappush(self._timers, (when, next(self._sequence), timer))
        return timer

    def call_later(self, seconds: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback after a delay."""
        return self.call_at(self.now() + seconds, callback)

    def post(self, callback: Callable[[], None]) -> None:
        """Schedule a callback in the loop's thread, from any thread."""
        self._posted_callbacks.append(callback)
        try:
            self._wakeup_writer.send(b"w")
        except BlockingIOError:
            pass  # A wake-up is already pending.

    def run(self) -> None:
        """Run until ``stop`` is called."""
        self._running = True
        while self._running:
            self._run_once()

    def stop(self) -> None:
        """Make ``run`` return after the current iteration."""
        self.post(self._clear_running)

    def _clear_running(self) -> None:
        self._running = False

    def _run_once(self) -> None:
        ready_keys = self._selector.select(self._select_timeout())
        self._round_began_at = self.now()
        for key, events in ready_keys:
            self._run_callback(lambda ready=key.data, mask=events: ready(mask))
        while self._posted_callbacks:
            self._run_callback(self._posted_callbacks.popleft())
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if timer.callback is not None:
                self._run_callback(timer.callback)
        self._last_round_seconds = self.now() - self._round_began_at

    def _select_timeout(self) -> float:
        if self._posted_callbacks:
            return 0.0
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return _MAX_WAIT_SECONDS
        return min(_MAX_WAIT_SECONDS, max(0.0, self._timers[0][0] - self.now()))

    def _run_callback(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception:
            # An error in one request must not affect the others.
            _logger.exception("event handler failed")

    def _drain_wakeups(self, _events: int) -> None:
        try:
            while self._wakeup_reader.recv(4096):
                pass
        except BlockingIOError:
            pass  # The socket has been drained.
