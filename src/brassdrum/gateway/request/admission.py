"""Admission control: check a request before it is sent to an endpoint; no side effects."""

from __future__ import annotations

from dataclasses import dataclass

from brassdrum.errors import InvalidRequestError
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.model import DeclaredRequest, Dialect, Organisation, RequestHead, Route

__all__ = ["AdmittedRequest", "Refusal", "admit"]

_STARTUP_RETRY_AFTER_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """An admitted request with its route; ``organisation`` is None on anonymous routes."""

    request: DeclaredRequest
    route: Route
    organisation: Organisation | None


@dataclass(frozen=True, slots=True)
class Refusal:
    """The response to a request that is not executed; ``retry_after`` is in seconds."""

    status: int
    detail: str
    retry_after: float | None = None
    request_id: str | None = None


def admit(
    routing_state: RoutingState, dialect: Dialect, head: RequestHead
) -> AdmittedRequest | Refusal:
    """Return the request with its route and organisation, or the reason for its refusal."""
    configuration = routing_state.configuration
    if configuration is None:
        return Refusal(503, "no configuration yet", _STARTUP_RETRY_AFTER_SECONDS)
    try:
        request = dialect.read_request(head)
    except InvalidRequestError as error:
        return Refusal(400, error.message)
    path = request.target.split(b"?", 1)[0].decode("latin-1")
    route = routing_state.route(request.host, path)
    if route is None:
        return Refusal(404, "no route", request_id=request.id)
    if route.anonymous or not configuration.organisations:
        return AdmittedRequest(request, route, None)
    organisation = routing_state.organisation(request.key)
    if organisation is None:
        return Refusal(401, "unknown key", request_id=request.id)
    return AdmittedRequest(request, route, organisation)
