"""Go on with a stream that another daemon, or an earlier connection, began."""

from __future__ import annotations

from collections.abc import Callable

from brassdrum.daemon.core import Core, Scope
from brassdrum.daemon.engine_run import EngineRun, RunTimes, StreamIdentity
from brassdrum.daemon.finishing import Ending, handle
from brassdrum.daemon.relay import RelayedStream, StreamEnd
from brassdrum.daemon.streaming import SSE, StreamBody, error_chunk
from brassdrum.endpoints.engine import EngineClient, EngineConnection
from brassdrum.errors import (
    BrassdrumError,
    EndpointFailedError,
    InvalidRequestError,
    Ran,
    ResumeRefusedError,
)
from brassdrum.http_pool import Connected
from brassdrum.outcomes.resume import ResumeTicket
from brassdrum.wsgi import Request, Response

__all__ = ["ResumeHandler"]


class ResumeHandler:
    """Answer ``GET /v1/resume``."""

    def __init__(self, core: Core) -> None:
        self._core = core

    def handle(self, request: Request) -> Response:
        """Return the stream from the event after ``Last-Event-ID`` on."""
        return handle(self._core, request, self._run)

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
        try:
            first = run.start()
        except EndpointFailedError as error:
            raise ResumeRefusedError("The stream is no longer held.", ran=Ran.MAYBE) from error
        self._core.explanations.add(scope.request_id, "resumed", f"{ticket.request} from {start}")
        headers = {"Brassdrum-Request-Id": ticket.request, "Brassdrum-Resume-Token": token}
        end = _ResumeEnd(ending)
        stream = RelayedStream(run, end, error_chunk)
        body = StreamBody(scope.request, self._core.relay, stream, end, first)
        return Response(200, body, SSE, headers)

    def _open(
        self, scope: Scope, ticket: ResumeTicket, engine: EngineClient, start: int
    ) -> EngineRun:
        core = self._core
        now = core.clock.monotonic()
        deadline = now + ticket.deadline - core.clock.now().timestamp()
        identity = StreamIdentity(ticket.stream, ticket.model, ticket.chat)

        def connect(on_connected: Callable[[Connected], None]) -> EngineConnection:
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
            watch=core.watchdog,
            cancels=core.cancels,
            times=RunTimes(
                deadline=deadline,
                first_event_by=now + core.settings.idle_timeout_seconds,
                idle_seconds=core.settings.idle_timeout_seconds,
            ),
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


class _ResumeEnd(StreamEnd):
    """End the request that resumed a stream."""

    def __init__(self, ending: Ending) -> None:
        self._ending = ending

    def finished(self) -> None:
        """End it as answered."""
        self._ending.succeeded(None)

    def failed(self, error: BrassdrumError) -> None:
        """End it as failed."""
        self._ending.failed(error)

    def interrupted(self) -> None:
        """End it because the caller went away."""
        self._ending.interrupted()
