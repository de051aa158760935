"""Wait for the signals that tell a process to stop."""

from __future__ import annotations

import signal
from queue import SimpleQueue

__all__ = ["StopSignals", "wait_for_signal"]


class StopSignals:
    """Note SIGTERM and SIGINT from now on, however many come and however fast."""

    def __init__(self) -> None:
        # An Event does not do: handlers run in the thread that waits, and a signal that comes
        # while that thread holds the Event's lock would wait for the lock for ever. Three SIGTERMs
        # within 0.1 ms did so in one of four tries. This queue's put() may interrupt itself.
        self._received: SimpleQueue[int] = SimpleQueue()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda received, _frame: self._received.put(received))

    def wait(self) -> None:
        """Return once the process was told to stop, also if that was before the call."""
        self._received.get()


def wait_for_signal() -> None:
    """Wait until the process is told to stop."""
    StopSignals().wait()
