"""Judge the control stream: every daemon computes the same state from the same records."""

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

__all__ = ["AcceptedDocument", "ControlFold", "DocumentKey", "Judgement", "SkippedRecord"]

_JUDGEMENTS_KEPT = 4096
_SKIPPED_KEPT = 64


@dataclass(frozen=True, slots=True, order=True)
class DocumentKey:
    """Identify one document."""

    kind: DocumentKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.name}"


@dataclass(frozen=True, slots=True)
class AcceptedDocument:
    """Keep what was accepted for one key; a deleted document has no content."""

    key: DocumentKey
    revision: int
    body: dict[str, object] | None
    content: Contract | Configuration | None


@dataclass(frozen=True, slots=True)
class Judgement:
    """Tell whether a publish was accepted, and if not, by what it lost."""

    record_id: str
    offset: int
    accepted: bool
    operator: str
    keys: tuple[DocumentKey, ...]
    reason: str = ""


@dataclass(frozen=True, slots=True)
class SkippedRecord:
    """Tell operators which record was garbage."""

    offset: int
    reason: str


@dataclass(slots=True)
class ControlFold:
    """Hold the state that follows from the records applied so far."""

    next_offset: int = 0
    revision: int = -1
    needs_upgrade: str | None = None
    skipped_count: int = 0
    documents_by_key: dict[DocumentKey, AcceptedDocument] = field(default_factory=dict)
    leases: LeaseTable = field(default_factory=LeaseTable)
    judgements_by_id: OrderedDict[str, Judgement] = field(default_factory=OrderedDict)
    skipped: deque[SkippedRecord] = field(default_factory=lambda: deque(maxlen=_SKIPPED_KEPT))

    @property
    def through(self) -> int:
        """Return the offset of the last record applied, -1 for none."""
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

    def apply(self, offset: int, value: object) -> Judgement | None:
        """Apply the record at an offset; return the judgement of a publish.

        Records below ``next_offset`` were applied before and are ignored. After a record of a
        newer format the fold stands still: what is in force stays so until an upgrade.
        """
        if offset < self.next_offset or self.needs_upgrade is not None:
            return None
        try:
            record = parse_control_record(value)
        except NewerFormatError as error:
            self.needs_upgrade = f"offset {offset}: {error}"
            return None
        except UnreadableRecordError as error:
            self._skip(offset, str(error))
            return None
        self.next_offset = offset + 1
        if isinstance(record, LeaseRecord):
            self.leases.apply(offset, record)
            return None
        return self._judge(offset, record)

    def load(self, checkpoint: Checkpoint) -> bool:
        """Take a checkpoint's state if it is ahead of this one; never go back."""
        if checkpoint.through < self.next_offset:
            return False
        documents = {}
        for kept in checkpoint.documents:
            key = DocumentKey(DocumentKind(kept.kind), kept.name)
            content = None if kept.body is None else parse_document(kept.body, str(key))
            documents[key] = AcceptedDocument(key, kept.revision, kept.body, content)
        self.documents_by_key = documents
        self.revision = max((document.revision for document in documents.values()), default=-1)
        self.leases.load(checkpoint.duties)
        self.next_offset = checkpoint.through + 1
        return True

    def checkpoint(self) -> Checkpoint:
        """Return a checkpoint of the present state."""
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

    def _skip(self, offset: int, reason: str) -> None:
        self.next_offset = offset + 1
        self.skipped_count += 1
        self.skipped.append(SkippedRecord(offset, reason))

    def _judge(self, offset: int, record: PublishRecord) -> Judgement:
        earlier = self.judgements_by_id.get(record.id)
        if earlier is not None:
            return earlier
        keys = tuple(
            DocumentKey(DocumentKind(document.kind), document.name) for document in record.documents
        )
        reason = self._refusal(keys, record)
        judgement = Judgement(record.id, offset, not reason, record.operator, keys, reason)
        if judgement.accepted:
            self._accept(offset, record)
        self.judgements_by_id[record.id] = judgement
        if len(self.judgements_by_id) > _JUDGEMENTS_KEPT:
            self.judgements_by_id.popitem(last=False)
        return judgement

    def _refusal(self, keys: tuple[DocumentKey, ...], record: PublishRecord) -> str:
        if len(set(keys)) != len(keys):
            return "the publish names one document twice; publish each once"
        for key, published in zip(keys, record.documents, strict=True):
            reason = self._conflict(key, published) or self._defect(key, published)
            if reason:
                return reason
        return ""

    def _conflict(self, key: DocumentKey, published: PublishedDocument) -> str:
        current = self.documents_by_key.get(key)
        revision = -1 if current is None else current.revision
        if published.base == revision:
            return ""
        return (
            f"{key} is at revision {revision}, not {published.base}: another publish came first; "
            f"read it, merge, and publish with --base {revision}"
        )

    def _defect(self, key: DocumentKey, published: PublishedDocument) -> str:
        if published.body is None:
            return "" if key in self.documents_by_key else f"{key} does not exist"
        try:
            content = parse_document(published.body, str(key))
        except InvalidDocumentError as error:
            return error.message
        name = content.organisation if isinstance(content, Contract) else content.name
        if content.kind != key.kind.value or name != key.name:
            return f"{key}: the document inside is {content.kind}/{name}"
        return ""

    def _accept(self, offset: int, record: PublishRecord) -> None:
        for published in record.documents:
            key = DocumentKey(DocumentKind(published.kind), published.name)
            content = None if published.body is None else parse_document(published.body, str(key))
            self.documents_by_key[key] = AcceptedDocument(key, offset, published.body, content)
        self.revision = offset
