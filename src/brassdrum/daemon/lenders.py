"""Lend slices of the limits of the organisations that this daemon is the lender of."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Mapping

from brassdrum.admission.lending import (
    BorrowerDemand,
    Grant,
    Lender,
    MembershipView,
    RequestOrder,
)
from brassdrum.admission.limits import Allowance
from brassdrum.clock import Clock
from brassdrum.membership.peer_pb2 import Demand, LendReply, LendRequest, Slice
from brassdrum.telemetry.control_cost import ControlCost

__all__ = ["LocalLenders"]

_logger = logging.getLogger(__name__)


class LocalLenders:
    """The lenders of organisations for which other daemons borrow from this one."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        membership: Callable[[], MembershipView],
        cost: ControlCost,
        term_seconds: float,
    ) -> None:
        self._name = name
        self._clock = clock
        self._membership = membership
        self._cost = cost
        self._term_seconds = term_seconds
        self._lock = threading.Lock()
        self._limits_by_organisation: dict[str, Allowance] = {}
        self._lenders_by_organisation: dict[str, Lender] = {}
        self._underallocated_borrowers: set[tuple[str, str]] = set()

    def configure(self, limits_by_organisation: Mapping[str, Allowance]) -> None:
        """Apply the limits of the contracts in force."""
        with self._lock:
            self._limits_by_organisation = dict(limits_by_organisation)
            for organisation, limits in limits_by_organisation.items():
                lender = self._lenders_by_organisation.get(organisation)
                if lender is not None:
                    lender.set_limits(limits)

    def slices_lent(self, organisation: str) -> dict[str, Allowance]:
        """Return the slices granted by this daemon, by borrower; empty for other lenders."""
        with self._lock:
            lender = self._lenders_by_organisation.get(organisation)
            return {} if lender is None else lender.allowances_by_daemon(self._clock.monotonic())

    def lend(self, request: LendRequest) -> LendReply:
        """Grant the slices that a borrower requests, or take back the ones it returns."""
        now = self._clock.monotonic()
        membership = self._membership()
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
                order = RequestOrder(demand.number, demand.applied)
                grant = lender.lend(
                    request.borrower, _borrower_demand(demand), membership, now, order
                )
                self._log_allocation_change(demand, request.borrower, grant, membership)
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
        self, demand: Demand, borrower: str, grant: Grant, membership: MembershipView
    ) -> None:
        """Log when a borrower starts or stops being granted fewer slots than it requests."""
        key = (demand.organisation, borrower)
        underallocated = grant.allowance.concurrency < demand.concurrency
        if underallocated == (key in self._underallocated_borrowers):
            return
        if underallocated:
            self._underallocated_borrowers.add(key)
        else:
            self._underallocated_borrowers.discard(key)
        _logger.info(
            "slice short" if underallocated else "slice whole",
            extra={
                "organisation": demand.organisation,
                "borrower": borrower,
                "asked": demand.concurrency,
                "running": demand.running,
                "lent": grant.allowance.concurrency,
                "heard": len(membership.live),
                "known": len(membership.known),
            },
        )


def _borrower_demand(message: Demand) -> BorrowerDemand:
    return BorrowerDemand(
        message.requests_per_second,
        message.tokens_per_second,
        message.concurrency,
        message.running if message.HasField("running") else None,
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
