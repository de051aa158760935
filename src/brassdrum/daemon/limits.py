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
from brassdrum.daemon.lenders import LendersHere
from brassdrum.errors import LimitExceededError
from brassdrum.membership.gossip import PeerClients
from brassdrum.membership.peer_pb2 import Demand, LendReply, LendRequest
from brassdrum.telemetry.control_cost import ControlCost

__all__ = ["LimitBook"]

_logger = logging.getLogger(__name__)
_TERM_SECONDS = 2.0
_CALL_SECONDS = 0.5
_ACTIVE_RATE = 0.01
_ASK_AGAIN_SECONDS = 0.5
_FIRST_CALL_SECONDS = 0.1
_LAPSED_TERMS = 5.0
# From one place to a thousand are ten doublings; room that other threads take counts too.
_MOST_DOUBLINGS = 16
# After a lender had no more to lend, a daemon does not ask it before a refusal for this long: what
# others hold is free after a term at the latest.
_SHORT_SECONDS = _TERM_SECONDS


def _allowance(contract: Contract) -> Allowance:
    limits = contract.limits
    return Allowance(limits.requests_per_second, limits.tokens_per_second, limits.concurrency)


class LimitBook:
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
        self._census = census
        self._address_of = address_of
        self._cost = cost
        self._term = term_seconds
        self._lock = threading.Lock()
        self._limits_by_organisation: dict[str, Allowance] = {}
        self._limiters_by_organisation: dict[str, LocalLimiter] = {}
        self._asked_by_organisation: dict[str, float] = {}
        self._grants_by_organisation: dict[str, Grant] = {}
        self._lenders = LendersHere(name, clock, census, cost, term_seconds)
        self._asking_by_organisation: defaultdict[str, threading.Lock] = defaultdict(threading.Lock)
        self._short_until_by_organisation: dict[str, float] = {}
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
        self._borrow_first(organisation, tokens)
        refusal = self._try(organisation, tokens, LocalLimiter.acquire)
        for _ in range(_MOST_DOUBLINGS):
            if refusal is None or not self._borrow_more(organisation, refusal):
                break
            refusal = self._try(organisation, tokens, LocalLimiter.retry_acquire)
        if refusal is None:
            return
        self._tell_refusal(organisation, refusal)
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
            return self._slice(organisation, self._clock.monotonic())

    def lent(self, organisation: str) -> dict[str, Allowance]:
        """Return what is lent from here, by daemon; nothing where another one lends."""
        return self._lenders.lent(organisation)

    def give_back(self) -> None:
        """Tell the lenders, once nothing runs here any more, that they may lend our slices anew.

        Kept till the end of its term, the slice of each daemon that had gone took up to a third of
        a limit from those that came in its place.
        """
        with self._lock:
            self._stopped = True
            held = [Demand(organisation=each) for each in self._grants_by_organisation]
        calls = []
        for lender, demands in self._by_lender(held).items():
            address = None if lender == self._name else self._address_of(lender)
            if address is None:
                continue
            request = LendRequest(borrower=self._name, demands=demands, gives_back=True)
            call = self._clients.stub(address).Lend.future(request, timeout=_FIRST_CALL_SECONDS)
            calls.append((lender, call))
        for lender, call in calls:
            error = call.exception()
            if error is not None:
                _logger.info("slices not given back", extra={"lender": lender, "error": str(error)})

    def borrow(self) -> None:
        """Ask the lenders of all active organisations for slices of the next term."""
        if self._stopped:
            return
        for lender, demands in self._by_lender(self._demands()).items():
            request = LendRequest(borrower=self._name, demands=demands)
            if lender == self._name:
                self._take(self.lend(request))
                continue
            address = self._address_of(lender)
            if address is not None:
                self._cost.add("limits", request.ByteSize())
                call = self._clients.stub(address).Lend.future(request, timeout=_CALL_SECONDS)
                call.add_done_callback(self._receive)

    def lend(self, request: LendRequest) -> LendReply:
        """Return slices for a borrower."""
        return self._lenders.lend(request)

    def _by_lender(self, demands: Iterable[Demand]) -> dict[str, list[Demand]]:
        """Return demands by the daemon that lends their organisation's limits."""
        daemons = self._census().live
        by_lender: dict[str, list[Demand]] = {}
        for demand in demands:
            lender = lender_of(demand.organisation, daemons)
            if lender is not None:
                by_lender.setdefault(lender, []).append(demand)
        return by_lender

    def _try(
        self,
        organisation: str,
        tokens: int,
        acquire: Callable[[LocalLimiter, int, float], Refusal | None],
    ) -> Refusal | None:
        now = self._clock.monotonic()
        with self._lock:
            return acquire(self._limiter_in_force(organisation, now), tokens, now)

    def _borrow_first(self, organisation: str, tokens: int) -> None:
        """Ask the lender at once when an organisation that was idle here sends a request."""
        now = self._clock.monotonic()
        with self._lock:
            grant = self._grants_by_organisation.get(organisation)
            asked = self._asked_by_organisation.get(organisation, float("-inf"))
            if (grant is not None and grant.expires > now) or now - asked < _ASK_AGAIN_SECONDS:
                return
            self._asked_by_organisation[organisation] = now
        running = self.in_flight(organisation)
        self._ask(
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
            asking = self._asking_by_organisation[organisation]
        with asking:
            if self._has_room(organisation):
                # Another thread that waited for the same answer has asked.
                return True
            now = self._clock.monotonic()
            with self._lock:
                if now < self._short_until_by_organisation.get(organisation, float("-inf")):
                    return False
                demand = self._doubled(organisation, refusal, now)
            self._ask(demand)
            if self._has_room(organisation):
                return True
            with self._lock:
                self._short_until_by_organisation[organisation] = now + _SHORT_SECONDS
            return False

    def _has_room(self, organisation: str) -> bool:
        now = self._clock.monotonic()
        with self._lock:
            return self._limiter_in_force(organisation, now).refusal(now) is None

    def _doubled(self, organisation: str, refusal: Refusal, now: float) -> Demand:
        limiter = self._limiter(organisation, now)
        slice_ = self._slice(organisation, now)
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

    def _ask(self, demand: Demand) -> None:
        """Ask the lender of an organisation for a slice and wait shortly for its answer."""
        lender = lender_of(demand.organisation, self._census().live)
        request = LendRequest(borrower=self._name, demands=[demand])
        if lender == self._name:
            self._take(self.lend(request))
            return
        address = None if lender is None else self._address_of(lender)
        if address is None:
            return
        try:
            self._take(self._clients.stub(address).Lend(request, timeout=_FIRST_CALL_SECONDS))
        except grpc.RpcError as error:
            # The slice at hand, or the static one, decides; the next renewal asks again.
            _logger.info(
                "lender did not answer",
                extra={"organisation": demand.organisation, "lender": lender, "error": str(error)},
            )

    def _tell_refusal(self, organisation: str, refusal: Refusal) -> None:
        """Log what a refusal rests on: the slice, where it came from, its age, who lends."""
        now = self._clock.monotonic()
        with self._lock:
            grant = self._grants_by_organisation.get(organisation)
            slice_ = self._slice(organisation, now)
            running = self._limiter(organisation, now).in_flight
        source = "static" if grant is None else "lent" if grant.expires > now else "lapsed"
        age = None if grant is None else round(now - grant.expires + self._term, 3)
        census = self._census()
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
            limiter = LocalLimiter(self._slice(organisation, now), now)
            self._limiters_by_organisation[organisation] = limiter
        return limiter

    def _limiter_in_force(self, organisation: str, now: float) -> LocalLimiter:
        """Return the limiter with the slice that is in force now."""
        limiter = self._limiter(organisation, now)
        limiter.set_allowance(self._slice(organisation, now), now)
        return limiter

    def _slice(self, organisation: str, now: float) -> Allowance:
        grant = self._grants_by_organisation.get(organisation)
        if grant is not None and grant.expires > now:
            return grant.allowance
        limits = self._limits_by_organisation.get(organisation, Allowance(0.0, 0.0, 0))
        static = static_slice(limits, self._name, self._census().known)
        if grant is not None and now - grant.expires < _LAPSED_TERMS * self._term:
            return grant.fallback_allowance(static)
        return static

    def _demands(self) -> list[Demand]:
        now = self._clock.monotonic()
        demands = []
        with self._lock:
            for organisation, limiter in self._limiters_by_organisation.items():
                requests, tokens = limiter.demand.rates(now)
                wanted = limiter.pop_concurrency_demand()
                if requests < _ACTIVE_RATE and wanted == 0:
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

    def _receive(self, call: grpc.Future) -> None:
        if call.cancelled() or call.exception() is not None:
            return
        self._cost.add("limits", call.result().ByteSize())
        self._take(call.result())

    def _take(self, reply: LendReply) -> None:
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
