"""Hold one duty under a lease in the control stream."""

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

__all__ = ["DutyHolder"]

_logger = logging.getLogger(__name__)
_RENEWALS_PER_TERM = 3
_SENT_KEPT = 32


class DutyHolder:
    """Claim a duty when its holder fell silent, renew it, and know when it has lapsed."""

    def __init__(
        self,
        duty: str,
        daemon: str,
        log: Log,
        clock: Clock,
        lease: Callable[[], Lease | None],
        log_answers: Callable[[], bool],
        term_seconds: float,
    ) -> None:
        self._duty = duty
        self._daemon = daemon
        self._log = log
        self._clock = clock
        self._lease = lease
        self._log_answers = log_answers
        self._term = term_seconds
        self._expiry_detector = LeaseExpiryDetector()
        self._sent_by_offset: OrderedDict[int, float] = OrderedDict()
        self._last_sent = float("-inf")

    def fence(self) -> int | None:
        """Return the fence while the duty is held, or None.

        The term counts from before the last renewal was sent; a renewal whose answer was lost
        does not count, though others may see it.
        """
        lease = self._lease()
        if lease is None or lease.holder != self._daemon:
            return None
        sent = self._sent_by_offset.get(lease.last_offset)
        if sent is None or self._clock.monotonic() - sent >= self._term:
            return None
        return lease.fencing_token

    def step(self) -> None:
        """Renew or claim when it is time."""
        now = self._clock.monotonic()
        lease = self._lease()
        if lease is not None and lease.holder == self._daemon:
            if now - self._last_sent >= self._term / _RENEWALS_PER_TERM:
                self._append("renew", lease)
            return
        if self._expiry_detector.may_claim(
            self._duty, lease, now, log_available=self._log_answers()
        ):
            if now - self._last_sent < self._term / _RENEWALS_PER_TERM:
                return
            self._append("claim", lease)

    def release(self) -> None:
        """Give the duty back, so that another daemon need not wait for the term to lapse."""
        lease = self._lease()
        if lease is not None and lease.holder == self._daemon:
            self._append("release", lease)

    def _append(self, action: str, lease: Lease | None) -> None:
        record = LeaseRecord(
            format=1,
            kind="lease",
            id=str(uuid.uuid4()),
            duty=self._duty,
            holder=self._daemon,
            action=action,  # type: ignore[arg-type]
            previous=-1 if lease is None else lease.last_offset,
            term_seconds=self._term,
        )
        self._last_sent = self._clock.monotonic()
        try:
            offset = self._log.append(CONTROL_STREAM, [record.model_dump()])
        except PlatformUnavailableError as error:
            _logger.warning(
                "lease record not confirmed", extra={"duty": self._duty, "reason": str(error)}
            )
            return
        self._sent_by_offset[offset] = self._last_sent
        if len(self._sent_by_offset) > _SENT_KEPT:
            self._sent_by_offset.popitem(last=False)
