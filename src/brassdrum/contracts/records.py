"""Models that validate the records in the platform's log.

Format 1 is frozen: its fields don't change.
"""

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
    "PublishRecord",
    "UnreadableRecordError",
    "canonical_json",
    "claim_stream",
    "checkpoint_digest",
    "parse_checkpoint",
    "parse_control_record",
]

RECORD_FORMAT = 1
CONTROL_STREAM = "control"
CHECKPOINT_STREAM = "checkpoints"
# Not a setting, because all daemons must map a key to the same shard.
CLAIM_SHARDS = 1


def claim_stream(shard: int) -> str:
    """Return the name of a shard's claim stream."""
    return f"claims-{shard}"


class UnreadableRecordError(ValueError):
    """Raised for an invalid record, which readers skip."""


class NewerFormatError(ValueError):
    """Raised for a record in a newer format than this version supports."""


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


RecordId = Annotated[str, Field(min_length=8, max_length=64)]


class PublishedDocument(_StrictModel):
    """Document in a publish, with the revision that it replaces; no body deletes it."""

    kind: Literal["contract", "configuration"]
    name: str
    base: int = -1
    body: dict[str, object] | None = None


class PublishRecord(_StrictModel):
    """Request to publish documents atomically."""

    format: Literal[1]
    kind: Literal["publish"]
    id: RecordId
    operator: str
    documents: Annotated[list[PublishedDocument], Field(min_length=1)]


class LeaseRecord(_StrictModel):
    """Claim, renewal or release of a duty's lease.

    It takes effect only if ``previous`` is the offset of the duty's last record.
    """

    format: Literal[1]
    kind: Literal["lease"]
    id: RecordId
    duty: str
    holder: str
    action: Literal["claim", "renew", "release"]
    previous: int
    term_seconds: Annotated[float, Field(gt=0)]


class CheckpointDocument(_StrictModel):
    """Accepted document in a checkpoint; a deleted one has no body."""

    kind: Literal["contract", "configuration"]
    name: str
    revision: int
    body: dict[str, object] | None


class CheckpointDuty(_StrictModel):
    """State of a duty's lease in a checkpoint."""

    duty: str
    holder: str | None
    fence: int
    last: int
    term_seconds: float


class Checkpoint(_StrictModel):
    """Control state after the record at offset ``through``."""

    format: Literal[1]
    kind: Literal["checkpoint"]
    id: RecordId
    through: int
    documents: list[CheckpointDocument]
    duties: list[CheckpointDuty]
    digest: str


ControlRecord = Annotated[PublishRecord | LeaseRecord, Field(discriminator="kind")]
_CONTROL_ADAPTER: TypeAdapter[PublishRecord | LeaseRecord] = TypeAdapter(ControlRecord)


def canonical_json(value: object) -> bytes:
    """Encode a value as JSON with sorted keys and no whitespace."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def checkpoint_digest(documents: list[CheckpointDocument], duties: list[CheckpointDuty]) -> str:
    """Return the SHA-256 digest of a checkpoint's content."""
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
        raise NewerFormatError(f"record format {number}; this version supports {RECORD_FORMAT}")


def parse_control_record(value: object) -> PublishRecord | LeaseRecord:
    """Return a control record, or raise ``UnreadableRecordError`` or ``NewerFormatError``."""
    _check_format(value)
    try:
        return _CONTROL_ADAPTER.validate_python(value)
    except ValidationError as error:
        raise UnreadableRecordError(str(error.errors(include_url=False)[0]["msg"])) from error


def parse_checkpoint(value: object) -> Checkpoint:
    """Return a checkpoint with a valid digest, or raise as ``parse_control_record``."""
    _check_format(value)
    try:
        checkpoint = Checkpoint.model_validate(value)
    except ValidationError as error:
        raise UnreadableRecordError(str(error.errors(include_url=False)[0]["msg"])) from error
    if checkpoint_digest(checkpoint.documents, checkpoint.duties) != checkpoint.digest:
        raise UnreadableRecordError("the checkpoint's digest does not match its content")
    return checkpoint
