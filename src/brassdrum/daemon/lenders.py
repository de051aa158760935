"""Lend slices of the limits of those organisations whose lender this daemon is."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Mapping

from brassdrum.admission.lending import BorrowerDemand, Grant, Lender, MembershipView
from brassdrum.admission.limits import Allowance
from brassdrum.clock import Clock
from brassdrum.membership.peer_pb2 import Demand, LendReply, LendRequest, Slice
from brassdrum.telemetry.control_cost import ControlCost

__all__ = ["LocalLenders"]

_logger = logging.getLogger(__name__)


class LocalLenders:
    """Keep a lender for each organisation that daemons ask this one for."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        census: Callable[[], MembershipView],
        cost: ControlCost,
        term_seconds: float,
    ) -> None:
        self._name = name
        self._clock = clock
        self._census = census
        self._cost = cost
        self._term_seconds = term_seconds
        self._lock = threading.Lock()
        self._limits_by_organisation: dict[str, Allowance] = {}
        self._lenders_by_organisation: dict[str, Lender] = {}
        self._underallocated_borrowers: set[tuple[str, str]] = set()

    def configure(self, limits_by_organisation: Mapping[str, Allowance]) -> None:
        """Take over the limits of the contracts in force."""
        with self._lock:
            self._limits_by_organisation = dict(limits_by_organisation)
            for organisation, limits in limits_by_organisation.items():
                lender = self._lenders_by_organisation.get(organisation)
                if lender is not None:
                    lender.set_limits(limits)

    def slices_lent(self, organisation: str) -> dict[str, Allowance]:
        """Return what is lent from here, by daemon; nothing where another one lends."""
        with self._lock:
            lender = self._lenders_by_organisation.get(organisation)
            return {} if lender is None else lender.allowances_by_daemon(self._clock.monotonic())

    def lend(self, request: LendRequest) -> LendReply:
        """Return slices for a borrower, none where it gives its slices back."""
        now = self._clock.monotonic()
        census = self._census()
        reply = LendReply()
        if request.borrower != self._name:
            self._cost.add("limits", request.ByteSize())
        with self._lock:
            for demand in request.demands:
                lender = self._lender(demand.organisation, now)
                if lender is None:
                    continue
                if request.gives_back:
                    lender.return_slice(request.borrower)
                    continue
                grant = lender.lend(request.borrower, _borrower_demand(demand), census, now)
                self._log_allocation_change(demand, request.borrower, grant, census)
                reply.slices.append(_slice_message(demand.organisation, grant, now))
        return reply

    def _lender(self, organisation: str, now: float) -> Lender | None:
        limits = self._limits_by_organisation.get(organisation)
        if limits is None:
            return None
        lender = self._lenders_by_organisation.get(organisation)
        if lender is None:
            lender = Lender(limits, self._term_seconds, now)
            self._lenders_by_organisation[organisation] = lender
        return lender

    def _log_allocation_change(
        self, demand: Demand, borrower: str, grant: Grant, census: MembershipView
    ) -> None:
        """Log when a borrower begins or ceases to be lent fewer places than it asks for."""
        key = (demand.organisation, borrower)
        short = grant.allowance.concurrency < demand.concurrency
        if short == (key in self._underallocated_borrowers):
            return
        if short:
            self._underallocated_borrowers.add(key)
        else:
            self._underallocated_borrowers.discard(key)
        _logger.info(
            "slice short" if short else "slice whole",
            extra={
                "organisation": demand.organisation,
                "borrower": borrower,
                "asked": demand.concurrency,
                "running": demand.running,
                "lent": grant.allowance.concurrency,
                "heard": len(census.live),
                "known": len(census.known),
            },
        )


def _borrower_demand(told: Demand) -> BorrowerDemand:
    return BorrowerDemand(
        told.requests_per_second,
        told.tokens_per_second,
        told.concurrency,
        told.running if told.HasField("running") else None,
    )


def _slice_message(organisation: str, grant: Grant, now: float) -> Slice:
    return Slice(
        organisation=organisation,
        requests_per_second=grant.allowance.requests_per_second,
        tokens_per_second=grant.allowance.tokens_per_second,
        concurrency=grant.allowance.concurrency,
        term_seconds=grant.expires - now,
        burst_requests=grant.burst_requests,
        burst_tokens=grant.burst_tokens,
    )
