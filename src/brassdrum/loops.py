"""Run a process's background work on one executor."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait

__all__ = ["BackgroundLoops"]

_logger = logging.getLogger(__name__)
_MAX_LOOPS = 64
_FAILURES_PER_LOG = 100
_FAILURE_PAUSE_SECONDS = 0.5


class BackgroundLoops:
    """Run named loops until stopped; a failing step is logged and the loop goes on."""

    def __init__(self, name: str, max_loops: int = _MAX_LOOPS) -> None:
        self._executor = ThreadPoolExecutor(max_loops, thread_name_prefix=name)
        self._stopping = threading.Event()
        self._futures: list[Future[None]] = []

    @property
    def stopping(self) -> threading.Event:
        """Return the event that is set when the loops shall end."""
        return self._stopping

    def every(self, name: str, seconds: Callable[[], float], step: Callable[[], None]) -> None:
        """Call a step again and again with a pause that may change."""
        self._futures.append(self._executor.submit(self._repeat, name, seconds, step))

    def submit(self, function: Callable[[], None]) -> Future[None]:
        """Run one piece of work in the background."""
        return self._executor.submit(function)

    def stop(self, timeout: float = 5.0) -> None:
        """Ask all loops to end and wait for them."""
        self._stopping.set()
        _, running = wait(self._futures, timeout)
        if running:
            _logger.debug("loops still wait for a neighbour", extra={"count": len(running)})
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _repeat(self, name: str, seconds: Callable[[], float], step: Callable[[], None]) -> None:
        failures = 0
        while not self._stopping.is_set():
            try:
                step()
                failures = 0
            except Exception:
                failures += 1
                if failures == 1 or failures % _FAILURES_PER_LOG == 0:
                    _logger.exception(
                        "background step failed", extra={"loop": name, "failures": failures}
                    )
            pause = seconds() if failures == 0 else max(seconds(), _FAILURE_PAUSE_SECONDS)
            self._stopping.wait(pause)
