"""All-or-nothing reservation of KV cache memory on several engines for one request."""

from __future__ import annotations

import random
import threading
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from brassdrum.admission.work import Work
from brassdrum.clock import Clock
from brassdrum.daemon.dispatcher import Dispatcher, Placement
from brassdrum.endpoints.engine import EngineClient
from brassdrum.errors import CallerDisconnectedError, DeadlineUnreachableError, PromptTooLongError
from brassdrum.routing.groups import GroupPart, GroupPlan, can_ever_fit, plan_group

__all__ = ["GroupAllocator", "GroupReservation"]

_RESERVATION_TERM_SECONDS = 15.0
_MAX_PAUSE_SECONDS = 0.5
_HOLD_AFTER_FRACTION = 0.5
_RETRY_AFTER_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class GroupReservation:
    """Memory reserved on all engines of a group under one id."""

    id: str
    plan: GroupPlan


class GroupAllocator:
    """Selects groups of engines and reserves, renews and releases their memory."""

    def __init__(self, dispatcher: Dispatcher, clock: Clock, owner: str) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._owner = owner
        self._lock = threading.Lock()
        self._reservations_by_id: dict[str, GroupReservation] = {}

    def __len__(self) -> int:
        return len(self._reservations_by_id)

    def place(
        self, work: Work, disconnected: Callable[[], bool]
    ) -> tuple[Placement, GroupReservation]:
        """Block until a whole group is reserved; return the placement on its lead engine.

        Engines are reserved in a global order, and all are released if one refuses. To prevent
        starvation, a request that has waited for half of its time holds partial reservations while
        it retries the rest; the global order rules out deadlocks. Raises ``PromptTooLongError``,
        ``DeadlineUnreachableError`` or ``CallerDisconnectedError``.
        """
        if not can_ever_fit(work.kv_tokens, self._candidates(work)):
            raise PromptTooLongError(
                "The prompt does not fit in the memory of all endpoints together."
            )
        hold_from = work.arrived + _HOLD_AFTER_FRACTION * (work.start_by - work.arrived)
        while True:
            now = self._clock.monotonic()
            if now >= work.start_by:
                raise DeadlineUnreachableError(
                    "No group of endpoints had enough free memory in time.",
                    retry_after=_RETRY_AFTER_SECONDS,
                )
            if disconnected():
                raise CallerDisconnectedError(
                    "The caller disconnected while its request was queued."
                )
            reservation = self._try_reserve(
                work, hold_until=work.start_by if now >= hold_from else now
            )
            if reservation is not None:
                return self._dispatcher.place_reserved(work, reservation.plan.lead), reservation
            self._clock.sleep(random.uniform(0.0, _MAX_PAUSE_SECONDS))

    def release(self, reservation: GroupReservation) -> None:
        """Release the memory of a group; on an unreachable engine the reservation expires."""
        with self._lock:
            self._reservations_by_id.pop(reservation.id, None)
        for part in reservation.plan.parts:
            self._client_for(part).release(reservation.id)
        self._adjust_reserved(reservation.plan, -1)

    def renew(self) -> None:
        """Renew all reservations; must be called several times per term."""
        with self._lock:
            reservations = list(self._reservations_by_id.values())
        for reservation in reservations:
            for part in reservation.plan.parts:
                self._reserve(reservation.id, part)

    @staticmethod
    def renewal_interval() -> float:
        """Return the time between renewals in seconds."""
        return _RESERVATION_TERM_SECONDS / 4

    def _try_reserve(self, work: Work, hold_until: float) -> GroupReservation | None:
        with self._dispatcher.lock:
            plan = plan_group(work, self._candidates(work), self._clock.monotonic())
        if plan is None:
            return None
        reservation = GroupReservation(str(uuid.uuid4()), plan)
        reserved: list[GroupPart] = []
        for part in plan.parts:
            if not self._reserve_until(reservation.id, part, reserved, hold_until):
                for other in reserved:
                    self._client_for(other).release(reservation.id)
                return None
            reserved.append(part)
        with self._lock:
            self._reservations_by_id[reservation.id] = reservation
        self._adjust_reserved(plan, 1)
        return reservation

    def _reserve_until(
        self, reservation_id: str, part: GroupPart, reserved: list[GroupPart], hold_until: float
    ) -> bool:
        while not self._reserve(reservation_id, part):
            if self._clock.monotonic() >= hold_until:
                return False
            for other in reserved:
                self._reserve(reservation_id, other)
            self._clock.sleep(random.uniform(0.0, _MAX_PAUSE_SECONDS))
        return True

    def _reserve(self, reservation_id: str, part: GroupPart) -> bool:
        engine = self._client_for(part)
        return engine.reserve(reservation_id, self._owner, part.tokens, _RESERVATION_TERM_SECONDS)

    def _client_for(self, part: GroupPart) -> EngineClient:
        return self._dispatcher.fleet.engines_by_name[part.endpoint]

    def _candidates(self, work: Work):
        return self._dispatcher.fleet.states_by_target.get(work.target, [])

    def _adjust_reserved(self, plan: GroupPlan, sign: int) -> None:
        with self._dispatcher.lock:
            for part in plan.parts:
                state = self._dispatcher.fleet.states_by_name.get(part.endpoint)
                if state is not None:
                    state.kv_reserved = max(0, state.kv_reserved + sign * part.tokens)
