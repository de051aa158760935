"""Keep keyed records of a stand-in store that can come back from a copy."""

from __future__ import annotations

import threading
from collections.abc import Iterable

__all__ = ["CopiedRecords"]

_Records = dict[str, dict[str, bytes]]


class CopiedRecords:
    """Hold the newest record of each key by topic; every method may run on any thread.

    After a return from the copy, records of the topics in ``written_again`` come back with
    ``write_again``, as their writers do it; all others are lost.
    """

    def __init__(self, written_again: Iterable[str]) -> None:
        self.era = 1
        self._written_again = frozenset(written_again)
        self._lock = threading.Lock()
        self._end_by_topic: dict[str, int] = {}
        self._copied_end_by_topic: dict[str, int] = {}
        self._by_topic: _Records = {}
        self._copy: _Records = {}
        self._true: _Records = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record."""
        with self._lock:
            self._count(topic)
            for records in (self._by_topic, self._true):
                records.setdefault(topic, {})[key] = value

    def drop(self, topic: str, key: str) -> None:
        """Let a record lapse."""
        with self._lock:
            self._count(topic)
            for records in (self._by_topic, self._true):
                records.get(topic, {}).pop(key, None)

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest records of a topic."""
        with self._lock:
            return dict(self._by_topic.get(topic, {}))

    def end_offset(self, topic: str) -> int:
        """Return the number of records that were ever appended to a topic."""
        with self._lock:
            return self._end_by_topic.get(topic, 0)

    def keep_copy(self) -> None:
        """Make a copy."""
        with self._lock:
            self._copy = _copied(self._by_topic)
            self._copied_end_by_topic = dict(self._end_by_topic)

    def come_back(self) -> None:
        """Lose what was written since the copy was made."""
        with self._lock:
            self._by_topic = _copied(self._copy)
            self._end_by_topic = dict(self._copied_end_by_topic)
            self.era += 1

    def write_again(self) -> None:
        """Write what writers outside the system have written since."""
        with self._lock:
            for topic in self._written_again:
                self._by_topic[topic] = dict(self._true.get(topic, {}))
                self._count(topic)

    def _count(self, topic: str) -> None:
        self._end_by_topic[topic] = self._end_by_topic.get(topic, 0) + 1


def _copied(by_topic: _Records) -> _Records:
    return {topic: dict(records) for topic, records in by_topic.items()}
