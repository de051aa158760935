"""Reserve memory at several engines, all or none, and keep it while a request uses it."""

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

__all__ = ["GroupReservation", "Groups"]

_TERM_SECONDS = 15.0
_LONGEST_PAUSE = 0.5
_AGED_SHARE = 0.5
_RETRY_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class GroupReservation:
    """Hold the memory of a group; one id at all its engines."""

    id: str
    plan: GroupPlan


class Groups:
    """Find, reserve, renew and release groups of engines."""

    def __init__(self, dispatcher: Dispatcher, clock: Clock, owner: str) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._owner = owner
        self._lock = threading.Lock()
        self._held_by_id: dict[str, GroupReservation] = {}

    def __len__(self) -> int:
        return len(self._held_by_id)

    def place(
        self, work: Work, disconnected: Callable[[], bool]
    ) -> tuple[Placement, GroupReservation]:
        """Wait until a whole group is reserved and return the place at its lead.

        All engines are asked in one order and all given back when one refuses. A request that has
        waited half of its time keeps what it got while it asks for the rest: since everybody asks
        in the same order, two such requests cannot wait for each other. Raises
        ``PromptTooLongError``, ``DeadlineUnreachableError`` or ``CallerDisconnectedError``.
        """
        if not can_ever_fit(work.kv_tokens, self._states(work)):
            raise PromptTooLongError("All endpoints together cannot hold this prompt.")
        aged_at = work.arrived + _AGED_SHARE * (work.start_by - work.arrived)
        while True:
            now = self._clock.monotonic()
            if now >= work.start_by:
                raise DeadlineUnreachableError(
                    "No group of endpoints had room in time.", retry_after=_RETRY_SECONDS
                )
            if disconnected():
                raise CallerDisconnectedError("The caller closed its connection in the queue.")
            reservation = self._try(work, keep_until=work.start_by if now >= aged_at else now)
            if reservation is not None:
                return self._dispatcher.place_reserved(work, reservation.plan.lead), reservation
            self._clock.sleep(random.uniform(0.0, _LONGEST_PAUSE))

    def release(self, reservation: GroupReservation) -> None:
        """Give a group's memory back; an engine that does not answer frees it by its term."""
        with self._lock:
            self._held_by_id.pop(reservation.id, None)
        for part in reservation.plan.parts:
            self._engine(part).release(reservation.id)
        self._account(reservation.plan, -1)

    def renew(self) -> None:
        """Renew what is held; called several times a term."""
        with self._lock:
            held = list(self._held_by_id.values())
        for reservation in held:
            for part in reservation.plan.parts:
                self._ask(reservation.id, part)

    @staticmethod
    def renew_pause() -> float:
        """Return the seconds between renewals."""
        return _TERM_SECONDS / 4

    def _try(self, work: Work, keep_until: float) -> GroupReservation | None:
        with self._dispatcher.lock:
            plan = plan_group(work, self._states(work), self._clock.monotonic())
        if plan is None:
            return None
        reservation = GroupReservation(str(uuid.uuid4()), plan)
        got: list[GroupPart] = []
        for part in plan.parts:
            if not self._ask_until(reservation.id, part, got, keep_until):
                for taken in got:
                    self._engine(taken).release(reservation.id)
                return None
            got.append(part)
        with self._lock:
            self._held_by_id[reservation.id] = reservation
        self._account(plan, 1)
        return reservation

    def _ask_until(
        self, reservation: str, part: GroupPart, got: list[GroupPart], keep_until: float
    ) -> bool:
        while not self._ask(reservation, part):
            if self._clock.monotonic() >= keep_until:
                return False
            for taken in got:
                self._ask(reservation, taken)
            self._clock.sleep(random.uniform(0.0, _LONGEST_PAUSE))
        return True

    def _ask(self, reservation: str, part: GroupPart) -> bool:
        engine = self._engine(part)
        return engine.reserve(reservation, self._owner, part.tokens, _TERM_SECONDS)

    def _engine(self, part: GroupPart) -> EngineClient:
        return self._dispatcher.fleet.engines_by_name[part.endpoint]

    def _states(self, work: Work):
        return self._dispatcher.fleet.states_by_target.get(work.target, [])

    def _account(self, plan: GroupPlan, sign: int) -> None:
        with self._dispatcher.lock:
            for part in plan.parts:
                state = self._dispatcher.fleet.states_by_name.get(part.endpoint)
                if state is not None:
                    state.kv_reserved = max(0, state.kv_reserved + sign * part.tokens)
