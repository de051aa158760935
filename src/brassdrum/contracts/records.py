"""Validated models of the records in the platform's log (format 1, frozen)."""

from __future__ import annotations

import hashlib
import json
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

__all__ = [
    "CHECKPOINT_STREAM",
    "CLAIM_SHARDS",
    "CONTROL_STREAM",
    "RECORD_FORMAT",
    "Checkpoint",
    "CheckpointDocument",
    "CheckpointDuty",
    "ControlRecord",
    "LeaseRecord",
    "NewerFormatError",
    "PublishedDocument",
    "Publish",
    "UnreadableRecordError",
    "canonical_json",
    "claim_stream",
    "digest_of",
    "parse_checkpoint",
    "parse_control_record",
]

RECORD_FORMAT = 1
CONTROL_STREAM = "control"
CHECKPOINT_STREAM = "checkpoints"
# All daemons must agree on the shard of a key, so the number is no setting of a daemon.
CLAIM_SHARDS = 1


def claim_stream(shard: int) -> str:
    """Return the name of one shard's stream of claims."""
    return f"claims-{shard}"


class UnreadableRecordError(ValueError):
    """Tell that a record is garbage and is skipped."""


class NewerFormatError(ValueError):
    """Tell that a record was written by a newer version of the program."""


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


RecordId = Annotated[str, Field(min_length=8, max_length=64)]


class PublishedDocument(_Strict):
    """Carry one document and the revision that its change was based on."""

    kind: Literal["contract", "configuration"]
    name: str
    base: int = -1
    body: dict[str, object] | None = None


class Publish(_Strict):
    """Ask for documents to be accepted, all or none."""

    format: Literal[1]
    kind: Literal["publish"]
    id: RecordId
    operator: str
    documents: Annotated[list[PublishedDocument], Field(min_length=1)]


class LeaseRecord(_Strict):
    """Claim, renew or release a duty; counts only if it names the duty's last record."""

    format: Literal[1]
    kind: Literal["lease"]
    id: RecordId
    duty: str
    holder: str
    action: Literal["claim", "renew", "release"]
    previous: int
    term_seconds: Annotated[float, Field(gt=0)]


class CheckpointDocument(_Strict):
    """Keep one accepted document with its revision; a deleted one has no body."""

    kind: Literal["contract", "configuration"]
    name: str
    revision: int
    body: dict[str, object] | None


class CheckpointDuty(_Strict):
    """Keep who holds a duty."""

    duty: str
    holder: str | None
    fence: int
    last: int
    term_seconds: float


class Checkpoint(_Strict):
    """Keep the control state up to and including one offset."""

    format: Literal[1]
    kind: Literal["checkpoint"]
    id: RecordId
    through: int
    documents: list[CheckpointDocument]
    duties: list[CheckpointDuty]
    digest: str


ControlRecord = Annotated[Publish | LeaseRecord, Field(discriminator="kind")]
_CONTROL: TypeAdapter[Publish | LeaseRecord] = TypeAdapter(ControlRecord)


def canonical_json(value: object) -> bytes:
    """Return one byte form for equal values."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def digest_of(documents: list[CheckpointDocument], duties: list[CheckpointDuty]) -> str:
    """Return the checksum of a checkpoint's content."""
    content = {
        "documents": [document.model_dump(mode="json") for document in documents],
        "duties": [duty.model_dump(mode="json") for duty in duties],
    }
    return hashlib.sha256(canonical_json(content)).hexdigest()


def _check_format(value: object) -> None:
    if not isinstance(value, dict):
        raise UnreadableRecordError("the record is not a JSON object")
    number = value.get("format")
    if isinstance(number, int) and not isinstance(number, bool) and number > RECORD_FORMAT:
        raise NewerFormatError(f"record format {number}; this program knows {RECORD_FORMAT}")


def parse_control_record(value: object) -> Publish | LeaseRecord:
    """Return a control record, or raise ``UnreadableRecordError`` or ``NewerFormatError``."""
    _check_format(value)
    try:
        return _CONTROL.validate_python(value)
    except ValidationError as error:
        raise UnreadableRecordError(str(error.errors(include_url=False)[0]["msg"])) from error


def parse_checkpoint(value: object) -> Checkpoint:
    """Return a checkpoint whose checksum holds, or raise as ``parse_control_record``."""
    _check_format(value)
    try:
        checkpoint = Checkpoint.model_validate(value)
    except ValidationError as error:
        raise UnreadableRecordError(str(error.errors(include_url=False)[0]["msg"])) from error
    if digest_of(checkpoint.documents, checkpoint.duties) != checkpoint.digest:
        raise UnreadableRecordError("the checkpoint's checksum does not match its content")
    return checkpoint
