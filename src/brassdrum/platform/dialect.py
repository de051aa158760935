"""Translate the platform's request and response headers into the product's values."""

from __future__ import annotations

import json

from brassdrum.errors import InvalidRequestError
from brassdrum.gateway.model import (
    AttemptParameters,
    DeclaredRequest,
    EndpointEntry,
    EndpointIdentity,
    EndpointSignals,
    Headers,
    HelperReference,
    Reply,
    ReplyKind,
    RequestHead,
)
from brassdrum.header_values import optional_decimal
from brassdrum.json_fields import whole_number_in

__all__ = ["PlatformDialect"]

_REQUEST_ID = b"x-attempt-id"
_KEY = b"x-key"
# Named a remaining deadline, it is how long the caller still waits, in milliseconds.
_PATIENCE = b"x-deadline-remaining"
_USAGE = b"x-token-usage"
_MODEL = b"x-model"
# The parts of the prompt in order, each as a name and its tokens.
_PARTS = b"x-prompt-prefix"
_RESUME = b"last-event-id"
_ENDPOINT = b"x-expect-replica"
_ORGANISATION = b"x-tenant"
_PRIORITY = b"x-request-priority"
_HELPERS = b"x-helpers"
_VERSION = b"x-expect-version"
_SEAL = b"x-replica-seal"
_NOT_RUN = b"x-not-executed"
_CULPRIT = b"at-server"
# Requests a second that the endpoint takes from all daemons together, as a decimal number.
_RATE_LIMIT = b"server-limit"
_DRAINING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
# Milliseconds for which the endpoint stays cold.
_COLD_LEFT = b"x-cold-remaining"
# The name of the endpoint that answers a health check.
_NAME = b"x-replica-id"
# The Unix millisecond of the endpoint's start, in its report.
_BORN = "born"

_HOP_BY_HOP = set(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer "
    b"transfer-encoding upgrade content-length expect".split()
)
_SET_HERE = {_KEY, _PATIENCE, _RESUME, _ENDPOINT, _ORGANISATION, _PRIORITY, _HELPERS, _VERSION}
# The platform ranks urgency from 0, the first, to 9.
_LOWEST_PRIORITY = 9
# A caller that names no time waits as long as its route allows.
_NO_LIMIT_SECONDS = 3600.0
_LARGEST_COUNT = 10**9
_WRONG_ENDPOINT = 421
# With these an endpoint turns requests of this daemon away, for a time that it may name.
_REJECTED = (429, 503)


class PlatformDialect:
    """Read and write the platform's headers."""

    order_path = "/order"
    report_path = "/report"

    def read_request(self, head: RequestHead) -> DeclaredRequest:
        """Return what a caller declares, or raise ``InvalidRequestError``."""
        value_by_name = {name.lower(): value for name, value in head.headers}
        request = value_by_name.get(_REQUEST_ID, b"").decode("latin-1")
        if not request:
            raise InvalidRequestError("The request has no attempt id.")
        prompt, answer = _counts(value_by_name.get(_USAGE))
        key = value_by_name.get(_KEY)
        patience = value_by_name.get(_PATIENCE)
        resume = value_by_name.get(_RESUME)
        return DeclaredRequest(
            id=request,
            method=head.method,
            target=head.target,
            host=value_by_name.get(b"host", b"").decode("latin-1").split(":")[0],
            headers=_end_to_end(head.headers, _SET_HERE),
            timeout=_NO_LIMIT_SECONDS if patience is None else _number(patience) / 1000,
            key=None if key is None else key.decode("latin-1"),
            prompt_tokens=prompt,
            answer_tokens=answer,
            resume_after=None if resume is None else _number(resume),
            model=value_by_name.get(_MODEL, b"").decode("latin-1"),
            prompt_parts=_part_names(value_by_name.get(_PARTS, b"")),
        )

    def endpoint_headers(self, request: DeclaredRequest, parameters: AttemptParameters) -> Headers:
        """Return the headers that an endpoint receives."""
        headers = list(request.headers)
        headers.append((b"X-Deadline-Remaining", b"%d" % max(1, int(parameters.time_left * 1000))))
        headers.append((b"X-Expect-Replica", parameters.endpoint.name.encode("latin-1")))
        if parameters.organisation is not None:
            headers.append((b"X-Tenant", parameters.organisation.encode("latin-1")))
        priority = min(_LOWEST_PRIORITY, max(0, parameters.priority))
        headers.append((b"X-Request-Priority", b"%d" % priority))
        if parameters.resume_after is not None:
            headers.append((b"Last-Event-Id", b"%d" % parameters.resume_after))
        if parameters.helpers:
            names = [_helper(each) for each in parameters.helpers]
            headers.append((b"X-Helpers", ",".join(names).encode("latin-1")))
        return headers

    def forwarded_headers(self, request: DeclaredRequest, resume_after: int | None) -> Headers:
        """Return the headers with which another daemon reads the same request."""
        headers = list(request.headers)
        headers.append((b"X-Deadline-Remaining", b"%d" % int(request.timeout * 1000)))
        if request.key is not None:
            headers.append((b"X-Key", request.key.encode("latin-1")))
        if resume_after is not None:
            headers.append((b"Last-Event-Id", b"%d" % resume_after))
        return headers

    def read_reply(self, request: DeclaredRequest, status: int, headers: Headers) -> Reply:
        """Return what an endpoint's answer proves."""
        value_by_name = {name.lower(): value for name, value in headers}
        culprit = value_by_name.get(_CULPRIT)
        return Reply(
            self._kind(request, status, value_by_name),
            status,
            _end_to_end(headers, set()),
            None if culprit is None else culprit.decode("latin-1"),
            _REQUEST_ID in value_by_name,
        )

    def read_signals(self, status: int, headers: Headers) -> EndpointSignals | None:
        """Return what the endpoint asks for, or None if the response is from another endpoint."""
        if status == _WRONG_ENDPOINT:
            return None
        value_by_name = {name.lower(): value for name, value in headers}
        rejected = status in _REJECTED
        cold_ms = optional_decimal(value_by_name.get(_COLD_LEFT))
        return EndpointSignals(
            rate_limit=optional_decimal(value_by_name.get(_RATE_LIMIT)),
            draining=value_by_name.get(_DRAINING) == b"1",
            pause=optional_decimal(value_by_name.get(_RETRY_AFTER)) if rejected else None,
            cold_seconds=None if cold_ms is None else cold_ms / 1000,
        )

    def check_headers(self, entry: EndpointEntry) -> Headers:
        """Return the headers of a liveness check that only the given endpoint accepts."""
        return [
            (b"Host", entry.address.encode("latin-1")),
            (b"X-Expect-Replica", entry.name.encode("latin-1", "replace")),
        ]

    def read_identity(self, status: int, headers: Headers, body: bytes) -> EndpointIdentity:
        """Return what the answer to a liveness check says of its sender."""
        value_by_name = {name.lower(): value for name, value in headers}
        name = value_by_name.get(_NAME)
        return EndpointIdentity(
            name=None if name is None else name.decode("latin-1"),
            born=whole_number_in(body, _BORN),
            refused=status == _WRONG_ENDPOINT,
        )

    def encode_reserve(self, ticket: str, tokens: int, seconds: float, *, wait: bool) -> bytes:
        """Return the order that holds memory at an endpoint."""
        content = {"op": "reserve", "id": ticket, "token_count": tokens, "wait": wait}
        return json.dumps({**content, "hold_ms": int(seconds * 1000)}).encode()

    def encode_release(self, ticket: str) -> bytes:
        """Return the order that gives held memory back."""
        return json.dumps({"op": "release", "id": ticket}).encode()

    def _kind(
        self, request: DeclaredRequest, status: int, value_by_name: dict[bytes, bytes]
    ) -> ReplyKind:
        echoed = value_by_name.get(_REQUEST_ID)
        if echoed is not None and echoed != request.id.encode("latin-1"):
            return ReplyKind.UNVERIFIED
        if status == _WRONG_ENDPOINT:
            return ReplyKind.WRONG_ENDPOINT
        if _NOT_RUN in value_by_name:
            return ReplyKind.NOT_EXECUTED
        if not 200 <= status < 300:
            return ReplyKind.FAILURE
        # A success without the signature is no answer of an endpoint.
        return ReplyKind.SUCCESS if _SEAL in value_by_name else ReplyKind.UNVERIFIED


def _helper(helper: HelperReference) -> str:
    return helper.address if helper.ticket is None else f"{helper.address}/{helper.ticket}"


def _end_to_end(headers: Headers, dropped: set[bytes]) -> Headers:
    """Return the headers that concern more than one connection."""
    named = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named |= {token.strip().lower() for token in value.split(b",")}
    left_out = _HOP_BY_HOP | dropped | named
    return [(name, value) for name, value in headers if name.lower() not in left_out]


def _counts(value: bytes | None) -> tuple[int, int]:
    """Return prompt tokens and the most answer tokens."""
    if value is None:
        return 0, 0
    prompt, _, answer = value.partition(b",")
    return _number(prompt), _number(answer or b"0")


def _part_names(value: bytes) -> tuple[str, ...]:
    """Return the names of a prompt's parts, without their lengths."""
    entries = value.decode("latin-1").split(",")
    return tuple(filter(None, (entry.partition(":")[0].strip() for entry in entries)))


def _number(value: bytes) -> int:
    text = value.strip()
    if not text.isdigit() or int(text) > _LARGEST_COUNT:
        raise InvalidRequestError(f"A header holds {text[:40]!r} where a number belongs.")
    return int(text)
