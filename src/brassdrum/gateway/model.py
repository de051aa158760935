"""Typed values of the gateway: configuration, endpoints, requests and replies."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol

__all__ = [
    "AttemptParameters",
    "Bounds",
    "CallerLimits",
    "ControlStore",
    "DaemonAddress",
    "DeclaredRequest",
    "Dialect",
    "EndpointEntry",
    "EngineModel",
    "FleetConfiguration",
    "GatewaySettings",
    "Headers",
    "HelperReference",
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


Headers = list[tuple[bytes, bytes]]


class RouteKind(Enum):
    """Say what may be repeated on a route."""

    IDEMPOTENT = auto()
    NON_IDEMPOTENT = auto()
    STREAM = auto()


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """Name a service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Hold how the requests of one host and path prefix are handled; times in seconds."""

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
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    @property
    def streams(self) -> bool:
        """Return whether answers are event streams."""
        return self.kind is RouteKind.STREAM


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Hold the declared cost model of a service's engines; times in ms, memory in tokens."""

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
    """Hold one service; ``engine`` is None for plain services."""

    name: str
    max_connections: int
    engine: EngineModel | None = None


@dataclass(frozen=True, slots=True)
class Organisation:
    """Hold one organisation; ``priority`` None leaves the route's in force."""

    name: str
    keys: frozenset[str]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send (bytes) and how long it may take or stay idle (seconds)."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """Hold one accepted configuration; versions only grow."""

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits = CallerLimits()


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """Hold what an endpoint says of itself in the platform's list.

    An endpoint may start again under its ``name``; ``born`` is the Unix millisecond of its start,
    None where endpoints do not tell it. ``id`` names one incarnation: all that is kept by it
    (suspicion, load, memory, words of peers) starts from nothing with the next one.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    born: int | None = None
    id: str = field(init=False)

    def __post_init__(self) -> None:
        incarnation = self.name if self.born is None else f"{self.name}@{self.born}"
        object.__setattr__(self, "id", incarnation)


@dataclass(frozen=True, slots=True)
class DaemonAddress:
    """Say where a daemon is and how much it can carry, in tenths of a core."""

    host: str
    zone: str
    capacity: int = 0

    def encode(self) -> bytes:
        """Return the form that lies in the store."""
        return f"{self.host} {self.capacity} {self.zone}".encode()

    @classmethod
    def decode(cls, data: bytes) -> DaemonAddress:
        """Return an address, or raise ``ValueError``."""
        host, capacity, zone = data.decode().split(" ", 2)
        return cls(host, zone, int(capacity))


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """Hold one record of the store as it was read."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Hold the start of a caller's request as it was received."""

    method: bytes
    target: bytes
    headers: Headers

    @property
    def size(self) -> int:
        """Return the bytes of the request line and the headers, without separators."""
        named = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.method) + len(self.target) + named


@dataclass(frozen=True, slots=True)
class DeclaredRequest:
    """Hold what a caller declares of its request; ``patience`` in seconds, lengths in tokens."""

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


@dataclass(frozen=True, slots=True)
class Reservation:
    """Name memory that an endpoint holds for one request."""

    address: str
    ticket: str
    tokens: int


@dataclass(frozen=True, slots=True)
class HelperReference:
    """Name an endpoint that reads a part of a prompt, and the memory that it holds for it."""

    address: str
    ticket: str | None


@dataclass(frozen=True, slots=True)
class AttemptParameters:
    """Hold what one attempt tells its endpoint; ``time_left`` in seconds."""

    endpoint: EndpointEntry
    helpers: tuple[HelperReference, ...]
    organisation: str | None
    priority: int
    time_left: float
    resume_after: int | None


class ReplyKind(Enum):
    """Say what a reply proves about the request."""

    SUCCESS = auto()
    FAILURE = auto()
    NOT_EXECUTED = auto()
    WRONG_ENDPOINT = auto()
    UNVERIFIED = auto()


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold the start of an endpoint's answer; ``culprit`` is the endpoint that it blames."""

    kind: ReplyKind
    status: int
    headers: Headers
    faulty_endpoint: str | None = None


class Dialect(Protocol):
    """Translate between the headers on the wire and the product's own values."""

    def read_request(self, head: RequestHead) -> DeclaredRequest:
        """Return what a caller declares, or raise ``InvalidRequestError``."""

    def endpoint_headers(self, request: DeclaredRequest, parameters: AttemptParameters) -> Headers:
        """Return the headers that an endpoint receives."""

    def read_reply(self, request: DeclaredRequest, status: int, headers: Headers) -> Reply:
        """Return what an endpoint's answer proves."""

    def reserve(self, ticket: str, tokens: int, seconds: float, *, wait: bool) -> bytes:
        """Return the order that holds memory at an endpoint."""

    def release(self, ticket: str) -> bytes:
        """Return the order that gives held memory back."""

    @property
    def order_path(self) -> str:
        """Return the path that takes orders."""

    @property
    def report_path(self) -> str:
        """Return the path of a page that an endpoint serves whatever its load."""


class ControlStore(Protocol):
    """Read and write the platform's store; calls block and raise ``PlatformUnavailableError``."""

    calls: int
    # Counts how often the store came back from a copy; the newest one that an answer told.
    era: int | None

    def configuration(self) -> StoreRecord | None:
        """Return the newest configuration as it was written, or None before the first."""

    def endpoints(self) -> list[StoreRecord]:
        """Return the whole list of endpoints."""

    def daemons(self) -> list[DaemonAddress]:
        """Return the addresses of daemons that announced themselves."""

    def announce(self, name: str, address: DaemonAddress) -> None:
        """Tell other daemons where this one is."""

    def quarantines(self) -> list[StoreRecord]:
        """Return the records of quarantined contents that daemons have kept."""

    def save_quarantine(self, record: StoreRecord) -> None:
        """Keep a record of a quarantined content, or drop it where the value is empty."""

    def decode_configuration(self, record: StoreRecord) -> FleetConfiguration:
        """Return a configuration, or raise ``InvalidDocumentError``."""

    def decode_endpoint(self, record: StoreRecord) -> EndpointEntry:
        """Return an entry of the list, or raise ``InvalidDocumentError``."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the times that the operator's contract sets, in seconds."""

    drain: float = 2.0
    configuration: float = 2.0
    grace: float = 8.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 100.0
    endpoint_stall: float = 1.5
    max_reservation: float = 20.0
    reservation_release: float = 4.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Hold what one daemon is told at its start; ``capacity`` in tenths of a core."""

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
    source: str = ""
