"""URL routes of a daemon."""

from __future__ import annotations

from collections.abc import Callable

from brassdrum.daemon.admin import AdminHandler
from brassdrum.daemon.calls import ServiceHandler
from brassdrum.daemon.core import Core
from brassdrum.daemon.generation import GenerationHandler
from brassdrum.daemon.resuming import ResumeHandler
from brassdrum.membership.gossip import Gossip
from brassdrum.wsgi import Request, Response, Router, json_response

__all__ = ["make_router"]


def make_router(core: Core, gossip: Gossip, not_ready: Callable[[], str | None]) -> Router:
    """Return the router; ``not_ready`` returns the reason for not being ready, or None."""
    generation = GenerationHandler(core)
    services = ServiceHandler(core)
    admin = AdminHandler(core, gossip, not_ready)
    router = Router()
    router.add("POST", "/v1/completions", generation.completions)
    router.add("POST", "/v1/chat/completions", generation.chat)
    router.add("GET", "/v1/models", lambda request: _list_models(core, request))
    router.add("GET", "/v1/resume", ResumeHandler(core).handle)
    router.add("*", "/services/{service}/{path*}", services.handle)
    router.add("GET", "/-/health", admin.health)
    router.add("GET", "/-/ready", admin.ready)
    router.add("GET", "/-/metrics", admin.metrics)
    router.add("GET", "/-/status", admin.status)
    router.add("GET", "/-/held", admin.held)
    router.add("GET", "/-/documents", admin.documents)
    router.add("GET", "/-/explain", admin.explain)
    return router


def _list_models(core: Core, request: Request) -> Response:
    scope = core.scope(request, "caller")
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "brassdrum"}
        for name in scope.contract.models
        if name in scope.view.models_by_name
    ]
    scope.trace.end()
    return json_response({"object": "list", "data": data})
