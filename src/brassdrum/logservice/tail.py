"""Follow one stream of the log and hand its records on in order."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from brassdrum.clock import Clock
from brassdrum.errors import PlatformUnavailableError
from brassdrum.logservice.log import Log, LogPage

__all__ = ["Tail"]

_logger = logging.getLogger(__name__)
_FIRST_PAUSE = 0.05
_LONGEST_PAUSE = 2.0


class Tail:
    """Read a stream step by step; remember whether the log answers and how far it was read."""

    def __init__(
        self,
        log: Log,
        stream: str,
        clock: Clock,
        next_offset: Callable[[], int],
        on_page: Callable[[LogPage], None],
        wait: float = 5.0,
        on_restored: Callable[[LogPage], None] | None = None,
    ) -> None:
        self._log = log
        self._stream = stream
        self._clock = clock
        self._next_offset = next_offset
        self._on_page = on_page
        self._on_restored = on_restored
        self._era: int | None = None
        self._wait = wait
        self._failures = 0
        self._answered_at: float | None = None
        self._reached_end = False

    @property
    def answers(self) -> bool:
        """Return whether the last read succeeded."""
        return self._failures == 0 and self._answered_at is not None

    @property
    def caught_up(self) -> bool:
        """Return whether the end of the stream was reached once in its present era."""
        return self._reached_end

    def step(self) -> None:
        """Read one page and hand it on."""
        try:
            # After a failure the log is asked without waiting, so that its return is seen at once.
            wait = self._wait if self._reached_end and self._failures == 0 else 0.0
            page = self._log.read(self._stream, self._next_offset(), wait)
        except PlatformUnavailableError as error:
            if self._failures == 0:
                _logger.warning(
                    "log not readable", extra={"stream": self._stream, "reason": str(error)}
                )
            self._failures += 1
            return
        self._failures = 0
        self._answered_at = self._clock.monotonic()
        if self._era is not None and page.era < self._era:
            # An answer that was on its way when the log came back from a copy.
            return
        returned = self._era is not None and page.era > self._era
        self._era = page.era
        if returned:
            self._reached_end = False
            _logger.error(
                "log came back from a copy", extra={"stream": self._stream, "era": page.era}
            )
            if self._on_restored is not None:
                self._on_restored(page)
            return
        self._on_page(page)
        if page.next_offset >= page.end:
            self._reached_end = True

    def pause(self) -> float:
        """Return how long to wait before the next step, with full jitter after failures."""
        if self._failures == 0:
            return 0.0
        longest = min(_LONGEST_PAUSE, _FIRST_PAUSE * 2 ** min(self._failures, 10))
        return random.uniform(_FIRST_PAUSE, longest)
