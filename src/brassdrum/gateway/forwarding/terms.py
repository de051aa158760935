"""Headers of requests that one daemon forwards to another, and of their responses.

They grant nothing: the other daemon checks the caller's key and all limits itself. They only bound
what it does, so a caller that forges them harms itself alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import quote, unquote

from brassdrum.errors import InvalidRequestError
from brassdrum.gateway.model import Headers
from brassdrum.header_values import parse_decimal

__all__ = [
    "ForwardResult",
    "ForwardTerms",
    "encode_result",
    "encode_terms",
    "is_forwarded",
    "read_result",
    "read_terms",
    "without_forwarding",
]

_PREFIX = b"brassdrum-forward"
_SENDER = b"brassdrum-forwarded-by"
_WAITED = b"brassdrum-forward-waited"
_TRIED = b"brassdrum-forward-tried"
_REFUSED = b"brassdrum-forward-refused"
_ENDPOINT = b"brassdrum-forward-endpoint"
_MAX_TRIED = 16
# Bounds what a log line repeats of a request that need not come from a daemon.
_MAX_HOST_LENGTH = 64
_MAX_WAITED_SECONDS = 3600.0


@dataclass(frozen=True, slots=True)
class ForwardTerms:
    """What the forwarding daemon says of a request.

    ``sender`` is its host, ``waited`` the seconds since the request arrived there, ``tried`` the
    endpoints that have had the request.
    """

    sender: str
    waited: float
    tried: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ForwardResult:
    """What the other daemon says in its response.

    ``refused_after`` is the number of sends to endpoints if the request has not run, or else None.
    ``endpoint`` is the endpoint whose answer this is, None if the daemon answers itself. ``tried``
    are the endpoints that have had the request.
    """

    refused_after: int | None = None
    endpoint: str | None = None
    tried: tuple[str, ...] = ()


def is_forwarded(headers: Headers) -> bool:
    """Return whether a request comes from another daemon."""
    return any(name.lower() == _SENDER for name, _ in headers)


def without_forwarding(headers: Headers) -> Headers:
    """Return the headers that do not concern daemons."""
    return [(name, value) for name, value in headers if not name.lower().startswith(_PREFIX)]


def encode_terms(terms: ForwardTerms) -> Headers:
    """Return the headers of a forwarded request."""
    headers = [
        (_SENDER, terms.sender.encode("latin-1")),
        (_WAITED, b"%.3f" % terms.waited),
    ]
    return headers + _encode_tried(terms.tried)


def read_terms(headers: Headers) -> ForwardTerms:
    """Return the terms of a forwarded request, or raise ``InvalidRequestError``."""
    value_by_name = {name.lower(): value.decode("latin-1") for name, value in headers}
    waited = parse_decimal(value_by_name.get(_WAITED, ""))
    if waited is None or waited > _MAX_WAITED_SECONDS:
        raise InvalidRequestError("A forwarded request does not say how long it has waited.")
    sender = value_by_name[_SENDER][:_MAX_HOST_LENGTH]
    return ForwardTerms(sender, waited, _read_tried(value_by_name.get(_TRIED)))


def encode_result(result: ForwardResult) -> Headers:
    """Return the headers of a response to a forwarded request."""
    headers = []
    if result.refused_after is not None:
        headers.append((_REFUSED, b"%d" % result.refused_after))
    if result.endpoint is not None:
        headers.append((_ENDPOINT, quote(result.endpoint, safe="").encode()))
    return headers + _encode_tried(result.tried)


def read_result(headers: Headers) -> ForwardResult:
    """Return what the other daemon says in its response."""
    value_by_name = {name.lower(): value.decode("latin-1") for name, value in headers}
    refused = value_by_name.get(_REFUSED)
    endpoint = value_by_name.get(_ENDPOINT)
    return ForwardResult(
        int(refused) if refused is not None and refused.isdecimal() else None,
        None if endpoint is None else unquote(endpoint),
        _read_tried(value_by_name.get(_TRIED)),
    )


def _encode_tried(endpoints: tuple[str, ...]) -> Headers:
    if not endpoints:
        return []
    return [(_TRIED, ",".join(quote(each, safe="") for each in endpoints).encode())]


def _read_tried(value: str | None) -> tuple[str, ...]:
    names = [each for each in (value or "").split(",") if each]
    return tuple(unquote(each) for each in names[:_MAX_TRIED])
