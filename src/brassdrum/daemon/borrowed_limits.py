"""Hold the slices that a daemon has borrowed, by organisation, and the demand behind them."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from brassdrum.admission.borrowing import BorrowedSlice
from brassdrum.admission.lending import Grant, MembershipView, static_slice
from brassdrum.admission.limits import Allowance, LocalLimiter, Refusal
from brassdrum.clock import Clock
from brassdrum.contracts.documents import Contract
from brassdrum.membership.peer_pb2 import Demand, LendReply, LendRequest, Slice

__all__ = ["NO_SLICE", "BorrowedLimits", "Borrowing", "SentRequest"]

_MIN_ACTIVE_REQUESTS_PER_SECOND = 0.01
NO_SLICE = Allowance(0.0, 0.0, 0)


@dataclass(slots=True)
class Borrowing:
    """What a daemon holds and has asked for of one organisation's limits."""

    limiter: LocalLimiter
    slice: BorrowedSlice
    # Held while one thread asks the lender for the callers of all.
    lock: threading.Lock = field(default_factory=threading.Lock)
    gave_up_at: float = -math.inf
    no_more_until: float = -math.inf

    def allowance(self, now: float) -> Allowance:
        """Return the slice in force; without one nothing is admitted."""
        grant = self.slice.in_force(now)
        return NO_SLICE if grant is None else grant.allowance


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request to a lender; the terms of its slices count from when it was sent."""

    message: LendRequest
    sent_at: float


class BorrowedLimits:
    """The slices of all organisations at one daemon; hold ``lock`` around all but ``apply``."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        membership: Callable[[], MembershipView],
        term_seconds: float,
    ) -> None:
        self._name = name
        self._clock = clock
        self._membership_view = membership
        self._term_seconds = term_seconds
        self.lock = threading.Lock()
        self.limits_by_organisation: dict[str, Allowance] = {}
        self._by_organisation: dict[str, Borrowing] = {}
        # Larger than the numbers of an earlier process of this daemon.
        self._first_number = round(clock.now().timestamp() * 1000.0)

    def configure(self, contracts: Iterable[Contract]) -> None:
        """Set the limits of the contracts in force."""
        self.limits_by_organisation = {
            contract.organisation: _allowance(contract) for contract in contracts
        }

    def borrowing(self, organisation: str, now: float) -> Borrowing:
        """Return an organisation's slice and limiter; create them for its first request."""
        borrowing = self._by_organisation.get(organisation)
        if borrowing is None:
            # The bursts of all static slices together are the one burst that a limit allows.
            limiter = LocalLimiter(self._static_slice(organisation), now)
            borrowing = Borrowing(limiter, BorrowedSlice(self._first_number))
            self._by_organisation[organisation] = borrowing
        return borrowing

    def in_flight(self, organisation: str) -> int:
        """Return the number of an organisation's requests in flight."""
        borrowing = self._by_organisation.get(organisation)
        return 0 if borrowing is None else borrowing.limiter.in_flight

    def updated_limiter(self, organisation: str, now: float) -> LocalLimiter:
        """Return the limiter after applying the slice in force."""
        borrowing = self.borrowing(organisation, now)
        if borrowing.slice.newest_grant is not None:
            borrowing.limiter.set_allowance(borrowing.allowance(now), now)
        return borrowing.limiter

    def returned_demands(self) -> list[Demand]:
        """Return the messages that give all slices back."""
        return [
            Demand(organisation=organisation)
            for organisation, borrowing in self._by_organisation.items()
            if borrowing.slice.newest_grant is not None
        ]

    def demands(self) -> list[Demand]:
        """Return the demand of all active organisations for the next term."""
        now = self._clock.monotonic()
        demands = []
        for organisation, borrowing in self._by_organisation.items():
            rates = borrowing.limiter.demand.rates(now)
            concurrency = borrowing.limiter.pop_concurrency_demand()
            if rates[0] < _MIN_ACTIVE_REQUESTS_PER_SECOND and concurrency == 0:
                continue
            demands.append(_demand(organisation, borrowing, rates, concurrency))
        return demands

    def first_demand(self, organisation: str, tokens: int) -> Demand:
        """Return the demand of an organisation's first request."""
        borrowing = self.borrowing(organisation, self._clock.monotonic())
        concurrency = borrowing.limiter.in_flight + 1
        return _demand(organisation, borrowing, (1.0, tokens), concurrency)

    def doubled_demand(self, organisation: str, refusal: Refusal) -> Demand:
        """Return the demand for twice the slice that refused a request."""
        now = self._clock.monotonic()
        borrowing = self.borrowing(organisation, now)
        limiter, allowance = borrowing.limiter, borrowing.allowance(now)
        requests, tokens = limiter.demand.rates(now)
        if refusal.limit == "requests_per_second":
            requests = max(requests, 2.0 * allowance.requests_per_second)
        if refusal.limit == "tokens_per_second":
            tokens = max(tokens, 2.0 * allowance.tokens_per_second)
        return _demand(organisation, borrowing, (requests, tokens), 2 * limiter.in_flight + 1)

    def apply(self, request: SentRequest, reply: LendReply) -> None:
        """Put the slices of a reply into force, except those that a newer reply has replaced."""
        slices_by_organisation = {each.organisation: each for each in reply.slices}
        now = self._clock.monotonic()
        with self.lock:
            for demand in request.message.demands:
                borrowing = self.borrowing(demand.organisation, now)
                granted = slices_by_organisation.get(demand.organisation)
                grant = self._decode(demand.organisation, granted, request.sent_at)
                if not borrowing.slice.apply(demand.number, grant):
                    continue
                borrowing.limiter.set_allowance(borrowing.allowance(now), now)
                borrowing.limiter.add_burst(grant.burst_requests, grant.burst_tokens, now)

    def _decode(self, organisation: str, granted: Slice | None, sent_at: float) -> Grant:
        """Decode a slice; without one the lender does not know the contract yet.

        Such a lender lends static slices at most in its first term, so that static slices stay
        within the limits. Terms count from the request, which the lender got later.
        """
        if granted is None:
            return Grant(self._static_slice(organisation), sent_at + self._term_seconds)
        allowance = Allowance(
            granted.requests_per_second, granted.tokens_per_second, granted.concurrency
        )
        expires = sent_at + granted.term_seconds
        return Grant(allowance, expires, granted.burst_requests, granted.burst_tokens)

    def _static_slice(self, organisation: str) -> Allowance:
        limits = self.limits_by_organisation.get(organisation, NO_SLICE)
        return static_slice(limits, self._name, self._membership_view().known)


def _allowance(contract: Contract) -> Allowance:
    limits = contract.limits
    return Allowance(limits.requests_per_second, limits.tokens_per_second, limits.concurrency)


def _demand(
    organisation: str, borrowing: Borrowing, rates: tuple[float, float], concurrency: int
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
