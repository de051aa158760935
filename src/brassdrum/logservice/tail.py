"""Read one stream of the log service continuously, in order."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from brassdrum.clock import Clock
from brassdrum.errors import PlatformUnavailableError
from brassdrum.logservice.log import Log, LogPage

__all__ = ["Tail"]

_logger = logging.getLogger(__name__)
_MIN_RETRY_DELAY_SECONDS = 0.05
_MAX_RETRY_DELAY_SECONDS = 2.0


class Tail:
    """Reads a stream page by page and tracks the availability of the log service."""

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
        self._last_success_at: float | None = None
        self._reached_end = False

    @property
    def log_available(self) -> bool:
        """Return whether the last read succeeded."""
        return self._failures == 0 and self._last_success_at is not None

    @property
    def caught_up(self) -> bool:
        """Return whether the end of the stream was reached in the current era."""
        return self._reached_end

    def step(self) -> None:
        """Read one page and pass it to the callback."""
        try:
            # After a failure, don't use a long poll, so that recovery is noticed at once.
            wait = self._wait if self._reached_end and self._failures == 0 else 0.0
            page = self._log.read(self._stream, self._next_offset(), wait)
        except PlatformUnavailableError as error:
            if self._failures == 0:
                _logger.warning(
                    "failed to read from the log service",
                    extra={"stream": self._stream, "reason": str(error)},
                )
            self._failures += 1
            return
        self._failures = 0
        self._last_success_at = self._clock.monotonic()
        if self._era is not None and page.era < self._era:
            # A delayed response from before the log was restored from a backup.
            return
        restored = self._era is not None and page.era > self._era
        self._era = page.era
        if restored:
            self._reached_end = False
            _logger.error(
                "log was restored from a backup", extra={"stream": self._stream, "era": page.era}
            )
            if self._on_restored is not None:
                self._on_restored(page)
            return
        self._on_page(page)
        if page.next_offset >= page.end_offset:
            self._reached_end = True

    def retry_delay(self) -> float:
        """Return the seconds until the next step: 0, or exponential backoff with jitter."""
        if self._failures == 0:
            return 0.0
        max_delay = min(
            _MAX_RETRY_DELAY_SECONDS, _MIN_RETRY_DELAY_SECONDS * 2 ** min(self._failures, 10)
        )
        return random.uniform(_MIN_RETRY_DELAY_SECONDS, max_delay)
