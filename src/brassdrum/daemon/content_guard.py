"""Keep prompts and calls that end endpoints away from them; every method may run on any thread."""

from __future__ import annotations

import logging
import math
import threading
import zlib
from collections.abc import Collection, Iterable

from brassdrum.clock import Clock
from brassdrum.errors import ContentQuarantinedError
from brassdrum.membership.peer_pb2 import DaemonEntry, EndedContent, SeenEndpointEnd
from brassdrum.outcomes.charging import SOON_SECONDS
from brassdrum.outcomes.quarantine import ContentStatus, CrashReport, ObservedCrash, Quarantine

__all__ = ["ContentGuard"]

_logger = logging.getLogger(__name__)
# Rounds of gossip are seconds apart in large fleets (12.8 s at 320 daemons): news are told longer.
_REPORT_SECONDS = 60.0
# An endpoint keeps its name when it starts again. An end is named by it and the time of its first
# sign, in steps of this, so that all daemons name it alike; it lasts until an answer comes.
_CRASH_KEY_PERIOD_SECONDS = 2.0
# Twice the endpoints of the largest fleet that is planned for.
_MAX_CRASH_KEYS = 1200
_MS_PER_SECOND = 1000.0


class ContentGuard:
    """Decide on requests by what became of endpoints under their contents."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._quarantine = Quarantine(_REPORT_SECONDS)
        self._lock = threading.Lock()
        self._crash_key_by_endpoint: dict[str, int] = {}

    def check(self, content: str, own_ends: Collection[int] = ()) -> None:
        """Raise ``ContentQuarantinedError`` for a content that is refused; wait to be sure.

        ``own_ends`` are those that ``ended`` named to this very request.
        """
        while True:
            with self._lock:
                now = self._clock.monotonic()
                standing = self._quarantine.status(content, now, own_ends)
                wait = self._quarantine.seconds_until_decided(content, now, own_ends)
                left = self._quarantine.seconds_left(content, now)
            if standing is not ContentStatus.UNDECIDED:
                break
            self._clock.sleep(wait)
        if standing is ContentStatus.QUARANTINED:
            _logger.warning(
                "content refused", extra={"content": content, "seconds_left": round(left, 1)}
            )
            raise ContentQuarantinedError(
                "Requests with this content end the endpoints that run them.", retry_after=left
            )

    def is_suspect(self, content: str, own_ends: Collection[int] = ()) -> bool:
        """Return whether a request is to be sent alone; ``own_ends`` as for ``check``."""
        with self._lock:
            standing = self._quarantine.status(content, self._clock.monotonic(), own_ends)
        return standing is ContentStatus.SUSPECT

    def record_crash(self, content: str, endpoint: str, placed_at: float = -math.inf) -> int:
        """Note that an endpoint ended while it had a request with the content; name the end."""
        with self._lock:
            now = self._clock.monotonic()
            key = self._crash_key_by_endpoint.get(endpoint)
            if key is None:
                period = int(self._clock.now().timestamp() // _CRASH_KEY_PERIOD_SECONDS)
                key = zlib.crc32(f"{endpoint}@{period}".encode())
                self._crash_key_by_endpoint[endpoint] = key
                while len(self._crash_key_by_endpoint) > _MAX_CRASH_KEYS:
                    del self._crash_key_by_endpoint[next(iter(self._crash_key_by_endpoint))]
            self._quarantine.record_crash(content, key, now, soon=now - placed_at < SOON_SECONDS)
        _logger.warning("endpoint ended", extra={"endpoint": endpoint, "content": content})
        return key

    def record_response(self, endpoint: str) -> None:
        """Note that an endpoint answers: what comes next is another end."""
        with self._lock:
            self._crash_key_by_endpoint.pop(endpoint, None)

    def record_served(self, content: str) -> None:
        """Note a whole answer."""
        with self._lock:
            cleared = self._quarantine.record_served(content, self._clock.monotonic())
        if cleared:
            _logger.info("content cleared", extra={"content": content})

    def fill_entry(self, entry: DaemonEntry) -> None:
        """Fill in what this daemon tells of contents in a round."""
        with self._lock:
            words = self._quarantine.reports(self._clock.monotonic())
        del entry.ended_contents[:]
        entry.ended_contents.extend(map(_encode_report, words))

    def merge_entries(self, entries: Iterable[DaemonEntry]) -> None:
        """Take in what others tell."""
        words = [_decode_report(each) for entry in entries for each in entry.ended_contents]
        if not words:
            return
        with self._lock:
            self._quarantine.merge_reports(words, self._clock.monotonic())


def _encode_report(word: CrashReport) -> EndedContent:
    told = EndedContent(
        content=bytes.fromhex(word.content),
        ends=[
            SeenEndpointEnd(
                endpoint=end.endpoint, age_milliseconds=int(end.age * _MS_PER_SECOND), soon=end.soon
            )
            for end in word.crashes
        ],
    )
    if word.served_age is not None:
        told.served_age_milliseconds = int(word.served_age * _MS_PER_SECOND)
    return told


def _decode_report(told: EndedContent) -> CrashReport:
    ends = tuple(
        ObservedCrash(each.endpoint, each.age_milliseconds / _MS_PER_SECOND, each.soon)
        for each in told.ends
    )
    served = told.served_age_milliseconds / _MS_PER_SECOND
    known = told.HasField("served_age_milliseconds")
    return CrashReport(told.content.hex(), ends, served if known else None)
