"""Claims on idempotency keys, decided by the order of records in a claim stream."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from brassdrum.charts import load_chart
from brassdrum.contracts.records import NewerFormatError, UnreadableRecordError

__all__ = [
    "AbandonRecord",
    "Claim",
    "ClaimFold",
    "ClaimKey",
    "ClaimRecord",
    "ClaimState",
    "OutcomeRecord",
    "parse_claim_record",
]


class _RecordModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


ClaimId = Annotated[str, Field(min_length=8, max_length=64)]


class ClaimRecord(_RecordModel):
    """Claim of an organisation's key, written before the request is dispatched."""

    format: Literal[1]
    kind: Literal["claim"]
    id: ClaimId
    organisation: str
    key: str
    fingerprint: str
    daemon: str
    deadline: float


class AbandonRecord(_RecordModel):
    """Withdrawal of a claim under which nothing was dispatched."""

    format: Literal[1]
    kind: Literal["abandon"]
    id: ClaimId


class OutcomeRecord(_RecordModel):
    """Response to a claimed request; ``body`` is None if it exceeds the size limit."""

    format: Literal[1]
    kind: Literal["outcome"]
    id: ClaimId
    status: int
    content_type: str
    body: str | None


_RECORD_ADAPTER: TypeAdapter[ClaimRecord | AbandonRecord | OutcomeRecord] = TypeAdapter(
    Annotated[ClaimRecord | AbandonRecord | OutcomeRecord, Field(discriminator="kind")]
)


def parse_claim_record(value: object) -> ClaimRecord | AbandonRecord | OutcomeRecord:
    """Return a claim-stream record, or raise ``UnreadableRecordError`` or ``NewerFormatError``."""
    if isinstance(value, dict) and isinstance(value.get("format"), int) and value["format"] > 1:
        raise NewerFormatError(f"claim record format {value['format']}")
    try:
        return _RECORD_ADAPTER.validate_python(value)
    except ValidationError as error:
        raise UnreadableRecordError(str(error.errors(include_url=False)[0]["msg"])) from error


_CHART = load_chart("claim")


class ClaimState(StrEnum):
    """States of a claim; ``charts/claim.json`` defines the transitions."""

    UNCLAIMED = "unclaimed"
    CLAIMED = "claimed"
    ABANDONED = "abandoned"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """An idempotency key, scoped to its organisation."""

    organisation: str
    key: str


@dataclass(slots=True)
class Claim:
    """A claim on a key; the first claim in the log wins.

    ``claimed_at`` is the time that the log assigned to the record.
    """

    id: str
    key: ClaimKey
    fingerprint: str
    daemon: str
    deadline: float
    claimed_at: float
    state: ClaimState = ClaimState.UNCLAIMED
    outcome: OutcomeRecord | None = None

    def record(self) -> ClaimRecord:
        """Return this claim as a log record."""
        return ClaimRecord(
            format=1,
            kind="claim",
            id=self.id,
            organisation=self.key.organisation,
            key=self.key.key,
            fingerprint=self.fingerprint,
            daemon=self.daemon,
            deadline=self.deadline,
        )

    def apply_trigger(self, trigger: str) -> bool:
        """Make the transition for a trigger; return False if the state has none."""
        if not _CHART.allows(self.state, trigger):
            return False
        self.state = ClaimState(_CHART.next(self.state, trigger))
        return True


@dataclass(slots=True)
class ClaimFold:
    """The state of all claims, computed from the records of one stream.

    Claims expire by the timestamps that the log assigned, so daemons' clocks do not matter.
    """

    window_seconds: float
    next_offset: int = 0
    skipped_count: int = 0
    needs_upgrade: str | None = None
    by_key: dict[ClaimKey, Claim] = field(default_factory=dict)
    _by_id: OrderedDict[str, Claim] = field(default_factory=OrderedDict)
    _abandoned_before_claim: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._by_id)

    def apply(self, offset: int, time: float, value: object) -> None:
        """Apply a record; unreadable records are counted and skipped."""
        if offset < self.next_offset or self.needs_upgrade is not None:
            return
        self._expire(time)
        try:
            record = parse_claim_record(value)
        except NewerFormatError as error:
            self.needs_upgrade = str(error)
            return
        except UnreadableRecordError:
            self.skipped_count += 1
            self.next_offset = offset + 1
            return
        self.next_offset = offset + 1
        if isinstance(record, ClaimRecord):
            self._apply_claim(time, record)
            return
        if isinstance(record, AbandonRecord):
            self._apply_abandon(time, record)
            return
        self._apply_outcome(record)

    def get(self, claim_id: str) -> Claim | None:
        """Return a claim by its id, whether or not it holds its key, or None if it is unknown."""
        return self._by_id.get(claim_id)

    def holds(self, claim_id: str) -> bool:
        """Return whether this claim holds its key and may dispatch the request."""
        claim = self._by_id.get(claim_id)
        if claim is None or claim.state is not ClaimState.CLAIMED:
            return False
        return self.by_key.get(claim.key) is claim

    def _expire(self, now: float) -> None:
        while self._by_id:
            claim = next(iter(self._by_id.values()))
            if claim.claimed_at + self.window_seconds > now:
                break
            self._by_id.popitem(last=False)
            if self.by_key.get(claim.key) is claim:
                del self.by_key[claim.key]
        while self._abandoned_before_claim:
            if next(iter(self._abandoned_before_claim.values())) + self.window_seconds > now:
                break
            self._abandoned_before_claim.popitem(last=False)

    def _apply_claim(self, time: float, record: ClaimRecord) -> None:
        if record.id in self._by_id:
            return
        key = ClaimKey(record.organisation, record.key)
        claim = Claim(record.id, key, record.fingerprint, record.daemon, record.deadline, time)
        self._by_id[record.id] = claim
        if self._abandoned_before_claim.pop(record.id, None) is not None:
            # The record was appended after its daemon abandoned the claim.
            claim.apply_trigger("abandon")
        claim.apply_trigger("claim")
        if claim.state is ClaimState.ABANDONED:
            return
        holder = self.by_key.get(key)
        if holder is None or holder.state is ClaimState.ABANDONED:
            self.by_key[key] = claim

    def _apply_abandon(self, time: float, record: AbandonRecord) -> None:
        claim = self._by_id.get(record.id)
        if claim is None:
            self._abandoned_before_claim[record.id] = time
            return
        claim.apply_trigger("abandon")

    def _apply_outcome(self, record: OutcomeRecord) -> None:
        claim = self._by_id.get(record.id)
        if claim is not None and claim.apply_trigger("finish"):
            claim.outcome = record
