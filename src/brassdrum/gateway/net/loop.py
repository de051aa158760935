"""Run sockets and timers in one thread; other threads post work to it."""

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
# The longest sleep without any timer; bounds how late a lost wake-up is noticed.
_LONGEST_WAIT_SECONDS = 1.0

Ready = Callable[[int], None]


class Timer:
    """Call a function once at a time unless it is cancelled."""

    __slots__ = ("callback", "when")

    def __init__(self, when: float, callback: Callable[[], None]) -> None:
        self.when = when
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Do not call the function."""
        self.callback = None


class Timers(Protocol):
    """Tell the time and call functions later, in real time or in a simulated one."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def call_later(self, seconds: float, callback: Callable[[], None]) -> Timer:
        """Call a function after a number of seconds."""


class EventLoop:
    """Wait for sockets and timers; only ``post`` and ``stop`` may be called by other threads."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()
        self._posted: deque[Callable[[], None]] = deque()
        self._waker, self._woken = socket.socketpair()
        self._waker.setblocking(False)
        self._woken.setblocking(False)
        self._selector.register(self._woken, selectors.EVENT_READ, self._drain_wakes)
        self._running = False

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.clock.monotonic()

    def watch(self, sock: socket.socket, events: int, ready: Ready) -> None:
        """Call a function when a socket is ready for the events; replaces an earlier watch."""
        if sock.fileno() in self._selector.get_map():
            self._selector.modify(sock, events, ready)
        else:
            self._selector.register(sock, events, ready)

    def unwatch(self, sock: socket.socket) -> None:
        """Stop watching a socket."""
        if sock.fileno() in self._selector.get_map():
            self._selector.unregister(sock)

    def call_at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Call a function at a monotonic time."""
        timer = Timer(when, callback)
        heapq.heappush(self._timers, (when, next(self._sequence), timer))
        return timer

    def call_later(self, seconds: float, callback: Callable[[], None]) -> Timer:
        """Call a function after a number of seconds."""
        return self.call_at(self.now() + seconds, callback)

    def post(self, callback: Callable[[], None]) -> None:
        """Call a function in the loop's thread, as soon as it is free."""
        self._posted.append(callback)
        try:
            self._waker.send(b"w")
        except BlockingIOError:
            pass  # The pipe is full of wake-ups already.

    def run(self) -> None:
        """Serve until ``stop``."""
        self._running = True
        while self._running:
            self._run_once()

    def stop(self) -> None:
        """End ``run`` soon."""
        self.post(self._end)

    def _end(self) -> None:
        self._running = False

    def _run_once(self) -> None:
        for key, events in self._selector.select(self._wait()):
            self._guard(lambda ready=key.data, mask=events: ready(mask))
        while self._posted:
            self._guard(self._posted.popleft())
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if timer.callback is not None:
                self._guard(timer.callback)

    def _wait(self) -> float:
        if self._posted:
            return 0.0
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return _LONGEST_WAIT_SECONDS
        return min(_LONGEST_WAIT_SECONDS, max(0.0, self._timers[0][0] - self.now()))

    def _guard(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception:
            # One request's defect must not end the other requests of this daemon.
            _logger.exception("event handler failed")

    def _drain_wakes(self, _events: int) -> None:
        try:
            while self._woken.recv(4096):
                pass
        except BlockingIOError:
            pass  # All wake-ups are read.
