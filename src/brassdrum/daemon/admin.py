"""Administrative endpoints: health, readiness, metrics, status and explanations."""

from __future__ import annotations

import hmac
from collections.abc import Callable

from brassdrum.contracts.keys import hash_key
from brassdrum.daemon.core import Core
from brassdrum.daemon.explain import DescribedRequest, explain_request
from brassdrum.errors import EndpointFailedError, InvalidRequestError, NotPermittedError
from brassdrum.membership.gossip import Gossip
from brassdrum.membership.peer_pb2 import DaemonEntry, DaemonState
from brassdrum.routing.state import EndpointState
from brassdrum.wsgi import Request, Response, json_response

__all__ = ["AdminHandler"]

_TOKEN_SALT = "operator"


class AdminHandler:
    """Handles requests for paths under ``/-/``."""

    def __init__(self, core: Core, gossip: Gossip, not_ready: Callable[[], str | None]) -> None:
        self._core = core
        self._gossip = gossip
        self._not_ready = not_ready

    def health(self, request: Request) -> Response:
        """Return 200 while the process is alive."""
        return json_response({"status": "ok", "daemon": self._core.settings.name})

    def ready(self, request: Request) -> Response:
        """Return 200 if the load balancer may send requests, else 503 with the reason."""
        reason = self._not_ready()
        if reason is None:
            return json_response({"status": "ready"})
        return json_response({"status": "not ready", "reason": reason}, 503)

    def metrics(self, request: Request) -> Response:
        """Return all metrics in the Prometheus text format."""
        page = self._core.metrics.page()
        return Response(200, [page], "text/plain; version=0.0.4", length=len(page))

    def status(self, request: Request) -> Response:
        """Return daemons, endpoints, load, revisions, duties and accounts."""
        self._check_operator(request)
        core = self._core
        now = core.clock.monotonic()
        with self._gossip.lock:
            daemons = [_daemon_status(self._gossip.table.own, live=True)]
            live = {record.entry.name for record in self._gossip.table.live_peers(now)}
            for record in self._gossip.table.records():
                daemons.append(_daemon_status(record.entry, live=record.entry.name in live))
        with core.dispatcher.lock:
            states = core.dispatcher.fleet.states_by_name
            endpoints = [_endpoint_status(state, now) for state in states.values()]
            accounts = [
                {
                    "organisation": account.organisation,
                    "used_cost": round(account.used_cost),
                    "dispatched": account.dispatched,
                    "queued": core.dispatcher.queue.queued(account.organisation),
                    "refused": account.refused,
                    "waited_seconds": round(account.waited_seconds, 3),
                    "delayed_by": {k: round(v, 3) for k, v in account.delayed_by.items()},
                }
                for account in core.dispatcher.queue.accounts_by_organisation.values()
            ]
        content = {
            "daemon": core.settings.name,
            "not_ready": self._not_ready(),
            "log_answers": core.control.log_answers,
            "revision": core.control.revision,
            "through": core.control.through,
            "active": len(core.active),
            "queued": len(core.dispatcher.queue),
            "claims": sum(len(shard.fold) for shard in core.claims.shards),
            "unwritten_records": sum(shard.appender.unwritten for shard in core.claims.shards),
            "pending_cancels": len(core.cancels),
            "control_cost": core.cost.totals(),
            "daemons": daemons,
            "endpoints": endpoints,
            "organisations": accounts,
        }
        content |= core.control.with_fold(_control_status)  # type: ignore[operator]
        return json_response(content)

    def held(self, request: Request) -> Response:
        """Return the owners of reserved memory on each engine."""
        self._check_operator(request)
        held_by_endpoint: dict[str, object] = {}
        for name, engine in self._core.dispatcher.fleet.engines_by_name.items():
            try:
                held_by_endpoint[name] = engine.list_memory_holders()
            except EndpointFailedError as error:
                held_by_endpoint[name] = {"error": error.message}
        return json_response({"held": held_by_endpoint})

    def documents(self, request: Request) -> Response:
        """Return the accepted documents without key hashes."""
        self._check_operator(request)
        return json_response({"documents": self._core.control.with_fold(_list_documents)})

    def explain(self, request: Request) -> Response:
        """Return the decisions on a past request, or those expected for a described one."""
        self._check_operator(request)
        query = request.query
        if query.get("organisation"):
            return json_response(
                {"steps": explain_request(self._core, _parse_described_request(query))}
            )
        request_id = query.get("request")
        if not request_id:
            raise InvalidRequestError("The query must contain 'request' or 'organisation'.")
        return json_response({"steps": self._core.explanations.get(request_id)})

    def _check_operator(self, request: Request) -> None:
        expected = self._core.settings.operator_token_hash
        if expected is None:
            return
        given = request.header("Brassdrum-Operator-Token") or ""
        if not hmac.compare_digest(hash_key(given, _TOKEN_SALT), expected):
            raise NotPermittedError(
                "The operator token is missing or invalid.",
                remedy="Send Brassdrum-Operator-Token, or set BRASSDRUM_OPERATOR_TOKEN.",
            )


def _parse_described_request(query: dict[str, str]) -> DescribedRequest:
    try:
        return DescribedRequest(
            query["organisation"],
            query["target"],
            int(query.get("prompt_tokens", "1000")),
            int(query.get("answer_tokens", "256")),
        )
    except (KeyError, ValueError) as error:
        raise InvalidRequestError(
            f"The described request is incomplete or invalid: {error}."
        ) from error


def _daemon_status(entry: DaemonEntry, *, live: bool) -> dict[str, object]:
    return {
        "name": entry.name,
        "zone": entry.zone,
        "http_address": entry.http_address,
        "peer_address": entry.peer_address,
        "state": DaemonState.Name(entry.state).lower(),
        "revision": entry.revision,
        "live": live,
    }


def _endpoint_status(state: EndpointState, now: float) -> dict[str, object]:
    return {
        "name": state.endpoint.name,
        "kind": state.endpoint.kind.value,
        "zone": state.endpoint.zone,
        "pool": state.endpoint.pool,
        "leaving": state.leaving,
        "failing": not state.breaker.allows(now),
        "own_streams": len(state.own_requests_by_id),
        "streams": state.streams(now),
        "queued_tokens": state.queued_tokens(now),
        "long_prefills": state.long_prefills(now),
    }


def _control_status(fold) -> dict[str, object]:
    return {
        "skipped_records": fold.skipped_count,
        "last_skipped": [
            {"offset": item.offset, "reason": item.reason} for item in list(fold.skipped)[-5:]
        ],
        "duties": [
            {"duty": lease.duty, "holder": lease.holder, "fence": lease.fencing_token}
            for lease in fold.leases.all()
        ],
    }


def _list_documents(fold) -> list[dict[str, object]]:
    return [
        {
            "kind": key.kind.value,
            "name": key.name,
            "revision": document.revision,
            "body": _redact_key_hashes(document.body),
        }
        for key, document in sorted(fold.documents_by_key.items())
    ]


def _redact_key_hashes(body: dict[str, object] | None) -> dict[str, object] | None:
    if body is None or not isinstance(body.get("keys"), list):
        return body
    return body | {"keys": [key.get("id") for key in body["keys"]]}
