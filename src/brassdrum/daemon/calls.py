"""Handle calls to services other than model endpoints."""

from __future__ import annotations

import re

from brassdrum.admission.work import Work, service_target
from brassdrum.contracts.documents import Service
from brassdrum.daemon.attempts import Attempts
from brassdrum.daemon.claiming import claim, replay
from brassdrum.daemon.core import Core, Scope, request_traits
from brassdrum.daemon.dispatcher import Placement
from brassdrum.daemon.finishing import RequestLifecycle, handle
from brassdrum.endpoints.service import ServiceRequest, ServiceResponse
from brassdrum.errors import UnknownModelError
from brassdrum.outcomes.claims import OutcomeRecord
from brassdrum.wsgi import Request, Response

__all__ = ["ServiceHandler", "is_repeatable"]

_FORWARDED_HEADERS = ("Content-Type", "Accept", "Effect-Id")
_TOKENS_PER_CALL = 1


def is_repeatable(service: Service, method: str, path: str) -> bool:
    """Return whether a call is declared repeatable; an undeclared call is not.

    ``{name}`` in a declared path matches one path segment.
    """
    for call in service.calls:
        if call.method != method:
            continue
        pattern = re.sub(r"\\\{\w+\\\}", "[^/]+", re.escape(call.path))
        if re.fullmatch(pattern, path):
            return call.repeatable
    return False


class ServiceHandler:
    """Admit, dispatch and answer calls to ``/services/NAME/PATH``."""

    def __init__(self, core: Core) -> None:
        self._core = core

    def handle(self, request: Request) -> Response:
        """Answer one call."""
        return handle(self._core, request, self._run)

    def _run(self, scope: Scope, lifecycle: RequestLifecycle) -> Response:
        body = scope.request.body()
        traits = request_traits(scope, body)
        self._core.guard.check(traits)
        name = scope.request.parameters["service"]
        path = "/" + scope.request.parameters["path"]
        with scope.trace.hop("admission"):
            service = self._service(scope, name)
            self._core.limits.acquire(scope.organisation, _TOKENS_PER_CALL, scope.deadline)
            work = self._work(scope, name)
            lifecycle.admitted(work)
        ticket = claim(self._core, scope, body)
        if isinstance(ticket, OutcomeRecord):
            lifecycle.succeeded(None)
            return replay(ticket)
        lifecycle.ticket = ticket
        lifecycle.repeatable = scope.repeatable and is_repeatable(
            service, scope.request.method, path
        )
        attempts = Attempts(self._core, scope, traits, repeatable=lifecycle.repeatable)
        answer = attempts.run(work, lambda placement: self._send(scope, placement, path, body))
        self._core.guard.record_served(traits)
        ticket.finish(answer.status, answer.content_type, answer.body)
        lifecycle.succeeded(None)
        return Response(
            answer.status,
            [answer.body],
            answer.content_type,
            {"Brassdrum-Request-Id": scope.request_id},
            len(answer.body),
        )

    def _service(self, scope: Scope, name: str) -> Service:
        if name not in scope.contract.services:
            raise UnknownModelError(f"The contract covers no service {name!r}.")
        service = scope.view.services_by_name.get(name)
        if service is None:
            raise UnknownModelError(f"The fleet has no service {name!r}.")
        return service

    def _work(self, scope: Scope, name: str) -> Work:
        return Work(
            id=f"{scope.request_id}.1",
            organisation=scope.organisation,
            target=service_target(name),
            prompt_tokens=_TOKENS_PER_CALL,
            answer_tokens=0,
            urgency=scope.contract.urgency,
            share=scope.contract.share,
            arrived=scope.arrived,
            start_by=min(scope.arrived + scope.contract.longest_wait_seconds, scope.deadline),
            deadline=scope.deadline,
        )

    def _send(self, scope: Scope, placement: Placement, path: str, body: bytes) -> ServiceResponse:
        client = self._core.dispatcher.fleet.services_by_name[placement.state.endpoint.name]
        headers = {}
        for name in _FORWARDED_HEADERS:
            value = scope.request.header(name)
            if value is not None:
                headers[name] = value
        traceparent = scope.trace.traceparent()
        if traceparent is not None:
            headers["traceparent"] = traceparent
        seconds = max(0.05, scope.deadline - self._core.clock.monotonic())
        request = ServiceRequest(scope.request.method, path, body, headers, seconds)
        with scope.trace.hop("endpoint", endpoint=placement.state.endpoint.name):
            answer = client.call(request)
        self._core.dispatcher.release(placement)
        return answer
