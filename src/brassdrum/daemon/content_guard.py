"""Thread-safe quarantine of request contents that crash endpoints."""

from __future__ import annotations

import logging
import math
import threading
import zlib
from collections.abc import Collection, Iterable

from brassdrum.clock import Clock
from brassdrum.errors import ContentQuarantinedError
from brassdrum.membership.peer_pb2 import DaemonEntry, EndedContent, SeenEndpointEnd
from brassdrum.outcomes.crash_evidence import SOON_SECONDS
from brassdrum.outcomes.crash_reports import CrashReport, ObservedCrash
from brassdrum.outcomes.fingerprint import ALL_CALLERS, RequestTraits
from brassdrum.outcomes.quarantine import ContentStatus, Quarantine

__all__ = ["ContentGuard"]

_logger = logging.getLogger(__name__)
# Several gossip rounds of a large fleet (12.8 s each with 320 daemons).
_REPORT_SECONDS = 60.0
# A crash is keyed by the endpoint's name and the period in which it was detected, so that daemons
# agree on the key although a restarted endpoint keeps its name.
_CRASH_KEY_PERIOD_SECONDS = 2.0
# Twice the number of endpoints in the largest supported fleet.
_MAX_CRASH_KEYS = 1200
_MS_PER_SECOND = 1000.0


class ContentGuard:
    """Decides on requests by the crashes at which their contents were in flight."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._quarantine = Quarantine(_REPORT_SECONDS)
        self._lock = threading.Lock()
        self._crash_key_by_endpoint: dict[str, int] = {}

    def check(self, traits: RequestTraits, own_crashes: Collection[int] = ()) -> None:
        """Wait for pending reports, then raise ``ContentQuarantinedError`` if quarantined.

        ``own_crashes`` are the crash keys that ``record_crash`` returned for the same request.
        """
        while True:
            with self._lock:
                now = self._clock.monotonic()
                judgement = self._quarantine.judge(traits, now, own_crashes)
            if judgement.status is not ContentStatus.UNDECIDED:
                break
            self._clock.sleep(judgement.seconds)
        if judgement.status is ContentStatus.QUARANTINED:
            _logger.warning(
                "content refused",
                extra={
                    "content": traits.content,
                    "causes": list(judgement.causes),
                    "seconds_left": round(judgement.seconds, 1),
                },
            )
            raise ContentQuarantinedError(
                "Requests with this content or part crash the endpoints that run them.",
                retry_after=judgement.seconds,
            )

    def is_suspect(self, traits: RequestTraits, own_crashes: Collection[int] = ()) -> bool:
        """Return whether a request needs an idle endpoint; ``own_crashes`` as for ``check``."""
        with self._lock:
            status = self._quarantine.status(traits, self._clock.monotonic(), own_crashes)
        return status is ContentStatus.SUSPECT

    def record_crash(
        self, traits: RequestTraits, endpoint: str, placed_at: float = -math.inf
    ) -> int:
        """Record a crash with a request in flight and return the key of the crash."""
        with self._lock:
            now = self._clock.monotonic()
            key = self._crash_key_by_endpoint.get(endpoint)
            if key is None:
                period = int(self._clock.now().timestamp() // _CRASH_KEY_PERIOD_SECONDS)
                key = zlib.crc32(f"{endpoint}@{period}".encode())
                self._crash_key_by_endpoint[endpoint] = key
                while len(self._crash_key_by_endpoint) > _MAX_CRASH_KEYS:
                    del self._crash_key_by_endpoint[next(iter(self._crash_key_by_endpoint))]
            self._quarantine.record_crash(traits, key, now, soon=now - placed_at < SOON_SECONDS)
        _logger.warning("endpoint ended", extra={"endpoint": endpoint, "content": traits.content})
        return key

    def record_response(self, endpoint: str) -> None:
        """Record that an endpoint responds; its next crash gets a new key."""
        with self._lock:
            self._crash_key_by_endpoint.pop(endpoint, None)

    def record_served(self, traits: RequestTraits) -> None:
        """Record a complete response."""
        with self._lock:
            cleared = self._quarantine.record_served(traits, self._clock.monotonic())
        if cleared:
            _logger.info("content cleared", extra={"content": traits.content})

    def fill_entry(self, entry: DaemonEntry) -> None:
        """Set the crash reports in this daemon's gossip entry."""
        with self._lock:
            reports = self._quarantine.reports(self._clock.monotonic())
        del entry.ended_contents[:]
        entry.ended_contents.extend(map(_encode_report, reports))

    def merge_entries(self, entries: Iterable[DaemonEntry]) -> None:
        """Merge the crash reports of other daemons."""
        reports = [_decode_report(each) for entry in entries for each in entry.ended_contents]
        if not reports:
            return
        with self._lock:
            self._quarantine.merge_reports(reports, self._clock.monotonic())


def _encode_report(report: CrashReport) -> EndedContent:
    message = EndedContent(
        content=bytes.fromhex(report.trait),
        ends=[
            SeenEndpointEnd(
                endpoint=crash.endpoint,
                age_milliseconds=int(crash.age * _MS_PER_SECOND),
                soon=crash.soon,
                callers=crash.callers,
            )
            for crash in report.crashes
        ],
    )
    if report.served_age is not None:
        message.served_age_milliseconds = int(report.served_age * _MS_PER_SECOND)
    return message


def _decode_report(message: EndedContent) -> CrashReport:
    ends = tuple(
        ObservedCrash(
            each.endpoint,
            each.age_milliseconds / _MS_PER_SECOND,
            each.soon,
            callers=each.callers or ALL_CALLERS,
        )
        for each in message.ends
    )
    served = message.served_age_milliseconds / _MS_PER_SECOND
    known = message.HasField("served_age_milliseconds")
    return CrashReport(message.content.hex(), ends, served if known else None)
