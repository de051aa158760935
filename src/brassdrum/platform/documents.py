"""Decode the platform's configuration and list of endpoints."""

from __future__ import annotations

import functools
import math
from typing import Literal

from brassdrum.errors import InvalidDocumentError
from brassdrum.gateway.entry_check import MAX_COLD_SECONDS, entry_problem
from brassdrum.gateway.model import (
    CallerLimits,
    EndpointEntry,
    EngineModel,
    FleetConfiguration,
    Organisation,
    Route,
    RouteKind,
    RouteTarget,
    Service,
)
from brassdrum.json_fields import Document, Field, FieldError

__all__ = ["decode_configuration", "decode_endpoint"]

_KIND_BY_WORD = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
# Routes that name no limit in time are still bounded: nothing may wait for ever.
_NO_TIMEOUT_MS = 600_000


class _Backend(Document):
    service: str
    weight: float = 1.0


class _Route(Document):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = _NO_TIMEOUT_MS
    # The time within which an answer counts in full; a target, not a limit.
    goal_ms: float = 1000.0
    priority: int = 5
    service: str | None = None
    backends: list[_Backend] = Field(default_factory=list)
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0

    def decode(self) -> Route:
        targets = tuple(RouteTarget(each.service, each.weight) for each in self.backends)
        if self.service is not None and not targets:
            targets = (RouteTarget(self.service, 1.0),)
        return Route(
            name=self.name,
            host=self.host,
            prefix=self.path_prefix,
            # An unknown kind is handled as what may not be repeated: the careful reading.
            kind=_KIND_BY_WORD.get(self.kind, RouteKind.NON_IDEMPOTENT),
            targets=targets,
            timeout=self.timeout_ms / 1000,
            objective=self.goal_ms / 1000,
            priority=self.priority,
            max_attempts=max(1, self.max_attempts),
            anonymous=self.anonymous,
            resumable=self.resumable,
            pause_objective=self.gap_aim_ms / 1000,
        )


class _Runtime(Document):
    slots: int
    # The memory of an engine, in tokens.
    kv_tokens: int
    step_ms: float
    per_seq_ms: float = 0.0
    # Milliseconds a step for each 1,000 tokens of context.
    context_per_k: float = 0.0
    read_per_s: float
    # Milliseconds for each million pairs of a token and an earlier one.
    pairs_per_m: float = 0.0
    chunk: int = 2048
    stride: int = 1
    hop_ms: float = 0.0

    def decode(self) -> EngineModel:
        return EngineModel(
            slots=self.slots,
            memory_tokens=self.kv_tokens,
            step_ms=self.step_ms,
            per_stream_ms=self.per_seq_ms,
            context_ms_per_1000_tokens=self.context_per_k,
            prefill_tokens_per_ms=self.read_per_s / 1000,
            ms_per_million_token_pairs=self.pairs_per_m,
            chunk_tokens=self.chunk,
            steps_per_pass=self.stride,
            hop_ms=self.hop_ms,
        )


class _Service(Document):
    name: str
    max_conns: int = 0
    runtime: _Runtime | None = None
    # How long an endpoint is cold after its start, and the requests a second that it takes then.
    cold_s: float | None = None
    cold_per_s: float | None = None


class _Limits(Document):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(Document):
    name: str
    api_keys: list[str] = Field(default_factory=list)
    priority: int | None = None


class _Configuration(Document):
    version: int
    routes: list[_Route] = Field(default_factory=list)
    services: list[_Service] = Field(default_factory=list)
    limits: _Limits = Field(default_factory=lambda: _Limits.check({}))
    tenants: list[_Tenant] = Field(default_factory=list)


class _Server(Document, strict=True):
    """Take an entry only as an endpoint writes it: all fields, each of its type.

    Others may write there too; what they write names no endpoint.
    """

    service: str = Field(min_length=1)
    address: str
    zone: str
    version: str
    slots: int = Field(ge=1)
    state: Literal["ready", "draining"]
    cold_left_ms: float = Field(allow_inf_nan=False)
    # Counts the orders that the endpoint has taken; not used here.
    seq: int
    # The Unix millisecond of its start; endpoints of older deployments do not tell it.
    born: int | None = None


def _cold_bounds(
    service: str, seconds: float | None, rate: float | None
) -> tuple[float, float | None]:
    """Return how long endpoints are cold and their rate meanwhile, None without a bound.

    Raise ``InvalidDocumentError`` for values that are negative or not finite.
    """
    for name, value in (("cold_s", seconds), ("cold_per_s", rate)):
        if value is not None and not (math.isfinite(value) and value >= 0):
            raise InvalidDocumentError(
                f"Service {service} has {name} {value:g}: give a finite number of at least 0; for "
                "endpoints without a bound while cold write 0 or leave it out."
            )
    return seconds or 0.0, rate or None


def decode_configuration(text: bytes) -> FleetConfiguration:
    """Return a configuration, or raise ``InvalidDocumentError``."""
    try:
        content = _Configuration.parse(text)
    except FieldError as error:
        raise InvalidDocumentError(f"The configuration is not understood: {error}.") from error
    limits = content.limits
    services = {
        each.name: Service(
            each.name,
            each.max_conns,
            None if each.runtime is None else each.runtime.decode(),
            *_cold_bounds(each.name, each.cold_s, each.cold_per_s),
        )
        for each in content.services
    }
    return FleetConfiguration(
        version=content.version,
        routes=tuple(each.decode() for each in content.routes),
        services_by_name=services,
        organisations=tuple(
            Organisation(each.name, frozenset(each.api_keys), each.priority)
            for each in content.tenants
        ),
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
    )


# Most entries are as they were at the last read; two fleets of 600 endpoints fit.
@functools.lru_cache(maxsize=1200)
def decode_endpoint(name: str, text: bytes) -> EndpointEntry:
    """Return an entry of the list of endpoints, or raise ``InvalidDocumentError``."""
    try:
        content = _Server.parse(text)
    except FieldError as error:
        raise InvalidDocumentError(f"Endpoint entry {name} is not understood: {error}.") from error
    entry = EndpointEntry(
        name=name,
        service=content.service,
        address=content.address,
        zone=content.zone,
        slots=content.slots,
        draining=content.state == "draining",
        born=content.born,
        cold_seconds=min(max(0.0, content.cold_left_ms) / 1000, MAX_COLD_SECONDS),
    )
    problem = entry_problem(entry)
    if problem is not None:
        raise InvalidDocumentError(f"Endpoint entry {name[:60]!r} is not usable: {problem}.")
    return entry
