"""Publish documents and learn what became of them, through lost answers and races."""

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

__all__ = ["DaemonRevision", "Publisher", "read_control", "revisions_on_daemons"]

_logger = logging.getLogger(__name__)
_LONGEST_SECONDS = 30.0
_PAUSE_SECONDS = 0.2
_READ_WAIT_SECONDS = 0.5


def read_control(log: Log) -> ControlFold:
    """Return the state that follows from the log as it is now."""
    fold = ControlFold()
    checkpoint = best_checkpoint(log)
    if checkpoint is not None:
        fold.load(checkpoint)
    follow(log, fold)
    return fold


def follow(log: Log, fold: ControlFold, wait: float = 0.0) -> None:
    """Apply what the log has beyond the fold."""
    while True:
        page = log.read(CONTROL_STREAM, fold.next_offset, wait)
        if page.earliest > fold.next_offset:
            raise PlatformUnavailableError(
                "The log forgot records and holds no checkpoint that covers them.",
                remedy="Wait until a daemon wrote a checkpoint, then try again.",
            )
        for record in page.records:
            fold.apply(record.offset, record.value)
        if page.next_offset >= page.end or fold.needs_upgrade is not None:
            return


class Publisher:
    """Append documents and read on until the log tells their judgement."""

    def __init__(self, log: Log, operator: str, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._log = log
        self._operator = operator

    def publish(
        self, documents: list[Contract | Configuration], base: int | None = None
    ) -> PublishResult:
        """Publish documents together.

        Without a base each document replaces the revision in the log now. A lost answer is no
        reason to guess: the record has an id, is appended again with the same one, and the log's
        order says what became of it. Raises ``PlatformUnavailableError`` when the log stays silent.
        """
        fold = read_control(self._log)
        record = self._record(documents, fold, base)
        limit = self._clock.monotonic() + _LONGEST_SECONDS
        while True:
            self._append(record)
            judgement = self._judgement(record.id, fold)
            if judgement is not None:
                return judgement
            if self._clock.monotonic() > limit:
                raise PlatformUnavailableError(
                    "The log did not say whether it has the documents.",
                    remedy="Run 'contracts history' later: the publish may still take effect.",
                )
            self._clock.sleep(_PAUSE_SECONDS)

    def _record(
        self, documents: list[Contract | Configuration], fold: ControlFold, base: int | None
    ) -> PublishRecord:
        published = []
        for document in documents:
            name = document_name(document)
            published.append(
                PublishedDocument(
                    kind=document.kind,
                    name=name,
                    base=_revision(fold, document.kind, name) if base is None else base,
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
            _logger.warning("append not confirmed", extra={"reason": error.message})

    def _judgement(self, record_id: str, fold: ControlFold) -> PublishResult | None:
        try:
            follow(self._log, fold, _READ_WAIT_SECONDS)
        except PlatformUnavailableError as error:
            _logger.warning("log not readable", extra={"reason": error.message})
        return fold.results_by_id.get(record_id)


def _revision(fold: ControlFold, kind: str, name: str) -> int:
    for key, document in fold.documents_by_key.items():
        if key == DocumentKey(key.kind, name) and key.kind.value == kind:
            return document.revision
    return -1


@dataclass(frozen=True, slots=True)
class DaemonRevision:
    """Tell which revision a daemon holds; None when it does not answer."""

    daemon: str
    revision: int | None
    not_ready: str | None


def revisions_on_daemons(hosts: HostList, token: str | None) -> list[DaemonRevision]:
    """Ask every live daemon of the host list for the revision that it has in force."""
    found = []
    for host in hosts.read():
        if host.role != "daemon" or host.leaving:
            continue
        found.append(_ask(host, token))
    return found


def _ask(host: Host, token: str | None) -> DaemonRevision:
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
