"""Go on with a stream that another daemon, or an earlier connection, began."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from brassdrum.daemon.core import Core, Scope
from brassdrum.daemon.engine_run import CheckedEvent, EngineRun, StreamIdentity
from brassdrum.daemon.finishing import Ending
from brassdrum.endpoints.engine import EngineClient, EventSource
from brassdrum.errors import (
    BrassdrumError,
    EndpointFailedError,
    InvalidRequestError,
    Ran,
    ResumeRefusedError,
)
from brassdrum.http_pool import Connected
from brassdrum.outcomes.resume import ResumeTicket
from brassdrum.wsgi import Request, Response, json_response

__all__ = ["ResumeHandler"]

_SSE = "text/event-stream"
_DONE = b"data: [DONE]\n\n"


class ResumeHandler:
    """Answer ``GET /v1/resume``."""

    def __init__(self, core: Core) -> None:
        self._core = core

    def handle(self, request: Request) -> Response:
        """Return the stream from the event after ``Last-Event-ID`` on."""
        scope = self._core.scope(request, "caller")
        ending = Ending(self._core, scope)
        try:
            return self._run(scope, ending)
        except BrassdrumError as error:
            ending.failed(error)
            raise
        except BaseException:
            ending.failed(BrassdrumError("The daemon failed to handle the request."))
            raise

    def _run(self, scope: Scope, ending: Ending) -> Response:
        token = scope.request.header("Brassdrum-Resume-Token")
        if token is None:
            raise InvalidRequestError("The header Brassdrum-Resume-Token is missing.")
        now = self._core.clock.now().timestamp()
        ticket = self._core.resume_tokens.verify(token, scope.organisation, now)
        engine = self._core.dispatcher.fleet.engines_by_name.get(ticket.endpoint)
        if engine is None:
            raise ResumeRefusedError(
                "The endpoint of the stream has left the fleet.", ran=Ran.MAYBE
            )
        start = _next_index(scope.request)
        run = self._open(scope, ticket, engine, start)
        events = run.events()
        try:
            first = next(events, None)
        except EndpointFailedError as error:
            raise ResumeRefusedError("The stream is no longer held.", ran=Ran.MAYBE) from error
        self._core.explanations.add(scope.request_id, "resumed", f"{ticket.request} from {start}")
        headers = {"Brassdrum-Request-Id": ticket.request, "Brassdrum-Resume-Token": token}
        return Response(200, _ResumedBody(first, events, run, ending), _SSE, headers)

    def _open(
        self, scope: Scope, ticket: ResumeTicket, engine: EngineClient, start: int
    ) -> EngineRun:
        core = self._core
        now = core.clock.monotonic()
        deadline = now + ticket.deadline - core.clock.now().timestamp()
        identity = StreamIdentity(ticket.stream, ticket.model, ticket.chat)

        def connect(on_connected: Callable[[Connected], None]) -> EventSource:
            return engine.resume(
                ticket.stream,
                start,
                on_connected,
                model=ticket.model,
                chat=ticket.chat,
                seconds=max(0.05, deadline - now),
            )

        return EngineRun(
            engine,
            identity,
            connect,
            clock=core.clock,
            watch=core.watch,
            cancels=core.cancels,
            deadline=deadline,
            first_event_by=now + core.settings.idle_timeout_seconds,
            idle_seconds=core.settings.idle_timeout_seconds,
            disconnected=scope.request.disconnected,
            on_dropped=lambda verdict: None,
            next_index=start,
        )


def _next_index(request: Request) -> int:
    value = request.header("Last-Event-ID")
    if value is None:
        return 0
    if not value.isdecimal() or len(value) > 9:
        raise InvalidRequestError("The header Last-Event-ID is no index of an event.")
    return int(value) + 1


class _ResumedBody:
    """Pass the rest of a stream on."""

    def __init__(
        self,
        first: CheckedEvent | None,
        events: Iterator[CheckedEvent],
        run: EngineRun,
        ending: Ending,
    ) -> None:
        self._next = first
        self._events = events
        self._run = run
        self._ending = ending
        self._ended = False

    def __iter__(self) -> _ResumedBody:
        return self

    def __next__(self) -> bytes:
        if self._ended:
            raise StopIteration
        try:
            event = self._next if self._next is not None else next(self._events)
        except StopIteration:
            self._ended = True
            self._ending.succeeded(None)
            return _DONE
        except BrassdrumError as error:
            self._ended = True
            error.ran = Ran.MAYBE
            self._ending.failed(error)
            return b"data: " + b"".join(json_response(error.body()).chunks) + b"\n\n"
        self._next = None
        return b"id: %d\ndata: %s\n\n" % (event.index, event.data)

    def close(self) -> None:
        """Release what the stream holds."""
        if not self._ended:
            self._ended = True
            self._run.close()
            self._ending.interrupted()
