"""Write JSON lines from a thread of its own, bounded, so that a full pipe never stops the work."""

from __future__ import annotations

import json
import logging
import threading
from collections import Counter, deque
from collections.abc import Mapping
from typing import TextIO

from brassdrum.clock import Clock
from brassdrum.telemetry.log_events import LINES_LEFT_OUT, Topic

__all__ = ["BoundedJsonHandler", "configure_bounded_logging"]

_STANDARD_FIELDS = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "topic", "taskName"}
# Lines that wait for a slow reader; with the longest usual line of 600 bytes about 1 MB.
_LONGEST_QUEUE = 2000
# Shares of the lines a second by topic. Failures and changes of life are kept longest.
_SHARE_BY_TOPIC: Mapping[Topic, float] = {
    Topic.LIFE: 0.1,
    Topic.FAILURE: 0.45,
    Topic.BELIEF: 0.2,
    Topic.REQUEST: 0.25,
}
_LONGEST_LINE = 4000


class BoundedJsonHandler(logging.Handler):
    """Queue records as JSON lines within a budget a topic and second; a thread writes them."""

    def __init__(
        self, stream: TextIO, daemon: str, clock: Clock, lines_per_second: int = 200
    ) -> None:
        super().__init__()
        self.dropped: Counter[str] = Counter()
        self._stream = stream
        self._daemon = daemon
        self._clock = clock
        self._most_by_topic = {
            topic: max(1, int(share * lines_per_second)) for topic, share in _SHARE_BY_TOPIC.items()
        }
        self._second = -1
        self._used_by_topic: Counter[Topic] = Counter()
        self._left_out: Counter[str] = Counter()
        self._lines: deque[str] = deque()
        self._wake = threading.Event()
        self._closed = False
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as left out."""
        topic = getattr(record, "topic", Topic.BELIEF)
        self._next_second()
        if self._used_by_topic[topic] >= self._most_by_topic[topic]:
            self._leave_out(topic)
            return
        self._used_by_topic[topic] += 1
        self._queue(topic, self._line(record))

    def close(self) -> None:
        """Write what waits, for a short while, and stop."""
        self._closed = True
        self._wake.set()
        self._thread.join(timeout=0.3)
        super().close()

    def _next_second(self) -> None:
        second = int(self._clock.monotonic())
        if second == self._second:
            return
        self._second = second
        self._used_by_topic.clear()
        if not self._left_out:
            return
        counts, self._left_out = dict(self._left_out), Counter()
        record = logging.makeLogRecord(
            {"levelname": "WARNING", "msg": LINES_LEFT_OUT.name, "counts": counts}
        )
        self._queue(Topic.LIFE, self._line(record))

    def _queue(self, topic: Topic, line: str) -> None:
        if len(self._lines) >= _LONGEST_QUEUE:
            self._leave_out(topic)
            return
        self._lines.append(line)
        self._wake.set()

    def _leave_out(self, topic: Topic) -> None:
        self._left_out[topic.value] += 1
        self.dropped[topic.value] += 1

    def _line(self, record: logging.LogRecord) -> str:
        content: dict[str, object] = {
            "time": self._clock.now().isoformat(timespec="milliseconds"),
            "at": round(self._clock.monotonic(), 4),
            "level": record.levelname.lower(),
            "daemon": self._daemon,
            "event": record.getMessage(),
        }
        for name, value in record.__dict__.items():
            if name not in _STANDARD_FIELDS:
                content[name] = value
        if record.exc_info:
            content["exception"] = logging.Formatter().formatException(record.exc_info)
        return json.dumps(content, separators=(",", ":"), default=str)[:_LONGEST_LINE]

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            if not self._write_waiting():
                return
            if self._closed:
                return

    def _write_waiting(self) -> bool:
        """Write what waits; return False when nobody can read it any more."""
        try:
            while self._lines:
                self._stream.write(self._lines.popleft() + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The reader is gone, and with it every place to report that to; lines are counted.
            return False
        return True


def configure_bounded_logging(
    level: str, daemon: str, stream: TextIO, clock: Clock, lines_per_second: int
) -> BoundedJsonHandler:
    """Send every record of this process through one bounded handler."""
    handler = BoundedJsonHandler(stream, daemon, clock, lines_per_second)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return handler
