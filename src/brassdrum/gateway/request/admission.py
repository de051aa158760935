"""Judge a caller's request before it is sent anywhere; a pure decision."""

from __future__ import annotations

from dataclasses import dataclass

from brassdrum.errors import InvalidRequestError
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.model import DeclaredRequest, Dialect, Organisation, RequestHead, Route

__all__ = ["Admitted", "Refusal", "admit"]

# A daemon without configuration or endpoints asks callers to come back after this.
_STARTING_RETRY_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class Admitted:
    """Hold a request whose route is known; ``organisation`` is None on anonymous routes."""

    request: DeclaredRequest
    route: Route
    organisation: Organisation | None


@dataclass(frozen=True, slots=True)
class Refusal:
    """Hold the final answer to a request that has not run; ``retry_after`` in seconds."""

    status: int
    detail: str
    retry_after: float | None = None
    request: str | None = None


def admit(knowledge: RoutingState, dialect: Dialect, head: RequestHead) -> Admitted | Refusal:
    """Return the route and the organisation of a request, or why it is refused."""
    configuration = knowledge.configuration
    if configuration is None:
        return Refusal(503, "no configuration yet", _STARTING_RETRY_SECONDS)
    try:
        request = dialect.read_request(head)
    except InvalidRequestError as error:
        return Refusal(400, error.message)
    path = request.target.split(b"?", 1)[0].decode("latin-1")
    route = knowledge.route(request.host, path)
    if route is None:
        return Refusal(404, "no route", request=request.id)
    if route.anonymous or not configuration.organisations:
        return Admitted(request, route, None)
    organisation = knowledge.organisation(request.key)
    if organisation is None:
        return Refusal(401, "unknown key", request=request.id)
    return Admitted(request, route, organisation)
