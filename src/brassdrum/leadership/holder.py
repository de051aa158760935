"""Acquire and renew the lease of one duty through the control stream."""

from __future__ import annotations

import logging
import uuid
from collections import OrderedDict
from collections.abc import Callable

from brassdrum.clock import Clock
from brassdrum.contracts.records import CONTROL_STREAM, LeaseRecord
from brassdrum.errors import PlatformUnavailableError
from brassdrum.leadership.lease import Lease, LeaseExpiryDetector
from brassdrum.logservice.log import Log

__all__ = ["LeaseManager"]

_logger = logging.getLogger(__name__)
_RENEWALS_PER_TERM = 3
_MAX_TRACKED_RECORDS = 32


class LeaseManager:
    """Claims a duty whose lease has expired, renews the lease and tracks its expiry."""

    def __init__(
        self,
        duty: str,
        daemon: str,
        log: Log,
        clock: Clock,
        current_lease: Callable[[], Lease | None],
        is_log_available: Callable[[], bool],
        term_seconds: float,
    ) -> None:
        self._duty = duty
        self._daemon = daemon
        self._log = log
        self._clock = clock
        self._current_lease = current_lease
        self._is_log_available = is_log_available
        self._term_seconds = term_seconds
        self._expiry_detector = LeaseExpiryDetector()
        self._sent_at_by_offset: OrderedDict[int, float] = OrderedDict()
        self._last_sent_at = float("-inf")

    def fencing_token(self) -> int | None:
        """Return the fencing token while this daemon holds the lease, or None.

        The term runs from before the last accepted record was sent. A record whose append was not
        confirmed does not extend it, although other daemons may see that record.
        """
        lease = self._current_lease()
        if lease is None or lease.holder != self._daemon:
            return None
        sent_at = self._sent_at_by_offset.get(lease.last_offset)
        if sent_at is None or self._clock.monotonic() - sent_at >= self._term_seconds:
            return None
        return lease.fencing_token

    def step(self) -> None:
        """Renew the lease or claim the duty if due."""
        now = self._clock.monotonic()
        lease = self._current_lease()
        if lease is not None and lease.holder == self._daemon:
            if now - self._last_sent_at >= self._term_seconds / _RENEWALS_PER_TERM:
                self._append_record("renew", lease)
            return
        if self._expiry_detector.may_claim(
            self._duty, lease, now, log_available=self._is_log_available()
        ):
            if now - self._last_sent_at < self._term_seconds / _RENEWALS_PER_TERM:
                return
            self._append_record("claim", lease)

    def release(self) -> None:
        """Release the lease, so that another daemon can claim the duty before the term ends."""
        lease = self._current_lease()
        if lease is not None and lease.holder == self._daemon:
            self._append_record("release", lease)

    def _append_record(self, action: str, lease: Lease | None) -> None:
        record = LeaseRecord(
            format=1,
            kind="lease",
            id=str(uuid.uuid4()),
            duty=self._duty,
            holder=self._daemon,
            action=action,  # type: ignore[arg-type]
            previous=-1 if lease is None else lease.last_offset,
            term_seconds=self._term_seconds,
        )
        self._last_sent_at = self._clock.monotonic()
        try:
            offset = self._log.append(CONTROL_STREAM, [record.model_dump()])
        except PlatformUnavailableError as error:
            _logger.warning(
                "append of lease record not confirmed",
                extra={"duty": self._duty, "reason": str(error)},
            )
            return
        self._sent_at_by_offset[offset] = self._last_sent_at
        if len(self._sent_at_by_offset) > _MAX_TRACKED_RECORDS:
            self._sent_at_by_offset.popitem(last=False)
