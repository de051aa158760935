"""Enforce contracts' limits across all daemons with slices borrowed from their lenders."""

from __future__ import annotations

import logging
import math
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import grpc

from brassdrum.admission.borrowing import BorrowedSlice
from brassdrum.admission.lending import Grant, MembershipView, lender_of, static_slice
from brassdrum.admission.limits import Allowance, LocalLimiter, Refusal
from brassdrum.clock import Clock
from brassdrum.contracts.documents import Contract
from brassdrum.daemon.lenders import LocalLenders
from brassdrum.errors import LimitExceededError
from brassdrum.membership.gossip import PeerClients
from brassdrum.membership.peer_pb2 import Demand, LendReply, LendRequest, Slice
from brassdrum.telemetry.control_cost import ControlCost

__all__ = ["DistributedLimiter"]

_logger = logging.getLogger(__name__)
_TERM_SECONDS = 2.0
_RENEWAL_TIMEOUT_SECONDS = 0.5
_MIN_ACTIVE_REQUESTS_PER_SECOND = 0.01
_FIRST_BORROW_INTERVAL_SECONDS = 0.5
_BORROW_RETRY_SECONDS = 0.05
_BLOCKING_CALL_TIMEOUT_SECONDS = 0.1
# Without a slice nothing is admitted, so a first request waits for its lender: longer than it takes
# to replace a lender that is silent.
_FIRST_BORROW_SECONDS = 3.0
_FIRST_BORROW_TIMEOUT_SECONDS = 1.0
# Ten doublings lead from 1 slot to 1000; the rest allow for capacity that other threads take.
_MAX_BORROW_ATTEMPTS = 16
# A lender without free capacity is not asked again for a term: other slices have expired by then.
_EXHAUSTED_BACKOFF_SECONDS = _TERM_SECONDS
_UNANSWERED_BACKOFF_SECONDS = 0.2
_NO_SLICE = Allowance(0.0, 0.0, 0)


@dataclass(slots=True)
class _Borrowing:
    """What a daemon holds and has asked for of one organisation's limits."""

    limiter: LocalLimiter
    slice: BorrowedSlice
    # Held while one thread asks the lender for the callers of all.
    lock: threading.Lock = field(default_factory=threading.Lock)
    gave_up_at: float = -math.inf
    no_more_until: float = -math.inf


@dataclass(frozen=True, slots=True)
class _SentRequest:
    """A request to a lender; the terms of its slices count from when it was sent."""

    message: LendRequest
    sent_at: float


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
        self._borrowings_by_organisation: dict[str, _Borrowing] = {}
        # Larger than the numbers of an earlier process of this daemon.
        self._first_number = round(clock.now().timestamp() * 1000.0)
        self._lenders = LocalLenders(name, clock, membership, cost, term_seconds)
        self._stopped = False

    def configure(self, contracts: Iterable[Contract]) -> None:
        """Apply the limits of the contracts in force."""
        with self._lock:
            self._limits_by_organisation = {
                contract.organisation: _allowance(contract) for contract in contracts
            }
            self._lenders.configure(self._limits_by_organisation)

    def acquire(self, organisation: str, tokens: int, start_by: float = math.inf) -> None:
        """Admit a request, or raise ``LimitExceededError`` without running it.

        Waits for a first slice until ``start_by``, in monotonic seconds, or for a few seconds.
        """
        self._borrow_if_idle(organisation, tokens, start_by)
        refusal = self._try_acquire(organisation, tokens, LocalLimiter.acquire)
        for _ in range(_MAX_BORROW_ATTEMPTS):
            if refusal is None or not self._borrow_more(organisation, refusal):
                break
            refusal = self._try_acquire(organisation, tokens, LocalLimiter.retry_acquire)
        if refusal is None:
            return
        self._log_refusal(organisation, refusal)
        message = f"The contract's {refusal.limit} is used up."
        if refusal.limit == "slice":
            message = "The daemon that lends the contract's limits has not answered in time."
        raise LimitExceededError(message, retry_after=min(60.0, max(0.05, refusal.retry_after)))

    def release(self, organisation: str, estimated_tokens: int, actual_tokens: int) -> None:
        """Release a request's slot and replace its estimated tokens by the actual number."""
        now = self._clock.monotonic()
        with self._lock:
            limiter = self._borrowing(organisation, now).limiter
            limiter.release(estimated_tokens, actual_tokens, now)

    def in_flight(self, organisation: str) -> int:
        """Return the number of an organisation's requests in flight on this daemon."""
        with self._lock:
            borrowing = self._borrowings_by_organisation.get(organisation)
            return 0 if borrowing is None else borrowing.limiter.in_flight

    def slice_of(self, organisation: str) -> Allowance:
        """Return the slice in force on this daemon."""
        with self._lock:
            now = self._clock.monotonic()
            return self._current_slice(self._borrowing(organisation, now), now)

    def slices_lent(self, organisation: str) -> dict[str, Allowance]:
        """Return the slices granted by this daemon, by borrower; empty for other lenders."""
        return self._lenders.slices_lent(organisation)

    def return_slices(self) -> None:
        """Return all slices to their lenders; call it when no more requests run.

        Otherwise the slices of a stopped daemon remain unavailable until their term ends.
        """
        with self._lock:
            self._stopped = True
            demands = [
                Demand(organisation=organisation)
                for organisation, borrowing in self._borrowings_by_organisation.items()
                if borrowing.slice.newest_grant is not None
            ]
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
        sent_at = self._clock.monotonic()
        for lender, demands in self._group_by_lender(self._demands()).items():
            message = LendRequest(borrower=self._name, demands=demands)
            request = _SentRequest(message, sent_at)
            if lender == self._name:
                self._apply_reply(request, self.lend(message))
                continue
            address = self._address_of(lender)
            if address is not None:
                self._cost.add("limits", message.ByteSize())
                call = self._clients.stub(address).Lend.future(
                    message, timeout=_RENEWAL_TIMEOUT_SECONDS
                )
                call.add_done_callback(
                    lambda call, request=request: self._handle_reply(request, call)
                )

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
            limiter = self._updated_limiter(organisation, now)
            if self._borrowing(organisation, now).slice.in_force(now) is None:
                return limiter.refuse_without_slice(tokens, now)
            return acquire(limiter, tokens, now)

    def _has_slice(self, organisation: str) -> bool:
        now = self._clock.monotonic()
        with self._lock:
            return self._borrowing(organisation, now).slice.in_force(now) is not None

    def _borrow_if_idle(self, organisation: str, tokens: int, start_by: float) -> None:
        """Wait for a slice of an organisation that has none on this daemon, as long as it helps."""
        if self._has_slice(organisation):
            return
        now = self._clock.monotonic()
        give_up_at = min(start_by, now + _FIRST_BORROW_SECONDS)
        with self._lock:
            borrowing = self._borrowing(organisation, now)
        if not borrowing.lock.acquire(timeout=max(0.0, give_up_at - now)):
            return
        try:
            self._borrow_first(organisation, borrowing, tokens, give_up_at)
        finally:
            borrowing.lock.release()

    def _borrow_first(
        self, organisation: str, borrowing: _Borrowing, tokens: int, give_up_at: float
    ) -> None:
        """Ask the lender until a slice is in force; the lender may be replaced meanwhile."""
        now = self._clock.monotonic()
        if now - borrowing.gave_up_at < _FIRST_BORROW_INTERVAL_SECONDS:
            return
        while not self._has_slice(organisation):
            now = self._clock.monotonic()
            if now >= give_up_at:
                borrowing.gave_up_at = now
                return
            with self._lock:
                running = borrowing.limiter.in_flight
                demand = self._demand(organisation, borrowing, (1.0, tokens), running + 1)
            timeout = min(_FIRST_BORROW_TIMEOUT_SECONDS, give_up_at - now)
            if not self._request_slice(demand, timeout):
                self._clock.sleep(_BORROW_RETRY_SECONDS)

    def _borrow_more(self, organisation: str, refusal: Refusal) -> bool:
        """Request twice the current slice; return whether there is capacity now.

        Waiting for the next renewal would refuse requests while the limit has free capacity.
        """
        with self._lock:
            borrowing = self._borrowing(organisation, self._clock.monotonic())
        with borrowing.lock:
            if self._has_capacity(organisation):
                # Another thread has borrowed while this one waited for the lock.
                return True
            now = self._clock.monotonic()
            with self._lock:
                if now < borrowing.no_more_until or borrowing.slice.in_force(now) is None:
                    return False
                demand = self._doubled_demand(organisation, borrowing, refusal, now)
            answered = self._request_slice(demand, _BLOCKING_CALL_TIMEOUT_SECONDS)
            if self._has_capacity(organisation):
                return True
            with self._lock:
                borrowing.no_more_until = now + (
                    _EXHAUSTED_BACKOFF_SECONDS if answered else _UNANSWERED_BACKOFF_SECONDS
                )
            return False

    def _has_capacity(self, organisation: str) -> bool:
        now = self._clock.monotonic()
        with self._lock:
            return self._updated_limiter(organisation, now).refusal(now) is None

    def _doubled_demand(
        self, organisation: str, borrowing: _Borrowing, refusal: Refusal, now: float
    ) -> Demand:
        limiter = borrowing.limiter
        allowance = self._current_slice(borrowing, now)
        requests, tokens = limiter.demand.rates(now)
        if refusal.limit == "requests_per_second":
            requests = max(requests, 2.0 * allowance.requests_per_second)
        if refusal.limit == "tokens_per_second":
            tokens = max(tokens, 2.0 * allowance.tokens_per_second)
        return self._demand(organisation, borrowing, (requests, tokens), 2 * limiter.in_flight + 1)

    def _request_slice(self, demand: Demand, timeout_seconds: float) -> bool:
        """Request a slice from an organisation's lender; return whether it answered in time."""
        lender = lender_of(demand.organisation, self._membership_view().live)
        message = LendRequest(borrower=self._name, demands=[demand])
        request = _SentRequest(message, self._clock.monotonic())
        if lender == self._name:
            self._apply_reply(request, self.lend(message))
            return True
        address = None if lender is None else self._address_of(lender)
        if address is None:
            return False
        try:
            reply = self._clients.stub(address).Lend(message, timeout=timeout_seconds)
        except grpc.RpcError as error:
            # Keep the current slice; the next renewal retries.
            _logger.info(
                "lender did not answer",
                extra={"organisation": demand.organisation, "lender": lender, "error": str(error)},
            )
            return False
        self._apply_reply(request, reply)
        return True

    def _log_refusal(self, organisation: str, refusal: Refusal) -> None:
        """Log a refusal with the slice in force, its source and age, and its lender."""
        now = self._clock.monotonic()
        with self._lock:
            borrowing = self._borrowing(organisation, now)
            grant = borrowing.slice.newest_grant
            allowance = self._current_slice(borrowing, now)
            running = borrowing.limiter.in_flight
        source = "none" if grant is None else "lent" if grant.expires > now else "lapsed"
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

    def _borrowing(self, organisation: str, now: float) -> _Borrowing:
        borrowing = self._borrowings_by_organisation.get(organisation)
        if borrowing is None:
            # The bursts of all static slices together are the one burst that a limit allows.
            limiter = LocalLimiter(self._static_slice(organisation), now)
            borrowing = _Borrowing(limiter, BorrowedSlice(self._first_number))
            self._borrowings_by_organisation[organisation] = borrowing
        return borrowing

    def _updated_limiter(self, organisation: str, now: float) -> LocalLimiter:
        """Return the limiter after applying the slice in force."""
        borrowing = self._borrowing(organisation, now)
        if borrowing.slice.newest_grant is not None:
            borrowing.limiter.set_allowance(self._current_slice(borrowing, now), now)
        return borrowing.limiter

    @staticmethod
    def _current_slice(borrowing: _Borrowing, now: float) -> Allowance:
        """Return the slice in force; without one nothing is admitted.

        A lender that is silent is replaced by another one before its slices expire.
        """
        grant = borrowing.slice.in_force(now)
        return _NO_SLICE if grant is None else grant.allowance

    def _demands(self) -> list[Demand]:
        now = self._clock.monotonic()
        demands = []
        with self._lock:
            for organisation, borrowing in self._borrowings_by_organisation.items():
                limiter = borrowing.limiter
                rates = limiter.demand.rates(now)
                concurrency = limiter.pop_concurrency_demand()
                if rates[0] < _MIN_ACTIVE_REQUESTS_PER_SECOND and concurrency == 0:
                    continue
                demands.append(self._demand(organisation, borrowing, rates, concurrency))
        return demands

    @staticmethod
    def _demand(
        organisation: str, borrowing: _Borrowing, rates: tuple[float, float], concurrency: int
    ) -> Demand:
        """Return the next request's demand; what runs and what is in force are of one moment."""
        order = borrowing.slice.next_order()
        requests, tokens = rates
        return Demand(
            organisation=organisation,
            requests_per_second=requests,
            tokens_per_second=tokens,
            concurrency=concurrency,
            running=borrowing.limiter.in_flight,
            number=order.number,
            applied=order.applied,
        )

    def _handle_reply(self, request: _SentRequest, call: grpc.Future) -> None:
        if call.cancelled() or call.exception() is not None:
            return
        self._cost.add("limits", call.result().ByteSize())
        self._apply_reply(request, call.result())

    def _apply_reply(self, request: _SentRequest, reply: LendReply) -> None:
        slices_by_organisation = {each.organisation: each for each in reply.slices}
        now = self._clock.monotonic()
        with self._lock:
            for demand in request.message.demands:
                borrowing = self._borrowing(demand.organisation, now)
                granted = slices_by_organisation.get(demand.organisation)
                grant = (
                    Grant(
                        self._static_slice(demand.organisation),
                        request.sent_at + self._term_seconds,
                    )
                    if granted is None
                    else _grant(granted, request.sent_at)
                )
                if not borrowing.slice.apply(demand.number, grant):
                    continue
                borrowing.limiter.set_allowance(self._current_slice(borrowing, now), now)
                borrowing.limiter.add_burst(grant.burst_requests, grant.burst_tokens, now)

    def _static_slice(self, organisation: str) -> Allowance:
        """Return the slice to use while the lender does not know the contract yet.

        Such a lender lends static slices at most in its first term, so all stay within the limits.
        """
        limits = self._limits_by_organisation.get(organisation, _NO_SLICE)
        return static_slice(limits, self._name, self._membership_view().known)


def _grant(granted: Slice, sent_at: float) -> Grant:
    """Decode a slice; its term counts from the request, which the lender got later."""
    allowance = Allowance(
        granted.requests_per_second, granted.tokens_per_second, granted.concurrency
    )
    return Grant(
        allowance, sent_at + granted.term_seconds, granted.burst_requests, granted.burst_tokens
    )
