"""Resume a stream that was started by another daemon or on an earlier connection."""

from __future__ import annotations

from brassdrum.daemon.core import Core, Scope
from brassdrum.daemon.engine_run import EngineStreamReader, StreamIdentity, StreamTimeouts
from brassdrum.daemon.finishing import RequestLifecycle, handle
from brassdrum.daemon.relay import RelayedStream, StreamListener
from brassdrum.daemon.streaming import SSE, StreamBody, error_chunk
from brassdrum.endpoints.engine import EngineClient
from brassdrum.errors import (
    BrassdrumError,
    EndpointEndedError,
    EndpointFailedError,
    InvalidRequestError,
    Ran,
    ResumeRefusedError,
    StreamGoneError,
)
from brassdrum.outcomes.resume import ResumeTicket
from brassdrum.wsgi import Request, Response

__all__ = ["ResumeHandler"]

_RETRY_REMEDY = "Resume it again with the same token after retry_after seconds."
_RETRY_AFTER_SECONDS = 1.0


class ResumeHandler:
    """Answer ``GET /v1/resume``."""

    def __init__(self, core: Core) -> None:
        self._core = core

    def handle(self, request: Request) -> Response:
        """Return the stream, starting after ``Last-Event-ID``."""
        return handle(self._core, request, self._run)

    def _run(self, scope: Scope, lifecycle: RequestLifecycle) -> Response:
        token = scope.request.header("Brassdrum-Resume-Token")
        if token is None:
            raise InvalidRequestError("The header Brassdrum-Resume-Token is missing.")
        now = self._core.clock.now().timestamp()
        ticket = self._core.resume_tokens.verify(token, scope.organisation, now)
        engine = self._core.dispatcher.fleet.engines_by_name.get(ticket.endpoint)
        if engine is None:
            raise ResumeRefusedError(
                "The stream's endpoint is no longer in the fleet.", ran=Ran.MAYBE
            )
        start = _next_index(scope.request)
        reader = self._open_reader(scope, ticket, engine, start)
        try:
            first = reader.start()
        except (EndpointEndedError, StreamGoneError) as error:
            raise ResumeRefusedError(
                "The endpoint no longer holds the stream.", ran=Ran.MAYBE
            ) from error
        except EndpointFailedError as error:
            raise EndpointFailedError(
                error.message, remedy=_RETRY_REMEDY, retry_after=_RETRY_AFTER_SECONDS
            ) from error
        self._core.explanations.add(scope.request_id, "resumed", f"{ticket.request} from {start}")
        headers = {"Brassdrum-Request-Id": ticket.request, "Brassdrum-Resume-Token": token}
        listener = _ResumeListener(lifecycle)
        stream = RelayedStream(reader, listener, error_chunk)
        body = StreamBody(scope.request, self._core.relay, stream, listener, first)
        return Response(200, body, SSE, headers)

    def _open_reader(
        self, scope: Scope, ticket: ResumeTicket, engine: EngineClient, start: int
    ) -> EngineStreamReader:
        core = self._core
        now = core.clock.monotonic()
        deadline = now + ticket.deadline - core.clock.now().timestamp()
        identity = StreamIdentity(ticket.stream, ticket.model, ticket.chat)

        return EngineStreamReader(
            engine,
            identity,
            None,
            clock=core.clock,
            watch=core.watchdog,
            cancels=core.cancels,
            times=StreamTimeouts(
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
        raise InvalidRequestError("The header Last-Event-ID is not an event index.")
    return int(value) + 1


class _ResumeListener(StreamListener):
    """Complete the request that resumed a stream."""

    def __init__(self, lifecycle: RequestLifecycle) -> None:
        self._lifecycle = lifecycle

    def finished(self) -> None:
        """Complete the request as answered."""
        self._lifecycle.succeeded(None)

    def failed(self, error: BrassdrumError) -> None:
        """Complete the request as failed."""
        self._lifecycle.failed(error)

    def interrupted(self) -> None:
        """Complete the request of a caller that disconnected."""
        self._lifecycle.interrupted()
