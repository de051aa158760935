"""Enforce contracts' limits across all daemons, with borrowed slices or static ones as fallback."""

from __future__ import annotations

import logging
import threading
from collections import defaultdict
from collections.abc import Callable, Iterable

import grpc

from brassdrum.admission.lending import Grant, MembershipView, lender_of, static_slice
from brassdrum.admission.limits import Allowance, LocalLimiter, Refusal
from brassdrum.clock import Clock
from brassdrum.contracts.documents import Contract
from brassdrum.daemon.lenders import LocalLenders
from brassdrum.errors import LimitExceededError
from brassdrum.membership.gossip import PeerClients
from brassdrum.membership.peer_pb2 import Demand, LendReply, LendRequest
from brassdrum.telemetry.control_cost import ControlCost

__all__ = ["DistributedLimiter"]

_logger = logging.getLogger(__name__)
_TERM_SECONDS = 2.0
_RENEWAL_TIMEOUT_SECONDS = 0.5
_MIN_ACTIVE_REQUESTS_PER_SECOND = 0.01
_FIRST_BORROW_INTERVAL_SECONDS = 0.5
_BLOCKING_CALL_TIMEOUT_SECONDS = 0.1
_FALLBACK_TERMS = 5.0
# Ten doublings lead from 1 slot to 1000; the rest allow for capacity that other threads take.
_MAX_BORROW_ATTEMPTS = 16
# A lender without free capacity is not asked again for a term: other slices have expired by then.
_EXHAUSTED_BACKOFF_SECONDS = _TERM_SECONDS


def _allowance(contract: Contract) -> Allowance:
    limits = contract.limits
    return Allowance(limits.requests_per_second, limits.tokens_per_second, limits.concurrency)


class DistributedLimiter:
    """Enforces and renews the slices of all organisations on this daemon."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        clients: PeerClients,
        membership: Callable[[], MembershipView],
        address_of: Callable[[str], str | None],
        cost: ControlCost,
        term_seconds: float = _TERM_SECONDS,
    ) -> None:
        self._name = name
        self._clock = clock
        self._clients = clients
        self._membership_view = membership
        self._address_of = address_of
        self._cost = cost
        self._term_seconds = term_seconds
        self._lock = threading.Lock()
        self._limits_by_organisation: dict[str, Allowance] = {}
        self._limiters_by_organisation: dict[str, LocalLimiter] = {}
        self._borrowed_at_by_organisation: dict[str, float] = {}
        self._grants_by_organisation: dict[str, Grant] = {}
        self._lenders = LocalLenders(name, clock, membership, cost, term_seconds)
        self._borrow_locks_by_organisation: defaultdict[str, threading.Lock] = defaultdict(
            threading.Lock
        )
        self._exhausted_until_by_organisation: dict[str, float] = {}
        self._stopped = False

    def configure(self, contracts: Iterable[Contract]) -> None:
        """Apply the limits of the contracts in force."""
        with self._lock:
            self._limits_by_organisation = {
                contract.organisation: _allowance(contract) for contract in contracts
            }
            self._lenders.configure(self._limits_by_organisation)

    def acquire(self, organisation: str, tokens: int) -> None:
        """Admit a request, or raise ``LimitExceededError`` without running it."""
        self._borrow_if_idle(organisation, tokens)
        refusal = self._try_acquire(organisation, tokens, LocalLimiter.acquire)
        for _ in range(_MAX_BORROW_ATTEMPTS):
            if refusal is None or not self._borrow_more(organisation, refusal):
                break
            refusal = self._try_acquire(organisation, tokens, LocalLimiter.retry_acquire)
        if refusal is None:
            return
        self._log_refusal(organisation, refusal)
        raise LimitExceededError(
            f"The contract's {refusal.limit} is used up.",
            retry_after=min(60.0, max(0.05, refusal.retry_after)),
        )

    def release(self, organisation: str, estimated_tokens: int, actual_tokens: int) -> None:
        """Release a request's slot and replace its estimated tokens by the actual number."""
        now = self._clock.monotonic()
        with self._lock:
            self._limiter(organisation, now).release(estimated_tokens, actual_tokens, now)

    def in_flight(self, organisation: str) -> int:
        """Return the number of an organisation's requests in flight on this daemon."""
        with self._lock:
            limiter = self._limiters_by_organisation.get(organisation)
            return 0 if limiter is None else limiter.in_flight

    def slice_of(self, organisation: str) -> Allowance:
        """Return the slice in force on this daemon."""
        with self._lock:
            return self._current_slice(organisation, self._clock.monotonic())

    def slices_lent(self, organisation: str) -> dict[str, Allowance]:
        """Return the slices granted by this daemon, by borrower; empty for other lenders."""
        return self._lenders.slices_lent(organisation)

    def return_slices(self) -> None:
        """Return all slices to their lenders; call it when no more requests run.

        Otherwise the slices of a stopped daemon remain unavailable until their term ends.
        """
        with self._lock:
            self._stopped = True
            demands = [Demand(organisation=each) for each in self._grants_by_organisation]
        calls = []
        for lender, lender_demands in self._group_by_lender(demands).items():
            address = None if lender == self._name else self._address_of(lender)
            if address is None:
                continue
            request = LendRequest(borrower=self._name, demands=lender_demands, gives_back=True)
            call = self._clients.stub(address).Lend.future(
                request, timeout=_BLOCKING_CALL_TIMEOUT_SECONDS
            )
            calls.append((lender, call))
        for lender, call in calls:
            error = call.exception()
            if error is not None:
                _logger.info(
                    "failed to return slices", extra={"lender": lender, "error": str(error)}
                )

    def renew_slices(self) -> None:
        """Request slices for the next term from the lenders of all active organisations."""
        if self._stopped:
            return
        for lender, demands in self._group_by_lender(self._demands()).items():
            request = LendRequest(borrower=self._name, demands=demands)
            if lender == self._name:
                self._apply_reply(self.lend(request))
                continue
            address = self._address_of(lender)
            if address is not None:
                self._cost.add("limits", request.ByteSize())
                call = self._clients.stub(address).Lend.future(
                    request, timeout=_RENEWAL_TIMEOUT_SECONDS
                )
                call.add_done_callback(self._handle_reply)

    def lend(self, request: LendRequest) -> LendReply:
        """Handle a borrower's request for slices."""
        return self._lenders.lend(request)

    def _group_by_lender(self, demands: Iterable[Demand]) -> dict[str, list[Demand]]:
        """Group demands by the lender of their organisation."""
        daemons = self._membership_view().live
        by_lender: dict[str, list[Demand]] = {}
        for demand in demands:
            lender = lender_of(demand.organisation, daemons)
            if lender is not None:
                by_lender.setdefault(lender, []).append(demand)
        return by_lender

    def _try_acquire(
        self,
        organisation: str,
        tokens: int,
        acquire: Callable[[LocalLimiter, int, float], Refusal | None],
    ) -> Refusal | None:
        now = self._clock.monotonic()
        with self._lock:
            return acquire(self._updated_limiter(organisation, now), tokens, now)

    def _borrow_if_idle(self, organisation: str, tokens: int) -> None:
        """Borrow synchronously for an organisation that has no valid slice on this daemon."""
        now = self._clock.monotonic()
        with self._lock:
            grant = self._grants_by_organisation.get(organisation)
            borrowed_at = self._borrowed_at_by_organisation.get(organisation, float("-inf"))
            if (
                grant is not None and grant.expires > now
            ) or now - borrowed_at < _FIRST_BORROW_INTERVAL_SECONDS:
                return
            self._borrowed_at_by_organisation[organisation] = now
        running = self.in_flight(organisation)
        self._request_slice(
            Demand(
                organisation=organisation,
                requests_per_second=1.0,
                tokens_per_second=tokens,
                concurrency=running + 1,
                running=running,
            )
        )

    def _borrow_more(self, organisation: str, refusal: Refusal) -> bool:
        """Request twice the current slice; return whether there is capacity now.

        Waiting for the next renewal would refuse requests while the limit has free capacity.
        """
        with self._lock:
            borrow_lock = self._borrow_locks_by_organisation[organisation]
        with borrow_lock:
            if self._has_capacity(organisation):
                # Another thread has borrowed while this one waited for the lock.
                return True
            now = self._clock.monotonic()
            with self._lock:
                if now < self._exhausted_until_by_organisation.get(organisation, float("-inf")):
                    return False
                demand = self._doubled_demand(organisation, refusal, now)
            self._request_slice(demand)
            if self._has_capacity(organisation):
                return True
            with self._lock:
                self._exhausted_until_by_organisation[organisation] = (
                    now + _EXHAUSTED_BACKOFF_SECONDS
                )
            return False

    def _has_capacity(self, organisation: str) -> bool:
        now = self._clock.monotonic()
        with self._lock:
            return self._updated_limiter(organisation, now).refusal(now) is None

    def _doubled_demand(self, organisation: str, refusal: Refusal, now: float) -> Demand:
        limiter = self._limiter(organisation, now)
        allowance = self._current_slice(organisation, now)
        requests, tokens = limiter.demand.rates(now)
        if refusal.limit == "requests_per_second":
            requests = max(requests, 2.0 * allowance.requests_per_second)
        if refusal.limit == "tokens_per_second":
            tokens = max(tokens, 2.0 * allowance.tokens_per_second)
        return Demand(
            organisation=organisation,
            requests_per_second=requests,
            tokens_per_second=tokens,
            concurrency=2 * limiter.in_flight + 1,
            running=limiter.in_flight,
        )

    def _request_slice(self, demand: Demand) -> None:
        """Request a slice from an organisation's lender and wait briefly for the reply."""
        lender = lender_of(demand.organisation, self._membership_view().live)
        request = LendRequest(borrower=self._name, demands=[demand])
        if lender == self._name:
            self._apply_reply(self.lend(request))
            return
        address = None if lender is None else self._address_of(lender)
        if address is None:
            return
        try:
            self._apply_reply(
                self._clients.stub(address).Lend(request, timeout=_BLOCKING_CALL_TIMEOUT_SECONDS)
            )
        except grpc.RpcError as error:
            # Keep the current or static slice; the next renewal retries.
            _logger.info(
                "lender did not answer",
                extra={"organisation": demand.organisation, "lender": lender, "error": str(error)},
            )

    def _log_refusal(self, organisation: str, refusal: Refusal) -> None:
        """Log a refusal with the slice in force, its source and age, and its lender."""
        now = self._clock.monotonic()
        with self._lock:
            grant = self._grants_by_organisation.get(organisation)
            allowance = self._current_slice(organisation, now)
            running = self._limiter(organisation, now).in_flight
        source = "static" if grant is None else "lent" if grant.expires > now else "lapsed"
        age = None if grant is None else round(now - grant.expires + self._term_seconds, 3)
        membership = self._membership_view()
        _logger.info(
            "limit refused",
            extra={
                "organisation": organisation,
                "limit": refusal.limit,
                "running": running,
                "places": allowance.concurrency,
                "requests_per_second": round(allowance.requests_per_second, 3),
                "source": source,
                "age_seconds": age,
                "lender": lender_of(organisation, membership.live),
                "heard": len(membership.live),
                "known": len(membership.known),
            },
        )

    def _limiter(self, organisation: str, now: float) -> LocalLimiter:
        limiter = self._limiters_by_organisation.get(organisation)
        if limiter is None:
            limiter = LocalLimiter(self._current_slice(organisation, now), now)
            self._limiters_by_organisation[organisation] = limiter
        return limiter

    def _updated_limiter(self, organisation: str, now: float) -> LocalLimiter:
        """Return the limiter after applying the slice in force."""
        limiter = self._limiter(organisation, now)
        limiter.set_allowance(self._current_slice(organisation, now), now)
        return limiter

    def _current_slice(self, organisation: str, now: float) -> Allowance:
        grant = self._grants_by_organisation.get(organisation)
        if grant is not None and grant.expires > now:
            return grant.allowance
        limits = self._limits_by_organisation.get(organisation, Allowance(0.0, 0.0, 0))
        static = static_slice(limits, self._name, self._membership_view().known)
        if grant is not None and now - grant.expires < _FALLBACK_TERMS * self._term_seconds:
            return grant.fallback_allowance(static)
        return static

    def _demands(self) -> list[Demand]:
        now = self._clock.monotonic()
        demands = []
        with self._lock:
            for organisation, limiter in self._limiters_by_organisation.items():
                requests, tokens = limiter.demand.rates(now)
                concurrency = limiter.pop_concurrency_demand()
                if requests < _MIN_ACTIVE_REQUESTS_PER_SECOND and concurrency == 0:
                    continue
                demands.append(
                    Demand(
                        organisation=organisation,
                        requests_per_second=requests,
                        tokens_per_second=tokens,
                        concurrency=concurrency,
                        running=limiter.in_flight,
                    )
                )
        return demands

    def _handle_reply(self, call: grpc.Future) -> None:
        if call.cancelled() or call.exception() is not None:
            return
        self._cost.add("limits", call.result().ByteSize())
        self._apply_reply(call.result())

    def _apply_reply(self, reply: LendReply) -> None:
        now = self._clock.monotonic()
        with self._lock:
            for granted in reply.slices:
                allowance = Allowance(
                    granted.requests_per_second, granted.tokens_per_second, granted.concurrency
                )
                grant = Grant(allowance, now + granted.term_seconds)
                self._grants_by_organisation[granted.organisation] = grant
                limiter = self._limiter(granted.organisation, now)
                limiter.set_allowance(allowance, now)
                limiter.add_burst(granted.burst_requests, granted.burst_tokens, now)
