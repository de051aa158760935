"""Ask an endpoint whether the process that sent an answer still runs.

An answer without a length ends with its connection. A process that crashes leaves the same end, so
the end is proper only if the process is known to have gone on after it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from brassdrum.gateway.model import Dialect, EndpointEntry, EndpointIdentity, Headers
from brassdrum.gateway.net.answer_limits import MAX_CONTROL_ANSWER_BYTES
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.net.upstream import CallFailure, EndpointCall, EndpointPool, OutgoingRequest
from brassdrum.telemetry import log_events

__all__ = ["ProcessChecker", "ProcessState"]

_logger = logging.getLogger(__name__)
# A live process answers within a round trip, 1 to 5 ms between zones, whatever its load.
_CHECK_TIMEOUT_SECONDS = 0.3
# A connection that is lost without an answer says nothing: the endpoint may be full, or be about to
# stop listening, or a proxy stands in front of it. The delay doubles with each question.
_RETRY_DELAY_SECONDS = 0.01
_MAX_QUESTIONS = 5
_UNIDENTIFIED = EndpointIdentity()


class ProcessState(StrEnum):
    """What is known of the process that sent an answer, after the end of the answer."""

    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class _Evidence:
    """What an endpoint answered.

    ``connected_at`` is when the connection was opened that the endpoint accepted, None without one.
    ``lost_pooled`` says that an older connection had been lost.
    """

    refused: bool = False
    connected_at: float | None = None
    identity: EndpointIdentity = _UNIDENTIFIED
    lost_pooled: bool = False

    def state(self, entry: EndpointEntry, sent_at: float) -> ProcessState:
        """Return the state of the process that took a request at a time."""
        if self.refused:
            return ProcessState.ENDED
        if self.connected_at is None:
            return ProcessState.UNKNOWN
        if self.connected_at <= sent_at:
            # The connections of a process end with it, so this one has gone on all the while.
            return ProcessState.RUNNING
        if self.identity.contradicts(entry):
            return ProcessState.ENDED
        is_identified = self.identity.name is not None or self.identity.born is not None
        if self.lost_pooled and not is_identified:
            return ProcessState.UNKNOWN
        return ProcessState.RUNNING


@dataclass(frozen=True, slots=True)
class _Waiter:
    """An answer whose end is in question; its request was sent at ``sent_at``."""

    sent_at: float
    done: Callable[[ProcessState], None]


class ProcessChecker:
    """Ask endpoints; answers that end at the same moment share a question."""

    def __init__(self, loop: EventLoop, pool: EndpointPool, dialect: Dialect) -> None:
        self.questions_sent = 0
        self._loop = loop
        self._pool = pool
        self._dialect = dialect
        self._waiters_by_endpoint: dict[str, list[_Waiter]] = {}
        # The endpoints with a question under way or about to be sent.
        self._asked: set[str] = set()

    def check(
        self, entry: EndpointEntry, sent_at: float, done: Callable[[ProcessState], None]
    ) -> None:
        """Report within 0.3 s how the process is that took a request at a time.

        A question that was sent before the answer ended proves nothing, so that a new one is asked
        after it.
        """
        self._waiters_by_endpoint.setdefault(entry.id, []).append(_Waiter(sent_at, done))
        if entry.id not in self._asked:
            self._asked.add(entry.id)
            # Answers that end in the same round of the loop share the question.
            self._loop.post(lambda: self._ask(entry))

    def _ask(self, entry: EndpointEntry) -> None:
        waiters = self._waiters_by_endpoint.pop(entry.id)
        _Question(
            self._loop,
            self._pool,
            self._dialect,
            entry,
            lambda evidence: self._answered(entry, waiters, evidence),
            self._count,
        ).ask()

    def _count(self) -> None:
        self.questions_sent += 1

    def _answered(self, entry: EndpointEntry, waiters: list[_Waiter], evidence: _Evidence) -> None:
        if evidence.refused:
            # A process that has ended is not back, whenever the other answers ended.
            waiters = waiters + self._waiters_by_endpoint.pop(entry.id, [])
        if entry.id in self._waiters_by_endpoint:
            self._loop.post(lambda: self._ask(entry))
        else:
            self._asked.discard(entry.id)
        for waiter in waiters:
            state = evidence.state(entry, waiter.sent_at)
            log_events.ANSWER_END_CHECKED.write(
                _logger,
                endpoint=entry.id,
                state=state.value,
                refused=evidence.refused,
                accepted=evidence.connected_at is not None,
                same_connection=(
                    evidence.connected_at is not None and evidence.connected_at <= waiter.sent_at
                ),
            )
            waiter.done(state)


class _Question:
    """One liveness check, asked again where a connection is lost without an answer."""

    def __init__(
        self,
        loop: EventLoop,
        pool: EndpointPool,
        dialect: Dialect,
        entry: EndpointEntry,
        done: Callable[[_Evidence], None],
        on_sent: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._dialect = dialect
        self._entry = entry
        self._done: Callable[[_Evidence], None] | None = done
        self._on_sent = on_sent
        self._call: EndpointCall | None = None
        self._questions = 0
        self._lost_pooled = False
        self._status = 0
        self._headers: Headers = []
        self._body = bytearray()
        self._timer = loop.call_later(_CHECK_TIMEOUT_SECONDS, self._timed_out)

    def ask(self) -> None:
        """Send the check, over a pooled connection if there is one."""
        if self._done is None:
            return
        self._questions += 1
        self._on_sent()
        self._body.clear()
        request = OutgoingRequest(
            b"GET",
            self._dialect.report_path.encode(),
            self._dialect.check_headers(self._entry),
            b"",
            max_answer_bytes=MAX_CONTROL_ANSWER_BYTES,
        )
        self._call = self._pool.call(self._entry.address, self, request)

    def response_started(self, status: int, headers: Headers) -> None:
        """Record the status and headers."""
        self._status = status
        self._headers = headers

    def response_data(self, content: bytes) -> None:
        """Record a part of the body."""
        self._body += content

    def response_completed(self) -> None:
        """Report what the endpoint says of itself."""
        assert self._call is not None
        identity = self._dialect.read_identity(self._status, self._headers, bytes(self._body))
        self._finish(
            _Evidence(
                connected_at=self._call.connected_at,
                identity=identity,
                lost_pooled=self._lost_pooled,
            )
        )

    def call_failed(self, how: CallFailure, detail: str) -> None:
        """Ask again, unless the connection was refused."""
        _logger.info("liveness check not answered", extra={"how": how.name, "detail": detail})
        call = self._call
        if call is not None and call.refused:
            self._finish(_Evidence(refused=True))
            return
        self._lost_pooled = self._lost_pooled or (call is not None and call.reused)
        if self._questions == _MAX_QUESTIONS:
            self._finish_unanswered(None)
            return
        self._loop.call_later(_RETRY_DELAY_SECONDS * 2 ** (self._questions - 1), self.ask)

    def _timed_out(self) -> None:
        call, accepted_at = self._call, None
        if call is not None and call.acknowledged:
            accepted_at = call.connected_at
        if call is not None:
            call.cancel()
        self._finish_unanswered(accepted_at)

    def _finish_unanswered(self, accepted_at: float | None) -> None:
        self._finish(_Evidence(connected_at=accepted_at, lost_pooled=self._lost_pooled))

    def _finish(self, evidence: _Evidence) -> None:
        done, self._done = self._done, None
        if done is None:
            return
        self._timer.cancel()
        done(evidence)
