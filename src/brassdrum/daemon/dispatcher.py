"""Queue work and assign it to endpoints in fair order."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass

from brassdrum.admission.queue import FairQueue
from brassdrum.admission.work import Work
from brassdrum.clock import Clock
from brassdrum.daemon.fleet import Fleet
from brassdrum.errors import (
    CallerDisconnectedError,
    DeadlineUnreachableError,
    NoEndpointError,
    QueueFullError,
)
from brassdrum.routing.blocks import BLOCK_CHARACTERS
from brassdrum.routing.state import EndpointState, OwnRequest

__all__ = ["Dispatcher", "Placement"]

_POLL_SECONDS = 0.25
_CHARACTERS_PER_TOKEN = 4
_OVERLOAD_RETRY_AFTER_SECONDS = 2.0
_RESTART_RETRY_AFTER_SECONDS = 1.0


@dataclass(slots=True)
class Placement:
    """Hold the assignment of work to an endpoint until it is released."""

    work: Work
    state: EndpointState
    own: OwnRequest
    idle_at_start: bool
    wait_seconds: float


class Dispatcher:
    """Queue work and place it; one lock guards the queue and the fleet's state."""

    def __init__(self, clock: Clock, fleet: Fleet, queue_length: int) -> None:
        self.lock = threading.RLock()
        self.fleet = fleet
        self.queue = FairQueue(queue_length)
        self._clock = clock
        self._futures_by_id: dict[str, Future[Placement]] = {}

    def place(self, work: Work, disconnected: Callable[[], bool]) -> Placement:
        """Wait until an endpoint has capacity.

        Raises ``QueueFullError`` if the work is shed, ``DeadlineUnreachableError`` if it can no
        longer start in time, ``NoEndpointError`` if nothing serves the target and
        ``CallerDisconnectedError`` if the caller disconnects; the work has not run then.
        """
        future: Future[Placement] = Future()
        with self.lock:
            self._require_usable_endpoint(work)
            self._futures_by_id[work.id] = future
            shed = self.queue.push(work)
            if shed is not None:
                self._set_error(
                    shed, QueueFullError("The queue is full.", retry_after=self._retry_after())
                )
            self._place_queued()
        try:
            return self._wait(work, future, disconnected)
        except BaseException:
            self._release_unused(future)
            raise
        finally:
            self._remove(work, future)

    def place_reserved(self, work: Work, endpoint: str) -> Placement:
        """Place work at an endpoint that is already reserved for it."""
        with self.lock:
            now = self._clock.monotonic()
            state = self.fleet.states_by_name[endpoint]
            own = OwnRequest(work, now, work.prompt_tokens, reserved=True)
            state.own_requests_by_id[work.id] = own
            self.queue.charge(work, now)
            return Placement(work, state, own, False, max(0.0, now - work.arrived))

    def record_first_token(self, placement: Placement) -> None:
        """Record the end of the prefill."""
        with self.lock:
            placement.own.has_first_token = True
            self._place_queued()

    def release(self, placement: Placement, actual_cost: float | None = None) -> None:
        """Release the endpoint's capacity and correct the work's cost if it is known."""
        with self.lock:
            placement.state.own_requests_by_id.pop(placement.work.id, None)
            if actual_cost is not None:
                self.queue.correct_cost(placement.work.organisation, placement.work, actual_cost)
            self._place_queued()

    def place_queued(self) -> None:
        """Place queued work as far as capacity allows."""
        with self.lock:
            self._place_queued()

    def record_refusal(self, organisation: str) -> None:
        """Count a refused or failed request of an organisation."""
        with self.lock:
            self.queue.account(organisation).refused += 1

    def _require_usable_endpoint(self, work: Work) -> None:
        now = self._clock.monotonic()
        states = self.fleet.states_by_target.get(work.target, [])
        if any(state.usable(now) for state in states):
            return
        paused = [state.pause.until for state in states if state.pause.is_active(now)]
        if paused:
            raise NoEndpointError(
                f"All endpoints for {work.target} have asked for a pause.",
                retry_after=min(paused) - now,
            )
        raise NoEndpointError(
            f"No live endpoint serves {work.target}.", retry_after=_RESTART_RETRY_AFTER_SECONDS
        )

    def _wait(
        self, work: Work, future: Future[Placement], disconnected: Callable[[], bool]
    ) -> Placement:
        while True:
            remaining = work.start_by - self._clock.monotonic()
            try:
                return future.result(max(0.0, min(remaining, _POLL_SECONDS)))
            except FutureTimeout:
                pass
            if remaining <= 0:
                raise DeadlineUnreachableError(
                    "No endpoint had capacity in time.", retry_after=self._retry_after()
                )
            if disconnected():
                raise CallerDisconnectedError("The caller closed its connection while queued.")

    def _release_unused(self, future: Future[Placement]) -> None:
        """Release a placement that was made while its request gave up waiting for one."""
        with self.lock:
            if future.cancel() or future.cancelled() or future.exception() is not None:
                return
            self.release(future.result())

    def _remove(self, work: Work, future: Future[Placement]) -> None:
        with self.lock:
            self._futures_by_id.pop(work.id, None)
            self.queue.remove(work.id)
            if not future.done():
                future.cancel()

    def _set_error(self, work: Work, error: Exception) -> None:
        future = self._futures_by_id.get(work.id)
        if future is not None and not future.done():
            future.set_exception(error)

    def _place_queued(self) -> None:
        if len(self.queue) == 0:
            return
        now = self._clock.monotonic()
        placed = True
        while placed and len(self.queue):
            placed = False
            for work in self.queue.heads(now):
                state = self.fleet.choose(work)
                if state is None:
                    continue
                self._assign(work, state, now)
                placed = True
                break

    def _assign(self, work: Work, state: EndpointState, now: float) -> None:
        self.queue.dispatch(work.id, now)
        idle = state.queued_tokens(now) == 0
        own = OwnRequest(work, now, self._prefill_tokens(work, state))
        state.own_requests_by_id[work.id] = own
        state.breaker.record_sent(now)
        if work.blocks:
            self.fleet.prefixes.record_stored(state.endpoint.name, work.blocks)
        placement = Placement(work, state, own, idle, max(0.0, now - work.arrived))
        future = self._futures_by_id.get(work.id)
        if future is None or future.done():
            state.own_requests_by_id.pop(work.id, None)
            return
        future.set_result(placement)

    def _prefill_tokens(self, work: Work, state: EndpointState) -> int:
        if not work.blocks:
            return work.prompt_tokens
        cached_blocks = self.fleet.prefixes.expected_prefix_blocks(work.blocks).get(
            state.endpoint.name, 0.0
        )
        cached_tokens = int(cached_blocks * BLOCK_CHARACTERS / _CHARACTERS_PER_TOKEN)
        return max(1, work.prompt_tokens - cached_tokens)

    def _retry_after(self) -> float:
        return _OVERLOAD_RETRY_AFTER_SECONDS
