"""Claim idempotency keys in the platform's log before a request is dispatched."""

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
# After the log came back from a copy all daemons have written the claims that it lacks within this.
_REWRITE_SECONDS = 2.0
_IN_PROGRESS_RETRY_SECONDS = 1.0
_LOG_UNAVAILABLE_RETRY_SECONDS = 5.0
_MAX_BODY_BYTES = 32 * 1024
_UUID7 = re.compile(r"^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$", re.I)


@dataclass(frozen=True, slots=True)
class GrantedClaim:
    """Hold a claim that may dispatch its request."""

    claim_id: str


def request_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return what two requests with one key must share."""
    digest = hashlib.sha256(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def uuid7_timestamp(key: str) -> float | None:
    """Return when a UUIDv7 key was made, in seconds since the epoch; other keys do not tell."""
    if not _UUID7.match(key):
        return None
    return int(key.replace("-", "")[:12], 16) / 1000.0


class Claimer:
    """Claim the keys of one shard."""

    def __init__(
        self, log: Log, shard: int, daemon: str, clock: Clock, window_seconds: float
    ) -> None:
        self._daemon = daemon
        self._clock = clock
        self._changed = threading.Condition()
        self.fold = ClaimFold(window_seconds)
        self.appender = BatchAppender(log, claim_stream(shard), clock)
        self._refuse_until = -math.inf
        # Claims seen since the log came back from a copy, until those that it lacks are written.
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
        """Win the key, or return the first request's outcome.

        Raises ``KeyReusedError``, ``RequestInProgressError`` or ``OutcomeUnknownError`` when
        another claim holds the key, ``ClaimUnavailableError`` when the log does not answer;
        nothing ran for this request.
        """
        if not self.tail.answers or not self.tail.caught_up:
            raise ClaimUnavailableError(
                "The log does not answer; the request was not run.",
                retry_after=_LOG_UNAVAILABLE_RETRY_SECONDS,
            )
        left = self._refuse_until - self._clock.monotonic()
        if left > 0:
            raise ClaimUnavailableError(
                "The log came back from a copy and claims are written again; the request was "
                "not run.",
                retry_after=left,
            )
        held = self._conflicting_claim(key)
        if held is not None:
            return self._resolve_conflict(held, fingerprint)
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
        held = self._conflicting_claim(key)
        if held is None:
            raise ClaimUnavailableError("The claim has lapsed.", retry_after=_POLL_SECONDS)
        return self._resolve_conflict(held, fingerprint)

    def abandon(self, claim_id: str) -> None:
        """Give up a claim under which nothing was dispatched."""
        record = AbandonRecord(format=1, kind="abandon", id=claim_id)
        self.appender.append_lazy(record.model_dump())

    def finish(self, claim_id: str, status: int, content_type: str, body: bytes | None) -> None:
        """Keep the answer; a large body is left out and later callers learn only that it ran."""
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
        limit = self._clock.monotonic() + _CLAIM_TIMEOUT_SECONDS
        value = record.model_dump()
        future = self.appender.append_urgent(value)
        while True:
            left = limit - self._clock.monotonic()
            if left <= 0:
                return False
            if self._wait_until_read(record.id, min(left, _POLL_SECONDS)):
                return True
            try:
                future.result(0)
            except FutureTimeout:
                continue
            except PlatformUnavailableError:
                # Its answer may be lost only: look first, then append the same record again.
                if self._wait_until_read(record.id, min(left, _POLL_SECONDS)):
                    return True
                future = self.appender.append_urgent(value)

    def _wait_until_read(self, claim_id: str, seconds: float) -> bool:
        with self._changed:
            return self._changed.wait_for(lambda: self.fold.get(claim_id) is not None, seconds)

    def _conflicting_claim(self, key: ClaimKey) -> Claim | None:
        """Return the claim that holds a key, given a moment to finish."""
        with self._changed:
            held = self.fold.by_key.get(key)
            if held is None or held.state is ClaimState.ABANDONED:
                return None
            self._changed.wait_for(
                lambda: held.state is not ClaimState.CLAIMED, _OUTCOME_WAIT_SECONDS
            )
            return None if held.state is ClaimState.ABANDONED else held

    def _resolve_conflict(self, held: Claim, fingerprint: str) -> OutcomeRecord:
        if held.fingerprint != fingerprint:
            raise KeyReusedError("The Idempotency-Key came with another request before.")
        if held.state is ClaimState.DONE and held.outcome is not None:
            if held.outcome.body is not None:
                return held.outcome
            raise OutcomeUnknownError(
                f"The first request ran and was answered with status {held.outcome.status}; "
                "its answer was too large to keep."
            )
        if held.deadline > self._clock.now().timestamp():
            raise RequestInProgressError(
                "The first request with this key has not finished.",
                retry_after=_IN_PROGRESS_RETRY_SECONDS,
            )
        raise OutcomeUnknownError(
            "The first request with this key may have run; its answer was lost."
        )

    def _next_offset(self) -> int:
        return self.fold.next_offset

    def _apply(self, page: LogPage) -> None:
        with self._changed:
            # Records that the log forgot are older than the window, which is below retention.
            self.fold.next_offset = max(self.fold.next_offset, page.earliest)
            for record in page.records:
                self.fold.apply(record.offset, record.time, record.value)
                if self._ids_since_restore is not None and isinstance(record.value, dict):
                    self._ids_since_restore.add(str(record.value.get("id")))
            if self._ids_since_restore is not None and page.next_offset >= page.end:
                self._rewrite_missing(self._ids_since_restore)
                self._ids_since_restore = None
            self._changed.notify_all()

    def _on_restored(self, _page: LogPage) -> None:
        """Read the log anew after it came back from a copy; nothing that is known is forgotten."""
        with self._changed:
            self._refuse_until = self._clock.monotonic() + _REWRITE_SECONDS
            self._ids_since_restore = set()
            self.fold.next_offset = 0

    def _rewrite_missing(self, seen: set[str]) -> None:
        """Append the claims that hold keys, and their outcomes, where the copy lacks them.

        All daemons that know them do; a repeated record is harmless. Claims that lost are left out:
        the first one in the log wins.
        """
        lost = [claim for claim in self.fold.by_key.values() if claim.id not in seen]
        for claim in lost:
            self.appender.append_lazy(claim.record().model_dump())
            if claim.outcome is not None:
                self.appender.append_lazy(claim.outcome.model_dump())
        _logger.warning("claims written again", extra={"count": len(lost)})


class ShardedClaims:
    """Spread keys over shards."""

    def __init__(
        self, log: Log, shards: int, daemon: str, clock: Clock, window_seconds: float
    ) -> None:
        self._clock = clock
        self.window_seconds = window_seconds
        self.shards = [
            Claimer(log, shard, daemon, clock, window_seconds) for shard in range(shards)
        ]

    def set_window(self, seconds: float) -> None:
        """Change how long keys are kept."""
        self.window_seconds = seconds
        for shard in self.shards:
            shard.fold.window_seconds = seconds

    def claimer_for(self, key: ClaimKey) -> Claimer:
        """Return the claimer of a key, or raise ``KeyExpiredError`` when it tells its age."""
        made = uuid7_timestamp(key.key)
        if made is not None and made + self.window_seconds < self._clock.now().timestamp():
            raise KeyExpiredError(
                "The Idempotency-Key is older than the window in which keys are kept."
            )
        digest = xxhash.xxh3_64_intdigest(f"{key.organisation}\0{key.key}".encode())
        return self.shards[digest % len(self.shards)]
