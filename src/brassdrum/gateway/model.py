"""Data types and interfaces of the gateway."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol

from brassdrum.network_address import is_host

__all__ = [
    "MAX_NAME_BYTES",
    "AttemptParameters",
    "Bounds",
    "CallerLimits",
    "ControlStore",
    "DaemonAddress",
    "DeclaredRequest",
    "Dialect",
    "EndpointEntry",
    "EndpointSignals",
    "EngineModel",
    "FleetConfiguration",
    "GatewaySettings",
    "Headers",
    "HelperReference",
    "OperatorRecords",
    "Organisation",
    "Reply",
    "ReplyKind",
    "RequestHead",
    "Reservation",
    "Route",
    "RouteKind",
    "RouteTarget",
    "Service",
    "StoreRecord",
]

# Messages to peers carry names of at most 255 bytes.
MAX_NAME_BYTES = 255

Headers = list[tuple[bytes, bytes]]


class RouteKind(Enum):
    """How requests of a route may be retried, and whether responses are event streams."""

    IDEMPOTENT = auto()
    NON_IDEMPOTENT = auto()
    STREAM = auto()


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service with its weight among the targets of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests for one host and path prefix are handled.

    Times are in seconds. ``objective`` and ``pause_objective`` are targets, not limits; the latter
    applies between the events of a stream, and 0 means that there is none.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[RouteTarget, ...]
    timeout: float
    objective: float
    priority: int
    max_attempts: int
    anonymous: bool = False
    resumable: bool = False
    pause_objective: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    @property
    def streams(self) -> bool:
        """Return whether responses are event streams."""
        return self.kind is RouteKind.STREAM


@dataclass(frozen=True, slots=True)
class EngineModel:
    """The declared cost model of a service's engines.

    An engine works in passes of ``steps_per_pass`` decode steps, each with up to ``chunk_tokens``
    of prefill.
    """

    slots: int
    memory_tokens: int
    step_ms: float
    per_stream_ms: float
    context_ms_per_1000_tokens: float
    prefill_tokens_per_ms: float
    ms_per_million_token_pairs: float
    chunk_tokens: int
    steps_per_pass: int
    hop_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A service; ``engine`` is None if its endpoints are not inference engines.

    An endpoint is cold for ``cold_seconds`` after its start, and takes ``cold_rate`` requests per
    second from all daemons together meanwhile; None says that there is no bound.
    """

    name: str
    max_connections: int
    engine: EngineModel | None = None
    cold_seconds: float = 0.0
    cold_rate: float | None = None


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation; ``priority`` overrides that of the route unless it is None."""

    name: str
    keys: frozenset[str]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests, the time to receive headers, and idle connections."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """A valid configuration; the version in force never decreases."""

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits = CallerLimits()


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """An endpoint's own entry in the platform's list of endpoints.

    ``born`` is the start time in Unix milliseconds, or None if the endpoint does not report it.
    ``id`` identifies one incarnation, so that no state of an endpoint outlives its restart under
    the same ``name``. ``cold_seconds`` is how much longer it stays cold, when it wrote the entry.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    born: int | None = None
    cold_seconds: float = 0.0
    id: str = field(init=False)

    def __post_init__(self) -> None:
        incarnation = self.name if self.born is None else f"{self.name}@{self.born}"
        object.__setattr__(self, "id", incarnation)


@dataclass(frozen=True, slots=True)
class DaemonAddress:
    """The address of a daemon; ``capacity`` is in tenths of a core."""

    host: str
    zone: str
    capacity: int = 0

    def encode(self) -> bytes:
        """Return the value that is written to the store."""
        return f"{self.host} {self.capacity} {self.zone}".encode()

    @classmethod
    def decode(cls, data: bytes) -> DaemonAddress:
        """Decode a value from the store, or raise ``ValueError``."""
        host, capacity, zone = data.decode().split(" ", 2)
        if not is_host(host) or not zone.isprintable() or len(zone.encode()) > MAX_NAME_BYTES:
            raise ValueError(f"{data[:60]!r} is no address of a daemon")
        return cls(host, zone, max(0, int(capacity)))


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """A record of the store, not decoded."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class EndpointRecords:
    """The records of all endpoints, as of a revision within an era of the store.

    ``revision`` rises with each record that is written; None where the store tells none.
    """

    records: tuple[StoreRecord, ...]
    revision: int | None = None


@dataclass(frozen=True, slots=True)
class OperatorRecords:
    """What the operator wrote to the store, as of a revision within an era of the store.

    ``configuration`` is None before the first one.
    """

    configuration: StoreRecord | None
    evacuated_zones: frozenset[str]
    revision: int
    era: int | None = None


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The request line and headers of a caller's request, unchanged."""

    method: bytes
    target: bytes
    headers: Headers

    @property
    def size(self) -> int:
        """Return the size of the request line and headers in bytes, without separators."""
        header_bytes = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.method) + len(self.target) + header_bytes


@dataclass(frozen=True, slots=True)
class DeclaredRequest:
    """A caller's request, decoded from its headers.

    ``timeout`` is the time in seconds that the caller waits. ``answer_tokens`` is the maximum
    length of the response. ``prompt_parts`` names the parts of the prompt, which other prompts may
    share.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    headers: Headers
    timeout: float
    key: str | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    resume_after: int | None = None
    model: str = ""
    prompt_parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Reservation:
    """Memory that an endpoint reserves for one request."""

    address: str
    ticket: str
    tokens: int


@dataclass(frozen=True, slots=True)
class HelperReference:
    """An endpoint that prefills part of a prompt; ``ticket`` identifies its reserved memory."""

    address: str
    ticket: str | None


@dataclass(frozen=True, slots=True)
class AttemptParameters:
    """Values that are sent to the endpoint of one attempt; ``time_left`` is in seconds."""

    endpoint: EndpointEntry
    helpers: tuple[HelperReference, ...]
    organisation: str | None
    priority: int
    time_left: float
    resume_after: int | None


class ReplyKind(Enum):
    """What a reply indicates about the execution of the request.

    ``UNVERIFIED`` replies do not come from an endpoint, or belong to another request.
    """

    SUCCESS = auto()
    FAILURE = auto()
    NOT_EXECUTED = auto()
    WRONG_ENDPOINT = auto()
    UNVERIFIED = auto()


@dataclass(frozen=True, slots=True)
class Reply:
    """The status and headers of a response.

    ``faulty_endpoint`` is the endpoint that the reply reports as the cause of a failure.
    ``names_request`` says that the reply names the request that it answers.
    """

    kind: ReplyKind
    status: int
    headers: Headers
    faulty_endpoint: str | None = None
    names_request: bool = True


@dataclass(frozen=True, slots=True)
class EndpointSignals:
    """What an endpoint asks for in the headers of a response.

    ``rate_limit`` is the number of requests per second that it takes from all daemons together, or
    None if it names no limit. ``draining`` says that it is about to stop. ``pause`` is the time in
    seconds for which it takes no requests from this daemon. ``cold_seconds`` is how much longer it
    stays cold, None if it does not say.
    """

    rate_limit: float | None = None
    draining: bool = False
    pause: float | None = None
    cold_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointIdentity:
    """What the answer to a liveness check says of the process that sent it.

    ``name`` and ``born`` are as in its entry, None where it does not say them. ``refused`` says
    that it is not the endpoint that was asked for.
    """

    name: str | None = None
    born: int | None = None
    refused: bool = False

    def contradicts(self, entry: EndpointEntry) -> bool:
        """Return whether the answer came from another process than the one of the entry."""
        if self.refused:
            return True
        if self.name is not None and self.name != entry.name:
            return True
        return None not in (self.born, entry.born) and self.born != entry.born


class Dialect(Protocol):
    """Convert between the wire format of headers and the types of this module."""

    def read_request(self, head: RequestHead) -> DeclaredRequest:
        """Decode a caller's request, or raise ``InvalidRequestError``."""

    def endpoint_headers(self, request: DeclaredRequest, parameters: AttemptParameters) -> Headers:
        """Return the headers to send to an endpoint."""

    def forwarded_headers(self, request: DeclaredRequest, resume_after: int | None) -> Headers:
        """Return the headers with which another daemon reads the same request."""

    def read_reply(self, request: DeclaredRequest, status: int, headers: Headers) -> Reply:
        """Classify the response of an endpoint."""

    def read_signals(self, status: int, headers: Headers) -> EndpointSignals | None:
        """Return what the endpoint asks for, or None if the response is from another endpoint."""

    def check_headers(self, entry: EndpointEntry) -> Headers:
        """Return the headers of a liveness check that only the given endpoint accepts."""

    def read_identity(self, status: int, headers: Headers, body: bytes) -> EndpointIdentity:
        """Return what the answer to a liveness check says of its sender; never raises."""

    def encode_reserve(self, ticket: str, tokens: int, seconds: float, *, wait: bool) -> bytes:
        """Return the body of a request that reserves memory at an endpoint."""

    def encode_release(self, ticket: str) -> bytes:
        """Return the body of a request that releases reserved memory."""

    @property
    def order_path(self) -> str:
        """Return the path for reservation requests."""

    @property
    def report_path(self) -> str:
        """Return the path for liveness checks; endpoints serve it regardless of their load."""


class ControlStore(Protocol):
    """The platform's store; methods block, and raise ``PlatformUnavailableError``."""

    calls: int
    # Latest known number of times that the store was restored from a backup.
    era: int | None

    def operator_records(self) -> OperatorRecords:
        """Return the latest configuration and the evacuated zones, from one read."""

    def endpoints(self) -> EndpointRecords:
        """Return the records of all endpoints."""

    def daemons(self) -> dict[str, DaemonAddress]:
        """Return the addresses of all registered daemons, by name."""

    def announce(self, name: str, address: DaemonAddress) -> None:
        """Register the address of this daemon."""

    def quarantines(self) -> list[StoreRecord]:
        """Return the records of quarantined contents."""

    def save_quarantine(self, record: StoreRecord) -> None:
        """Write the record of a quarantined content; an empty value deletes it."""

    def decode_configuration(self, record: StoreRecord) -> FleetConfiguration:
        """Decode a configuration, or raise ``InvalidDocumentError``."""

    def decode_endpoint(self, record: StoreRecord) -> EndpointEntry:
        """Decode an endpoint entry, or raise ``InvalidDocumentError``."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Operational limits; times are in seconds.

    Retries within ``retry_window`` are limited to ``retry_slack`` plus ``retry_ratio`` per request.
    Unused reservations must be released within ``reservation_release``. ``evacuation`` is the time
    after which an evacuated zone gets no more requests.
    """

    drain: float = 2.0
    configuration: float = 2.0
    grace: float = 8.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 100.0
    endpoint_stall: float = 1.5
    max_reservation: float = 20.0
    reservation_release: float = 4.0
    evacuation: float = 5.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of a daemon; ``capacity`` is in tenths of a core.

    ``buffer_bytes`` bounds what is buffered for callers and endpoints that read slowly. With
    ``learn_slowdown`` predictions are corrected for endpoints that are slower than the others.
    """

    name: str
    host: str
    zone: str
    caller_port: int
    ready_port: int
    peer_port: int
    seeds: tuple[str, ...]
    bounds: Bounds
    capacity: int = 0
    metrics_port: int | None = None
    policy: str = "least_harm"
    fair_shares: bool = True
    source: str = ""
    buffer_bytes: int = 16 << 20
    learn_slowdown: bool = False
