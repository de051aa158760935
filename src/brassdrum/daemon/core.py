"""Components of a daemon that its request handlers share."""

from __future__ import annotations

import random
import threading
import uuid
from collections.abc import Iterable
from dataclasses import dataclass, field

from brassdrum.clock import Clock
from brassdrum.contracts.documents import Contract
from brassdrum.contracts.view import FleetView
from brassdrum.daemon.cancels import CancelQueue
from brassdrum.daemon.content_guard import ContentGuard
from brassdrum.daemon.control import ControlState
from brassdrum.daemon.dispatcher import Dispatcher
from brassdrum.daemon.explanations import Explanations
from brassdrum.daemon.groups import GroupAllocator
from brassdrum.daemon.limits import DistributedLimiter
from brassdrum.daemon.relay import Relay
from brassdrum.daemon.watch import ExchangeWatchdog
from brassdrum.errors import InvalidRequestError, NotReadyError, UnknownKeyError
from brassdrum.outcomes.claimer import ShardedClaims
from brassdrum.outcomes.fingerprint import (
    PromptPart,
    RequestTraits,
    caller_mask,
    content_fingerprint,
)
from brassdrum.outcomes.resume import ResumeTokens
from brassdrum.outcomes.retries import RetryBudget, RetryPolicy
from brassdrum.settings import DaemonSettings
from brassdrum.telemetry.control_cost import ControlCost
from brassdrum.telemetry.metrics import Metrics
from brassdrum.telemetry.traces import RequestTrace, Tracing
from brassdrum.wsgi import Request

__all__ = ["ActiveRequests", "Core", "Scope", "request_traits"]

_MAX_IDEMPOTENCY_KEY_LENGTH = 255
_MAX_REQUEST_ID_LENGTH = 128


class ActiveRequests:
    """Counter of active requests that a graceful shutdown can wait on."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def enter(self) -> None:
        """Increment the counter."""
        with self._changed:
            self._count += 1

    def leave(self) -> None:
        """Decrement the counter."""
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def wait_idle(self, timeout: float) -> bool:
        """Block until no request is active; return False on a timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, timeout)


@dataclass(slots=True)
class Scope:
    """Context of a request, derived from its headers and its contract."""

    request: Request
    request_id: str
    contract: Contract
    view: FleetView
    trace: RequestTrace
    arrived: float
    deadline: float
    idempotency_key: str | None
    repeatable: bool

    @property
    def organisation(self) -> str:
        """Return the name of the caller's organisation."""
        return self.contract.organisation


@dataclass(slots=True)
class Core:
    """The shared components."""

    settings: DaemonSettings
    clock: Clock
    control: ControlState
    dispatcher: Dispatcher
    limits: DistributedLimiter
    claims: ShardedClaims
    resume_tokens: ResumeTokens
    watchdog: ExchangeWatchdog
    cancels: CancelQueue
    relay: Relay
    groups: GroupAllocator
    explanations: Explanations
    metrics: Metrics
    tracing: Tracing
    retry_budget: RetryBudget
    cost: ControlCost
    guard: ContentGuard
    retries: RetryPolicy = field(init=False)
    active: ActiveRequests = field(default_factory=ActiveRequests)
    stopping: threading.Event = field(default_factory=threading.Event)

    def __post_init__(self) -> None:
        self.retries = RetryPolicy(self.retry_budget, random.Random())

    def scope(self, request: Request, name: str) -> Scope:
        """Authenticate a request and return its scope; the body is not read.

        Raises ``NotReadyError``, ``UnknownKeyError`` or ``InvalidRequestError``.
        """
        view = self.control.view
        if view is None or self.stopping.is_set():
            raise NotReadyError("This daemon is not accepting new requests.", retry_after=1.0)
        contract = self._authenticate(request, view)
        arrived = self.clock.monotonic()
        seconds = _timeout_seconds(request, contract)
        trace = self.tracing.request(name, _trace_headers(request))
        request_id = _request_id(request, self.clock)
        trace.set("brassdrum.request_id", request_id)
        trace.set("brassdrum.organisation", contract.organisation)
        return Scope(
            request=request,
            request_id=request_id,
            contract=contract,
            view=view,
            trace=trace,
            arrived=arrived,
            deadline=arrived + seconds,
            idempotency_key=_idempotency_key(request),
            repeatable=request.header("Brassdrum-Repeatable") != "false",
        )

    def wall_time(self, monotonic: float) -> float:
        """Convert a monotonic time to seconds since the epoch."""
        return self.clock.now().timestamp() + monotonic - self.clock.monotonic()

    def new_stream_id(self) -> str:
        """Return a unique stream id."""
        return f"{self.settings.name}-{uuid.uuid4().hex}"

    @staticmethod
    def _authenticate(request: Request, view: FleetView) -> Contract:
        secret = _api_key(request)
        if secret is None:
            raise UnknownKeyError("The request has no API key.")
        owner = view.keys.find(secret)
        if owner is None:
            raise UnknownKeyError("The API key does not belong to any contract.")
        return view.contracts_by_organisation[owner.organisation]


def _api_key(request: Request) -> str | None:
    value = request.header("Authorization") or ""
    scheme, _, secret = value.partition(" ")
    if scheme.lower() != "bearer" or not secret:
        return None
    return secret.strip()


def _timeout_seconds(request: Request, contract: Contract) -> float:
    longest = contract.longest_wait_seconds + contract.longest_run_seconds
    value = request.header("Brassdrum-Timeout")
    if value is None:
        return longest
    try:
        seconds = float(value)
    except ValueError:
        raise InvalidRequestError(
            "The header Brassdrum-Timeout is no number.", remedy="Give it in seconds, as in '30'."
        ) from None
    if not 0 < seconds < float("inf"):
        raise InvalidRequestError("The header Brassdrum-Timeout must be finite and greater than 0.")
    return min(longest, seconds)


def request_traits(scope: Scope, body: bytes, parts: Iterable[PromptPart] = ()) -> RequestTraits:
    """Return what a request may have in common with others; it is the same on all daemons."""
    request = scope.request
    content = content_fingerprint(
        scope.organisation, request.method.encode(), request.path.encode(), body
    )
    return RequestTraits(content, tuple(parts), caller_mask(scope.organisation))


def _request_id(request: Request, clock: Clock) -> str:
    value = request.header("Brassdrum-Request-Id") or request.header("X-Request-Id")
    if value is None:
        return f"{round(clock.now().timestamp() * 1e6):x}-{uuid.uuid4().hex[:12]}"
    if len(value) > _MAX_REQUEST_ID_LENGTH or not value.isprintable():
        raise InvalidRequestError("The request id is longer than 128 characters or not printable.")
    return value


def _idempotency_key(request: Request) -> str | None:
    value = request.header("Idempotency-Key")
    if value is None:
        return None
    if not value or len(value) > _MAX_IDEMPOTENCY_KEY_LENGTH or not value.isprintable():
        raise InvalidRequestError(
            "The Idempotency-Key is empty, over 255 characters or not printable."
        )
    return value


def _trace_headers(request: Request) -> dict[str, str]:
    headers = {}
    for name in ("traceparent", "tracestate"):
        value = request.header(name)
        if value is not None:
            headers[name] = value
    return headers
