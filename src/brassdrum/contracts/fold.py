"""Replicated control state, computed deterministically from the control stream."""

from __future__ import annotations

import uuid
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from brassdrum.contracts.documents import Configuration, Contract, DocumentKind, parse_document
from brassdrum.contracts.records import (
    Checkpoint,
    CheckpointDocument,
    LeaseRecord,
    NewerFormatError,
    PublishedDocument,
    PublishRecord,
    UnreadableRecordError,
    checkpoint_digest,
    parse_control_record,
)
from brassdrum.errors import InvalidDocumentError
from brassdrum.leadership.lease import LeaseTable

__all__ = ["AcceptedDocument", "ControlFold", "DocumentKey", "PublishResult", "SkippedRecord"]

_MAX_RESULTS = 4096
_MAX_SKIPPED_RECORDS = 64


@dataclass(frozen=True, slots=True, order=True)
class DocumentKey:
    """Key of a document: its kind and its name within that kind."""

    kind: DocumentKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.name}"


@dataclass(frozen=True, slots=True)
class AcceptedDocument:
    """Accepted revision of a document; a deleted document has no body and no content."""

    key: DocumentKey
    revision: int
    body: dict[str, object] | None
    content: Contract | Configuration | None


@dataclass(frozen=True, slots=True)
class PublishResult:
    """Outcome of a publish; ``reason`` says why it was rejected."""

    record_id: str
    offset: int
    accepted: bool
    operator: str
    keys: tuple[DocumentKey, ...]
    reason: str = ""


@dataclass(frozen=True, slots=True)
class SkippedRecord:
    """Offset of an invalid record and why it was skipped."""

    offset: int
    reason: str


@dataclass(slots=True)
class ControlFold:
    """Control state after the records applied so far."""

    next_offset: int = 0
    revision: int = -1
    needs_upgrade: str | None = None
    skipped_count: int = 0
    documents_by_key: dict[DocumentKey, AcceptedDocument] = field(default_factory=dict)
    leases: LeaseTable = field(default_factory=LeaseTable)
    results_by_id: OrderedDict[str, PublishResult] = field(default_factory=OrderedDict)
    skipped: deque[SkippedRecord] = field(
        default_factory=lambda: deque(maxlen=_MAX_SKIPPED_RECORDS)
    )

    @property
    def through(self) -> int:
        """Return the offset of the last applied record, -1 for none."""
        return self.next_offset - 1

    def contracts(self) -> list[Contract]:
        """Return the contracts in force."""
        contents = (document.content for document in self.documents_by_key.values())
        return [content for content in contents if isinstance(content, Contract)]

    def configuration(self) -> Configuration | None:
        """Return the configuration in force, or None before the first."""
        document = self.documents_by_key.get(DocumentKey(DocumentKind.CONFIGURATION, "fleet"))
        if document is None or not isinstance(document.content, Configuration):
            return None
        return document.content

    def apply(self, offset: int, value: object) -> PublishResult | None:
        """Apply the record at an offset; return the outcome of a publish.

        Records below ``next_offset`` were applied before and are ignored. After a record in a
        newer format no record is applied: the accepted state stays in force until an upgrade.
        """
        if offset < self.next_offset or self.needs_upgrade is not None:
            return None
        try:
            record = parse_control_record(value)
        except NewerFormatError as error:
            self.needs_upgrade = f"offset {offset}: {error}"
            return None
        except UnreadableRecordError as error:
            self._record_skipped(offset, str(error))
            return None
        self.next_offset = offset + 1
        if isinstance(record, LeaseRecord):
            self.leases.apply(offset, record)
            return None
        return self._apply_publish(offset, record)

    def load(self, checkpoint: Checkpoint) -> bool:
        """Replace the state with a checkpoint's if that is newer; return whether it was."""
        if checkpoint.through < self.next_offset:
            return False
        documents = {}
        for saved in checkpoint.documents:
            key = DocumentKey(DocumentKind(saved.kind), saved.name)
            content = None if saved.body is None else parse_document(saved.body, str(key))
            documents[key] = AcceptedDocument(key, saved.revision, saved.body, content)
        self.documents_by_key = documents
        self.revision = max((document.revision for document in documents.values()), default=-1)
        self.leases.load(checkpoint.duties)
        self.next_offset = checkpoint.through + 1
        return True

    def checkpoint(self) -> Checkpoint:
        """Return a checkpoint of the current state."""
        documents = [
            CheckpointDocument(
                kind=key.kind.value, name=key.name, revision=document.revision, body=document.body
            )
            for key, document in sorted(self.documents_by_key.items())
        ]
        duties = self.leases.dump()
        return Checkpoint(
            format=1,
            kind="checkpoint",
            id=str(uuid.uuid4()),
            through=self.through,
            documents=documents,
            duties=duties,
            digest=checkpoint_digest(documents, duties),
        )

    def _record_skipped(self, offset: int, reason: str) -> None:
        self.next_offset = offset + 1
        self.skipped_count += 1
        self.skipped.append(SkippedRecord(offset, reason))

    def _apply_publish(self, offset: int, record: PublishRecord) -> PublishResult:
        earlier = self.results_by_id.get(record.id)
        if earlier is not None:
            return earlier
        keys = tuple(
            DocumentKey(DocumentKind(document.kind), document.name) for document in record.documents
        )
        reason = self._rejection_reason(keys, record)
        result = PublishResult(record.id, offset, not reason, record.operator, keys, reason)
        if result.accepted:
            self._accept(offset, record)
        self.results_by_id[record.id] = result
        if len(self.results_by_id) > _MAX_RESULTS:
            self.results_by_id.popitem(last=False)
        return result

    def _rejection_reason(self, keys: tuple[DocumentKey, ...], record: PublishRecord) -> str:
        if len(set(keys)) != len(keys):
            return "the publish contains a document twice; include each document once"
        for key, published in zip(keys, record.documents, strict=True):
            reason = self._conflict_reason(key, published) or self._invalid_reason(key, published)
            if reason:
                return reason
        return ""

    def _conflict_reason(self, key: DocumentKey, published: PublishedDocument) -> str:
        current = self.documents_by_key.get(key)
        revision = -1 if current is None else current.revision
        if published.base == revision:
            return ""
        return (
            f"{key} is at revision {revision}, not {published.base}: another publish came first; "
            f"read it, merge, and publish with --base {revision}"
        )

    def _invalid_reason(self, key: DocumentKey, published: PublishedDocument) -> str:
        if published.body is None:
            return "" if key in self.documents_by_key else f"{key} does not exist"
        try:
            content = parse_document(published.body, str(key))
        except InvalidDocumentError as error:
            return error.message
        name = content.organisation if isinstance(content, Contract) else content.name
        if content.kind != key.kind.value or name != key.name:
            return f"{key}: the body describes {content.kind}/{name}"
        return ""

    def _accept(self, offset: int, record: PublishRecord) -> None:
        for published in record.documents:
            key = DocumentKey(DocumentKind(published.kind), published.name)
            content = None if published.body is None else parse_document(published.body, str(key))
            self.documents_by_key[key] = AcceptedDocument(key, offset, published.body, content)
        self.revision = offset
