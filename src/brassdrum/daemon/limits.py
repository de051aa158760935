"""Hold contracts' limits over all daemons: borrow slices, or fall back to static ones."""

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
# From one place to a thousand are ten doublings; room that other threads take counts too.
_MAX_BORROW_ATTEMPTS = 16
# After a lender had no more to lend, a daemon does not ask it before a refusal for this long: what
# others hold is free after a term at the latest.
_EXHAUSTED_BACKOFF_SECONDS = _TERM_SECONDS


def _allowance(contract: Contract) -> Allowance:
    limits = contract.limits
    return Allowance(limits.requests_per_second, limits.tokens_per_second, limits.concurrency)


class DistributedLimiter:
    """Know every organisation's slice on this daemon and lend those it is the lender of."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        clients: PeerClients,
        census: Callable[[], MembershipView],
        address_of: Callable[[str], str | None],
        cost: ControlCost,
        term_seconds: float = _TERM_SECONDS,
    ) -> None:
        self._name = name
        self._clock = clock
        self._clients = clients
        self._membership_view = census
        self._address_of = address_of
        self._cost = cost
        self._term_seconds = term_seconds
        self._lock = threading.Lock()
        self._limits_by_organisation: dict[str, Allowance] = {}
        self._limiters_by_organisation: dict[str, LocalLimiter] = {}
        self._borrowed_at_by_organisation: dict[str, float] = {}
        self._grants_by_organisation: dict[str, Grant] = {}
        self._lenders = LocalLenders(name, clock, census, cost, term_seconds)
        self._borrow_locks_by_organisation: defaultdict[str, threading.Lock] = defaultdict(
            threading.Lock
        )
        self._exhausted_until_by_organisation: dict[str, float] = {}
        self._stopped = False

    def configure(self, contracts: Iterable[Contract]) -> None:
        """Take over the limits of the contracts in force."""
        with self._lock:
            self._limits_by_organisation = {
                contract.organisation: _allowance(contract) for contract in contracts
            }
            self._lenders.configure(self._limits_by_organisation)

    def acquire(self, organisation: str, tokens: int) -> None:
        """Take room for a request, or raise ``LimitExceededError``; it did not run then."""
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

    def release(self, organisation: str, estimated_tokens: int, real_tokens: int) -> None:
        """Give a request's place back and correct its tokens."""
        now = self._clock.monotonic()
        with self._lock:
            self._limiter(organisation, now).release(estimated_tokens, real_tokens, now)

    def in_flight(self, organisation: str) -> int:
        """Return how many requests of an organisation run here."""
        with self._lock:
            limiter = self._limiters_by_organisation.get(organisation)
            return 0 if limiter is None else limiter.in_flight

    def slice_of(self, organisation: str) -> Allowance:
        """Return the slice in force on this daemon."""
        with self._lock:
            return self._current_slice(organisation, self._clock.monotonic())

    def slices_lent(self, organisation: str) -> dict[str, Allowance]:
        """Return what is lent from here, by daemon; nothing where another one lends."""
        return self._lenders.slices_lent(organisation)

    def return_slices(self) -> None:
        """Tell the lenders, once nothing runs here any more, that they may lend our slices anew.

        Kept till the end of its term, the slice of each daemon that had gone took up to a third of
        a limit from those that came in its place.
        """
        with self._lock:
            self._stopped = True
            held = [Demand(organisation=each) for each in self._grants_by_organisation]
        calls = []
        for lender, demands in self._group_by_lender(held).items():
            address = None if lender == self._name else self._address_of(lender)
            if address is None:
                continue
            request = LendRequest(borrower=self._name, demands=demands, gives_back=True)
            call = self._clients.stub(address).Lend.future(
                request, timeout=_BLOCKING_CALL_TIMEOUT_SECONDS
            )
            calls.append((lender, call))
        for lender, call in calls:
            error = call.exception()
            if error is not None:
                _logger.info("slices not given back", extra={"lender": lender, "error": str(error)})

    def renew_slices(self) -> None:
        """Ask the lenders of all active organisations for slices of the next term."""
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
        """Return slices for a borrower."""
        return self._lenders.lend(request)

    def _group_by_lender(self, demands: Iterable[Demand]) -> dict[str, list[Demand]]:
        """Return demands by the daemon that lends their organisation's limits."""
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
        """Ask the lender at once when an organisation that was idle here sends a request."""
        now = self._clock.monotonic()
        with self._lock:
            grant = self._grants_by_organisation.get(organisation)
            asked = self._borrowed_at_by_organisation.get(organisation, float("-inf"))
            if (
                grant is not None and grant.expires > now
            ) or now - asked < _FIRST_BORROW_INTERVAL_SECONDS:
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
        """Ask for twice what is at hand before a caller is refused; return whether there is room.

        The slice follows its callers by one renewal a doubling otherwise: a newcomer refused most
        of the callers that moved to it for a second or more while 400 of 1000 places were free.
        """
        with self._lock:
            asking = self._borrow_locks_by_organisation[organisation]
        with asking:
            if self._has_capacity(organisation):
                # Another thread that waited for the same answer has asked.
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
        slice_ = self._current_slice(organisation, now)
        requests, tokens = limiter.demand.rates(now)
        if refusal.limit == "requests_per_second":
            requests = max(requests, 2.0 * slice_.requests_per_second)
        if refusal.limit == "tokens_per_second":
            tokens = max(tokens, 2.0 * slice_.tokens_per_second)
        return Demand(
            organisation=organisation,
            requests_per_second=requests,
            tokens_per_second=tokens,
            concurrency=2 * limiter.in_flight + 1,
            running=limiter.in_flight,
        )

    def _request_slice(self, demand: Demand) -> None:
        """Ask the lender of an organisation for a slice and wait shortly for its answer."""
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
            # The slice at hand, or the static one, decides; the next renewal asks again.
            _logger.info(
                "lender did not answer",
                extra={"organisation": demand.organisation, "lender": lender, "error": str(error)},
            )

    def _log_refusal(self, organisation: str, refusal: Refusal) -> None:
        """Log what a refusal rests on: the slice, where it came from, its age, who lends."""
        now = self._clock.monotonic()
        with self._lock:
            grant = self._grants_by_organisation.get(organisation)
            slice_ = self._current_slice(organisation, now)
            running = self._limiter(organisation, now).in_flight
        source = "static" if grant is None else "lent" if grant.expires > now else "lapsed"
        age = None if grant is None else round(now - grant.expires + self._term_seconds, 3)
        census = self._membership_view()
        _logger.info(
            "limit refused",
            extra={
                "organisation": organisation,
                "limit": refusal.limit,
                "running": running,
                "places": slice_.concurrency,
                "requests_per_second": round(slice_.requests_per_second, 3),
                "source": source,
                "age_seconds": age,
                "lender": lender_of(organisation, census.live),
                "heard": len(census.live),
                "known": len(census.known),
            },
        )

    def _limiter(self, organisation: str, now: float) -> LocalLimiter:
        limiter = self._limiters_by_organisation.get(organisation)
        if limiter is None:
            limiter = LocalLimiter(self._current_slice(organisation, now), now)
            self._limiters_by_organisation[organisation] = limiter
        return limiter

    def _updated_limiter(self, organisation: str, now: float) -> LocalLimiter:
        """Return the limiter with the slice that is in force now."""
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
                wanted = limiter.pop_concurrency_demand()
                if requests < _MIN_ACTIVE_REQUESTS_PER_SECOND and wanted == 0:
                    continue
                demands.append(
                    Demand(
                        organisation=organisation,
                        requests_per_second=requests,
                        tokens_per_second=tokens,
                        concurrency=wanted,
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
            for lent in reply.slices:
                allowance = Allowance(
                    lent.requests_per_second, lent.tokens_per_second, lent.concurrency
                )
                grant = Grant(allowance, now + lent.term_seconds)
                self._grants_by_organisation[lent.organisation] = grant
                limiter = self._limiter(lent.organisation, now)
                limiter.set_allowance(allowance, now)
                limiter.add_burst(lent.burst_requests, lent.burst_tokens, now)
