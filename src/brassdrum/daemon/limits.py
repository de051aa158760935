"""Enforce contracts' limits across all daemons with slices borrowed from their lenders."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable

import grpc

from brassdrum.admission.lending import MembershipView, lender_of
from brassdrum.admission.limits import NO_SLICE_LIMIT, Allowance, LocalLimiter, Refusal
from brassdrum.clock import Clock
from brassdrum.contracts.documents import Contract
from brassdrum.daemon.borrowed_limits import BorrowedLimits, Borrowing, SentRequest
from brassdrum.daemon.lenders import LocalLenders
from brassdrum.errors import LimitExceededError
from brassdrum.membership.gossip import PeerClients
from brassdrum.membership.peer_pb2 import Demand, LendReply, LendRequest
from brassdrum.telemetry.control_cost import ControlCost

__all__ = ["DistributedLimiter"]

_logger = logging.getLogger(__name__)
_TERM_SECONDS = 2.0
_RENEWAL_TIMEOUT_SECONDS = 0.5
_BORROW_RETRY_SECONDS = 0.05
# After a lender was silent for the whole wait, others do not wait as well.
_GAVE_UP_BACKOFF_SECONDS = 0.5
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
        self._borrowed = BorrowedLimits(name, clock, membership, term_seconds)
        self._lock = self._borrowed.lock
        self._lenders = LocalLenders(name, clock, membership, cost, term_seconds)
        self._stopped = False

    def configure(self, contracts: Iterable[Contract]) -> None:
        """Apply the limits of the contracts in force."""
        with self._lock:
            self._borrowed.configure(contracts)
            self._lenders.configure(self._borrowed.limits_by_organisation)

    def acquire(self, organisation: str, tokens: int, start_by: float = math.inf) -> None:
        """Admit a request, or raise ``LimitExceededError`` without running it.

        Waits for a first slice until ``start_by``, in monotonic seconds, or for a few seconds.
        """
        self._borrow_if_idle(organisation, tokens, start_by)
        refusal = self._try_acquire(organisation, tokens, LocalLimiter.acquire)
        for _ in range(_MAX_BORROW_ATTEMPTS):
            if refusal is None or refusal.limit == NO_SLICE_LIMIT:
                break
            if not self._borrow_more(organisation, refusal):
                break
            refusal = self._try_acquire(organisation, tokens, LocalLimiter.retry_acquire)
        if refusal is None:
            return
        self._log_refusal(organisation, refusal)
        message = f"The contract's {refusal.limit} is used up."
        if refusal.limit == NO_SLICE_LIMIT:
            message = "The daemon that lends the contract's limits has not answered in time."
        raise LimitExceededError(message, retry_after=min(60.0, max(0.05, refusal.retry_after)))

    def release(self, organisation: str, estimated_tokens: int, actual_tokens: int) -> None:
        """Release a request's slot and replace its estimated tokens by the actual number."""
        now = self._clock.monotonic()
        with self._lock:
            limiter = self._borrowed.borrowing(organisation, now).limiter
            limiter.release(estimated_tokens, actual_tokens, now)

    def in_flight(self, organisation: str) -> int:
        """Return the number of an organisation's requests in flight on this daemon."""
        with self._lock:
            return self._borrowed.in_flight(organisation)

    def slice_of(self, organisation: str) -> Allowance:
        """Return the slice in force on this daemon."""
        with self._lock:
            now = self._clock.monotonic()
            return self._borrowed.borrowing(organisation, now).allowance(now)

    def slices_lent(self, organisation: str) -> dict[str, Allowance]:
        """Return the slices granted by this daemon, by borrower; empty for other lenders."""
        return self._lenders.slices_lent(organisation)

    def return_slices(self) -> None:
        """Return all slices to their lenders; call it when no more requests run.

        Otherwise the slices of a stopped daemon remain unavailable until their term ends.
        """
        with self._lock:
            self._stopped = True
            demands = self._borrowed.returned_demands()
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
        with self._lock:
            own_demands = self._borrowed.demands()
        for lender, demands in self._group_by_lender(own_demands).items():
            message = LendRequest(borrower=self._name, demands=demands)
            request = SentRequest(message, sent_at)
            if lender == self._name:
                self._borrowed.apply(request, self.lend(message))
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
            limiter = self._borrowed.updated_limiter(organisation, now)
            if self._borrowed.borrowing(organisation, now).slice.in_force(now) is None:
                return limiter.refuse_without_slice(tokens, now)
            return acquire(limiter, tokens, now)

    def _has_slice(self, organisation: str) -> bool:
        now = self._clock.monotonic()
        with self._lock:
            return self._borrowed.borrowing(organisation, now).slice.in_force(now) is not None

    def _borrow_if_idle(self, organisation: str, tokens: int, start_by: float) -> None:
        """Wait for a slice of an organisation that has none on this daemon, as long as it helps."""
        if self._has_slice(organisation):
            return
        now = self._clock.monotonic()
        give_up_at = min(start_by, now + _FIRST_BORROW_SECONDS)
        with self._lock:
            borrowing = self._borrowed.borrowing(organisation, now)
        if not borrowing.lock.acquire(timeout=max(0.0, give_up_at - now)):
            # The thread that asks has not got a slice in time for this request either.
            return
        try:
            self._borrow_first(organisation, borrowing, tokens, give_up_at)
        finally:
            borrowing.lock.release()

    def _borrow_first(
        self, organisation: str, borrowing: Borrowing, tokens: int, give_up_at: float
    ) -> None:
        """Ask the lender until a slice is in force; the lender may be replaced meanwhile."""
        started = self._clock.monotonic()
        if started - borrowing.gave_up_at < _GAVE_UP_BACKOFF_SECONDS:
            return
        while not self._has_slice(organisation):
            now = self._clock.monotonic()
            if now >= give_up_at:
                if now - started >= _FIRST_BORROW_SECONDS:
                    borrowing.gave_up_at = now
                return
            with self._lock:
                demand = self._borrowed.first_demand(organisation, tokens)
            timeout = min(_FIRST_BORROW_TIMEOUT_SECONDS, give_up_at - now)
            if not self._request_slice(demand, timeout):
                self._clock.sleep(_BORROW_RETRY_SECONDS)

    def _borrow_more(self, organisation: str, refusal: Refusal) -> bool:
        """Request twice the current slice; return whether there is capacity now.

        Waiting for the next renewal would refuse requests while the limit has free capacity.
        """
        with self._lock:
            borrowing = self._borrowed.borrowing(organisation, self._clock.monotonic())
        with borrowing.lock:
            if self._has_capacity(organisation):
                # Another thread has borrowed while this one waited for the lock.
                return True
            now = self._clock.monotonic()
            with self._lock:
                if now < borrowing.no_more_until or borrowing.slice.in_force(now) is None:
                    return False
                demand = self._borrowed.doubled_demand(organisation, refusal)
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
            return self._borrowed.updated_limiter(organisation, now).refusal(now) is None

    def _request_slice(self, demand: Demand, timeout_seconds: float) -> bool:
        """Request a slice from an organisation's lender; return whether it answered in time."""
        lender = lender_of(demand.organisation, self._membership_view().live)
        message = LendRequest(borrower=self._name, demands=[demand])
        request = SentRequest(message, self._clock.monotonic())
        if lender == self._name:
            self._borrowed.apply(request, self.lend(message))
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
        self._borrowed.apply(request, reply)
        return True

    def _log_refusal(self, organisation: str, refusal: Refusal) -> None:
        """Log a refusal with the slice in force, its source and age, and its lender."""
        now = self._clock.monotonic()
        with self._lock:
            borrowing = self._borrowed.borrowing(organisation, now)
            grant = borrowing.slice.newest_grant
            allowance = borrowing.allowance(now)
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

    def _handle_reply(self, request: SentRequest, call: grpc.Future) -> None:
        if call.cancelled() or call.exception() is not None:
            return
        self._cost.add("limits", call.result().ByteSize())
        self._borrowed.apply(request, call.result())
