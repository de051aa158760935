"""Weighted fair queueing between organisations, earliest start deadline first within each."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field

from brassdrum.admission.work import LengthBand, Work
from brassdrum.contracts.documents import Urgency

__all__ = ["Account", "FairQueue"]

_URGENCY_WEIGHT = {Urgency.INTERACTIVE: 4.0, Urgency.STANDARD: 2.0, Urgency.BULK: 1.0}
_AGING_FRACTION = 0.5


@dataclass(slots=True)
class Account:
    """Usage, waiting time and refusals of one organisation, and the causes of its delays."""

    organisation: str
    used_cost: float = 0.0
    dispatched: int = 0
    refused: int = 0
    waited_seconds: float = 0.0
    delayed_by: dict[str, float] = field(default_factory=dict)
    virtual_time: float = 0.0


@dataclass(frozen=True, slots=True)
class _FlowKey:
    organisation: str
    target: str
    band: LengthBand


@dataclass(slots=True)
class _QueuedWork:
    work: Work
    used_before: dict[str, float]


class FairQueue:
    """Queues work in flows, whose heads compete by weighted fair shares.

    A flow is one organisation's work of one length band for one target. A long request that does
    not fit any endpoint thus never blocks short ones behind it.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._count = itertools.count()
        self._flows: dict[_FlowKey, list[tuple[float, int, str]]] = {}
        self._queued_by_id: dict[str, _QueuedWork] = {}
        self._queued_count_by_organisation: dict[str, int] = {}
        self.accounts_by_organisation: dict[str, Account] = {}

    def __len__(self) -> int:
        return len(self._queued_by_id)

    def queued(self, organisation: str) -> int:
        """Return the number of queued requests of an organisation."""
        return self._queued_count_by_organisation.get(organisation, 0)

    def account(self, organisation: str) -> Account:
        """Return an organisation's account, creating it on first use."""
        account = self.accounts_by_organisation.get(organisation)
        if account is None:
            account = Account(organisation, virtual_time=self._start_virtual_time())
            self.accounts_by_organisation[organisation] = account
        return account

    def push(self, work: Work) -> Work | None:
        """Add work; if the queue is full, return the work shed, possibly the new one."""
        shed = None
        if len(self) >= self._capacity:
            shed = self._select_victim(work)
            self.account(shed.organisation).refused += 1
            if shed is work:
                return shed
            self.remove(shed.id)
        account = self.account(work.organisation)
        if self.queued(work.organisation) == 0:
            # An idle organisation accumulates no credit.
            account.virtual_time = max(account.virtual_time, self._start_virtual_time())
        used = {name: item.used_cost for name, item in self.accounts_by_organisation.items()}
        self._queued_by_id[work.id] = _QueuedWork(work, used)
        self._queued_count_by_organisation[work.organisation] = self.queued(work.organisation) + 1
        flow = self._flows.setdefault(_FlowKey(work.organisation, work.target, work.band), [])
        heapq.heappush(flow, (work.start_by, next(self._count), work.id))
        return shed

    def heads(self, now: float) -> list[Work]:
        """Return the head of every flow in dispatch order."""
        heads = []
        for key in list(self._flows):
            work = self._head(key)
            if work is not None:
                heads.append(work)
        heads.sort(key=lambda work: self._dispatch_order(work, now))
        return heads

    def remove(self, work_id: str) -> Work | None:
        """Remove work without charging it."""
        entry = self._queued_by_id.pop(work_id, None)
        if entry is None:
            return None
        organisation = entry.work.organisation
        self._queued_count_by_organisation[organisation] -= 1
        if self._queued_count_by_organisation[organisation] == 0:
            del self._queued_count_by_organisation[organisation]
        return entry.work

    def dispatch(self, work_id: str, now: float) -> None:
        """Remove work that is sent to an endpoint, and charge its organisation."""
        entry = self._queued_by_id.get(work_id)
        if entry is None:
            return
        self.remove(work_id)
        work = entry.work
        self._attribute_delay(self.account(work.organisation), entry, max(0.0, now - work.arrived))
        self.charge(work, now)

    def charge(self, work: Work, now: float) -> None:
        """Charge an organisation for work sent to an endpoint, whether it was queued or not."""
        account = self.account(work.organisation)
        account.waited_seconds += max(0.0, now - work.arrived)
        account.dispatched += 1
        account.used_cost += work.cost
        account.virtual_time += work.cost / (work.share * _URGENCY_WEIGHT[work.urgency])

    def correct_cost(self, organisation: str, work: Work, actual_cost: float) -> None:
        """Replace the estimated cost of dispatched work by the actual cost."""
        account = self.account(organisation)
        difference = actual_cost - work.cost
        account.used_cost += difference
        account.virtual_time += difference / (work.share * _URGENCY_WEIGHT[work.urgency])

    def _head(self, key: _FlowKey) -> Work | None:
        flow = self._flows[key]
        while flow:
            entry = self._queued_by_id.get(flow[0][2])
            if entry is not None:
                return entry.work
            heapq.heappop(flow)
        del self._flows[key]
        return None

    def _dispatch_order(self, work: Work, now: float) -> tuple[int, float, float]:
        waited = now - work.arrived
        allowed = max(1e-9, work.start_by - work.arrived)
        aged = 0 if waited > _AGING_FRACTION * allowed else 1
        if aged == 0:
            return (0, work.start_by, 0.0)
        return (1, self.account(work.organisation).virtual_time, work.start_by)

    def _start_virtual_time(self) -> float:
        times = [
            self.accounts_by_organisation[name].virtual_time
            for name in self._queued_count_by_organisation
            if name in self.accounts_by_organisation
        ]
        if times:
            return min(times)
        return max(
            (account.virtual_time for account in self.accounts_by_organisation.values()),
            default=0.0,
        )

    def _select_victim(self, new: Work) -> Work:
        candidates = [item.work for item in self._queued_by_id.values()]
        candidates.append(new)
        return max(
            candidates,
            key=lambda work: (
                work.urgency.rank,
                self.queued(work.organisation) / work.share,
                work.start_by,
                work is new,
            ),
        )

    def _attribute_delay(self, account: Account, entry: _QueuedWork, wait: float) -> None:
        used_by_other = {}
        for name, other in self.accounts_by_organisation.items():
            used = other.used_cost - entry.used_before.get(name, 0.0)
            if used > 0:
                used_by_other[name] = used
        total = sum(used_by_other.values())
        for name, used in used_by_other.items():
            delayed = account.delayed_by.get(name, 0.0)
            account.delayed_by[name] = delayed + wait * used / total
