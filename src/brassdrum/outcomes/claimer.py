"""Claim idempotency keys in the platform's log before requests are dispatched."""

from __future__ import annotations

import hashlib
import logging
import math
import re
import threading
import uuid
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass

import xxhash

from brassdrum.clock import Clock
from brassdrum.contracts.records import claim_stream
from brassdrum.errors import (
    ClaimUnavailableError,
    KeyExpiredError,
    KeyReusedError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    RequestInProgressError,
)
from brassdrum.logservice.log import Log, LogPage
from brassdrum.logservice.tail import Tail
from brassdrum.outcomes.appender import BatchAppender
from brassdrum.outcomes.claims import (
    AbandonRecord,
    Claim,
    ClaimFold,
    ClaimKey,
    ClaimRecord,
    ClaimState,
    OutcomeRecord,
)

__all__ = ["Claimer", "ShardedClaims", "GrantedClaim", "request_fingerprint", "uuid7_timestamp"]

_logger = logging.getLogger(__name__)
_CLAIM_TIMEOUT_SECONDS = 2.0
_POLL_SECONDS = 0.05
_OUTCOME_WAIT_SECONDS = 1.0
_REWRITE_SECONDS = 2.0  # for all daemons to rewrite claims that a restored log lacks
_IN_PROGRESS_RETRY_SECONDS = 1.0
_LOG_UNAVAILABLE_RETRY_SECONDS = 5.0
_MAX_BODY_BYTES = 32 * 1024
_UUID7 = re.compile(r"^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$", re.I)


@dataclass(frozen=True, slots=True)
class GrantedClaim:
    """A claim that holds its key; its request may be dispatched."""

    claim_id: str


def request_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a digest that must be equal for all requests with the same key."""
    digest = hashlib.sha256(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def uuid7_timestamp(key: str) -> float | None:
    """Return the timestamp of a UUIDv7 key in epoch seconds, or None for other keys."""
    if not _UUID7.match(key):
        return None
    return int(key.replace("-", "")[:12], 16) / 1000.0


class Claimer:
    """Claims keys of one shard."""

    def __init__(
        self, log: Log, shard: int, daemon: str, clock: Clock, window_seconds: float
    ) -> None:
        self._daemon = daemon
        self._clock = clock
        self._changed = threading.Condition()
        self.fold = ClaimFold(window_seconds)
        self.appender = BatchAppender(log, claim_stream(shard), clock)
        self._refuse_until = -math.inf
        # Ids read while a restored log is read again, to find missing claims; otherwise None.
        self._ids_since_restore: set[str] | None = None
        self.tail = Tail(
            log,
            claim_stream(shard),
            clock,
            self._next_offset,
            self._apply,
            on_restored=self._on_restored,
        )

    def claim(
        self, key: ClaimKey, fingerprint: str, deadline: float
    ) -> GrantedClaim | OutcomeRecord:
        """Claim the key, or return the outcome of the first request with this key.

        Raises ``KeyReusedError``, ``RequestInProgressError`` or ``OutcomeUnknownError`` if another
        claim holds the key, and ``ClaimUnavailableError`` if the log is unavailable. In all these
        cases this request was not run.
        """
        if not self.tail.log_available or not self.tail.caught_up:
            raise ClaimUnavailableError(
                "The log is unavailable; the request was not run.",
                retry_after=_LOG_UNAVAILABLE_RETRY_SECONDS,
            )
        left = self._refuse_until - self._clock.monotonic()
        if left > 0:
            raise ClaimUnavailableError(
                "The log was restored from a copy and claims are being rewritten; the request was "
                "not run.",
                retry_after=left,
            )
        existing = self._conflicting_claim(key)
        if existing is not None:
            return self._resolve_conflict(existing, fingerprint)
        claim_id = str(uuid.uuid4())
        record = ClaimRecord(
            format=1,
            kind="claim",
            id=claim_id,
            organisation=key.organisation,
            key=key.key,
            fingerprint=fingerprint,
            daemon=self._daemon,
            deadline=deadline,
        )
        if not self._append_claim(record):
            self.abandon(claim_id)
            raise ClaimUnavailableError(
                "The log did not confirm the claim in time; the request was not run.",
                retry_after=_LOG_UNAVAILABLE_RETRY_SECONDS,
            )
        with self._changed:
            if self.fold.holds(claim_id):
                return GrantedClaim(claim_id)
        existing = self._conflicting_claim(key)
        if existing is None:
            raise ClaimUnavailableError(
                "The claim was abandoned or has expired; the request was not run.",
                retry_after=_POLL_SECONDS,
            )
        return self._resolve_conflict(existing, fingerprint)

    def abandon(self, claim_id: str) -> None:
        """Abandon a claim under which nothing was dispatched."""
        record = AbandonRecord(format=1, kind="abandon", id=claim_id)
        self.appender.append_lazy(record.model_dump())

    def finish(self, claim_id: str, status: int, content_type: str, body: bytes | None) -> None:
        """Record the response to a claimed request; a large body is not stored."""
        text = None
        if body is not None and len(body) <= _MAX_BODY_BYTES:
            text = body.decode("utf-8", "replace")
        record = OutcomeRecord(
            format=1,
            kind="outcome",
            id=claim_id,
            status=status,
            content_type=content_type,
            body=text,
        )
        self.appender.append_lazy(record.model_dump())

    def _append_claim(self, record: ClaimRecord) -> bool:
        time_limit = self._clock.monotonic() + _CLAIM_TIMEOUT_SECONDS
        value = record.model_dump()
        future = self.appender.append_urgent(value)
        while True:
            left = time_limit - self._clock.monotonic()
            if left <= 0:
                return False
            if self._wait_until_read(record.id, min(left, _POLL_SECONDS)):
                return True
            try:
                future.result(0)
            except FutureTimeout:
                continue
            except PlatformUnavailableError:
                # The append may have succeeded: read the log before retrying the same record.
                if self._wait_until_read(record.id, min(left, _POLL_SECONDS)):
                    return True
                future = self.appender.append_urgent(value)

    def _wait_until_read(self, claim_id: str, seconds: float) -> bool:
        with self._changed:
            return self._changed.wait_for(lambda: self.fold.get(claim_id) is not None, seconds)

    def _conflicting_claim(self, key: ClaimKey) -> Claim | None:
        """Return the claim that holds a key, after waiting briefly for its outcome."""
        with self._changed:
            existing = self.fold.by_key.get(key)
            if existing is None or existing.state is ClaimState.ABANDONED:
                return None
            self._changed.wait_for(
                lambda: existing.state is not ClaimState.CLAIMED, _OUTCOME_WAIT_SECONDS
            )
            return None if existing.state is ClaimState.ABANDONED else existing

    def _resolve_conflict(self, existing: Claim, fingerprint: str) -> OutcomeRecord:
        if existing.fingerprint != fingerprint:
            raise KeyReusedError("The Idempotency-Key was already used for a different request.")
        if existing.state is ClaimState.DONE and existing.outcome is not None:
            if existing.outcome.body is not None:
                return existing.outcome
            raise OutcomeUnknownError(
                f"The first request ran and returned status {existing.outcome.status}; "
                "the response was too large to store."
            )
        if existing.deadline > self._clock.now().timestamp():
            raise RequestInProgressError(
                "The first request with this key is still in progress.",
                retry_after=_IN_PROGRESS_RETRY_SECONDS,
            )
        raise OutcomeUnknownError(
            "The first request with this key may have run; its response is unknown."
        )

    def _next_offset(self) -> int:
        return self.fold.next_offset

    def _apply(self, page: LogPage) -> None:
        with self._changed:
            # Truncated records have expired: the window is shorter than the log's retention.
            self.fold.next_offset = max(self.fold.next_offset, page.earliest_offset)
            for record in page.records:
                self.fold.apply(record.offset, record.time, record.value)
                if self._ids_since_restore is not None and isinstance(record.value, dict):
                    self._ids_since_restore.add(str(record.value.get("id")))
            if self._ids_since_restore is not None and page.next_offset >= page.end_offset:
                self._rewrite_missing(self._ids_since_restore)
                self._ids_since_restore = None
            self._changed.notify_all()

    def _on_restored(self, _page: LogPage) -> None:
        """Read a restored log from the start, keeping the claims known so far."""
        with self._changed:
            self._refuse_until = self._clock.monotonic() + _REWRITE_SECONDS
            self._ids_since_restore = set()
            self.fold.next_offset = 0

    def _rewrite_missing(self, seen: set[str]) -> None:
        """Append claims that hold keys, and their outcomes, if the restored log lacks them.

        Every daemon does so; duplicate records have no effect. Claims that do not hold their key
        are left out, since the first one in the log would win.
        """
        missing = [claim for claim in self.fold.by_key.values() if claim.id not in seen]
        for claim in missing:
            self.appender.append_lazy(claim.record().model_dump())
            if claim.outcome is not None:
                self.appender.append_lazy(claim.outcome.model_dump())
        _logger.warning("missing claims rewritten after log restore", extra={"count": len(missing)})


class ShardedClaims:
    """Claimers for all shards; keys are assigned by hash."""

    def __init__(
        self, log: Log, shards: int, daemon: str, clock: Clock, window_seconds: float
    ) -> None:
        self._clock = clock
        self.window_seconds = window_seconds
        self.shards = [
            Claimer(log, shard, daemon, clock, window_seconds) for shard in range(shards)
        ]

    def set_window(self, seconds: float) -> None:
        """Set how long keys are retained."""
        self.window_seconds = seconds
        for shard in self.shards:
            shard.fold.window_seconds = seconds

    def claimer_for(self, key: ClaimKey) -> Claimer:
        """Return the claimer for a key; raise ``KeyExpiredError`` for an expired UUIDv7 key."""
        created_at = uuid7_timestamp(key.key)
        if (
            created_at is not None
            and created_at + self.window_seconds < self._clock.now().timestamp()
        ):
            raise KeyExpiredError(
                "The Idempotency-Key is older than the retention window for keys."
            )
        digest = xxhash.xxh3_64_intdigest(f"{key.organisation}\0{key.key}".encode())
        return self.shards[digest % len(self.shards)]
