"""Publish documents and read back whether they were accepted."""

from __future__ import annotations

import json
import logging
import uuid
from dataclasses import dataclass

from brassdrum.clock import Clock, SystemClock
from brassdrum.contracts.documents import Configuration, Contract, document_name
from brassdrum.contracts.fold import ControlFold, DocumentKey, PublishResult
from brassdrum.contracts.records import CONTROL_STREAM, PublishedDocument, PublishRecord
from brassdrum.daemon.control import best_checkpoint
from brassdrum.errors import PlatformUnavailableError
from brassdrum.http_pool import ConnectFailedError, ExchangeFailedError, HttpPool
from brassdrum.logservice.hosts import Host, HostList
from brassdrum.logservice.log import Log

__all__ = ["DaemonRevision", "Publisher", "read_control_state", "fetch_daemon_revisions"]

_logger = logging.getLogger(__name__)
_PUBLISH_TIMEOUT_SECONDS = 30.0
_RETRY_DELAY_SECONDS = 0.2
_LONG_POLL_SECONDS = 0.5


def read_control_state(log: Log) -> ControlFold:
    """Return the control state at the current end of the log."""
    fold = ControlFold()
    checkpoint = best_checkpoint(log)
    if checkpoint is not None:
        fold.load(checkpoint)
    apply_new_records(log, fold)
    return fold


def apply_new_records(log: Log, fold: ControlFold, wait: float = 0.0) -> None:
    """Apply all records of the log that the fold does not include yet."""
    while True:
        page = log.read(CONTROL_STREAM, fold.next_offset, wait)
        if page.earliest_offset > fold.next_offset:
            raise PlatformUnavailableError(
                "The log has dropped records that no checkpoint covers.",
                remedy="Wait until a daemon has written a checkpoint, then try again.",
            )
        for record in page.records:
            fold.apply(record.offset, record.value)
        if page.next_offset >= page.end_offset or fold.needs_upgrade is not None:
            return


class Publisher:
    """Appends documents to the log and reads it until they are accepted or rejected."""

    def __init__(self, log: Log, operator: str, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._log = log
        self._operator = operator

    def publish(
        self, documents: list[Contract | Configuration], base: int | None = None
    ) -> PublishResult:
        """Publish documents together.

        Without ``base``, each document replaces its current revision. The record is appended again
        with the same id until the log shows its result, so a lost response is harmless. Raises
        ``PlatformUnavailableError`` after a time limit.
        """
        fold = read_control_state(self._log)
        record = self._build_record(documents, fold, base)
        give_up_at = self._clock.monotonic() + _PUBLISH_TIMEOUT_SECONDS
        while True:
            self._append(record)
            judgement = self._read_judgement(record.id, fold)
            if judgement is not None:
                return judgement
            if self._clock.monotonic() > give_up_at:
                raise PlatformUnavailableError(
                    "Could not read from the log whether the documents were accepted.",
                    remedy="Run 'contracts history' later: the documents may still be accepted.",
                )
            self._clock.sleep(_RETRY_DELAY_SECONDS)

    def _build_record(
        self, documents: list[Contract | Configuration], fold: ControlFold, base: int | None
    ) -> PublishRecord:
        published = []
        for document in documents:
            name = document_name(document)
            published.append(
                PublishedDocument(
                    kind=document.kind,
                    name=name,
                    base=_current_revision(fold, document.kind, name) if base is None else base,
                    body=document.model_dump(mode="json"),
                )
            )
        return PublishRecord(
            format=1,
            kind="publish",
            id=str(uuid.uuid4()),
            operator=self._operator,
            documents=published,
        )

    def _append(self, record: PublishRecord) -> None:
        try:
            self._log.append(CONTROL_STREAM, [record.model_dump(mode="json")])
        except PlatformUnavailableError as error:
            _logger.warning(
                "append of published documents not confirmed", extra={"reason": error.message}
            )

    def _read_judgement(self, record_id: str, fold: ControlFold) -> PublishResult | None:
        try:
            apply_new_records(self._log, fold, _LONG_POLL_SECONDS)
        except PlatformUnavailableError as error:
            _logger.warning("failed to read from the log service", extra={"reason": error.message})
        return fold.results_by_id.get(record_id)


def _current_revision(fold: ControlFold, kind: str, name: str) -> int:
    for key, document in fold.documents_by_key.items():
        if key == DocumentKey(key.kind, name) and key.kind.value == kind:
            return document.revision
    return -1


@dataclass(frozen=True, slots=True)
class DaemonRevision:
    """The revision in force on a daemon; ``revision`` is None if the status request failed."""

    daemon: str
    revision: int | None
    not_ready: str | None


def fetch_daemon_revisions(hosts: HostList, token: str | None) -> list[DaemonRevision]:
    """Return the revision in force on each live daemon of the host list."""
    revisions = []
    for host in hosts.read():
        if host.role != "daemon" or host.leaving:
            continue
        revisions.append(_fetch_revision(host, token))
    return revisions


def _fetch_revision(host: Host, token: str | None) -> DaemonRevision:
    headers = {} if token is None else {"Brassdrum-Operator-Token": token}
    try:
        status, body = HttpPool(f"http://{host.http_address}", 2.0).call(
            "GET", "/-/status", None, headers
        )
        if status != 200:
            return DaemonRevision(host.name, None, f"status {status}")
        content = json.loads(body)
    except (ConnectFailedError, ExchangeFailedError, ValueError) as error:
        return DaemonRevision(host.name, None, str(error))
    return DaemonRevision(host.name, int(content["revision"]), content["not_ready"])
