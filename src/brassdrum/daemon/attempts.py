"""Send a request to endpoints until it is answered or may not be retried."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from typing import TypeVar

from brassdrum.admission.work import Work
from brassdrum.daemon.core import Core, Scope
from brassdrum.daemon.dispatcher import Placement
from brassdrum.errors import (
    BrassdrumError,
    DeadlineExceededError,
    EndpointEndedError,
    EndpointFailedError,
    EndpointPausedError,
    EndpointUnreachableError,
    NoEndpointError,
    Ran,
)
from brassdrum.outcomes.fingerprint import RequestTraits
from brassdrum.telemetry.observe import observe

__all__ = ["Attempts"]

T = TypeVar("T")
_logger = logging.getLogger(__name__)


class Attempts:
    """Place work, send it and decide on retries."""

    def __init__(
        self,
        core: Core,
        scope: Scope,
        traits: RequestTraits,
        *,
        repeatable: bool,
        place: Callable[[Work], Placement] | None = None,
    ) -> None:
        self._place_override = place
        self._core = core
        self._scope = scope
        self._traits = traits
        self._repeatable = repeatable
        self._attempt = 0
        self._unreached = 0
        self._may_have_run = False
        self._own_crash_ids: set[int] = set()

    def run(self, work: Work, send: Callable[[Placement], T]) -> T:
        """Return the result of ``send`` for the first placement where it succeeds.

        On success ``send`` is responsible for the placement; after a failure it is released here.
        """
        self._core.retry_budget.record_request()
        while True:
            self._attempt += 1
            placement = self._check_and_place(work)
            try:
                answer = send(placement)
            except BrassdrumError as error:
                self._core.dispatcher.release(placement)
                self._record_endpoint_result(placement, error)
                if isinstance(error, EndpointEndedError):
                    crash_id = self._core.guard.record_crash(
                        self._traits, placement.state.endpoint.name, placement.own.dispatched_at
                    )
                    self._own_crash_ids.add(crash_id)
                work = self._prepare_retry(work, placement, error)
                continue
            except BaseException:
                self._core.dispatcher.release(placement)
                raise
            placement.state.breaker.record_success()
            with self._core.dispatcher.lock:
                placement.state.refusals.record_success()
            self._core.guard.record_response(placement.state.endpoint.name)
            return answer

    def _check_and_place(self, work: Work) -> Placement:
        try:
            self._core.guard.check(self._traits, self._own_crash_ids)
            return self._place(self._avoid_busy_endpoints(work))
        except BrassdrumError as error:
            self._merge_ran(error)
            raise

    def _avoid_busy_endpoints(self, work: Work) -> Work:
        """Avoid endpoints with other streams for a request suspected of crashing endpoints."""
        if not self._core.guard.is_suspect(self._traits, self._own_crash_ids):
            return work
        now = self._core.clock.monotonic()
        with self._core.dispatcher.lock:
            states = self._core.dispatcher.fleet.states_by_target.get(work.target, [])
            usable = [each for each in states if each.usable(now)]
            busy = {each.endpoint.name for each in usable if each.streams(now)}
        names = {each.endpoint.name for each in usable} - work.excluded_endpoints
        if not names - busy:
            return work
        return replace(work, excluded_endpoints=work.excluded_endpoints | busy)

    def _merge_ran(self, error: BrassdrumError) -> None:
        """Set ``error.ran`` to cover earlier attempts that may have run."""
        if error.ran is not Ran.NO:
            self._may_have_run = True
        if self._may_have_run and error.ran is Ran.NO:
            error.ran = Ran.MAYBE

    def _place(self, work: Work) -> Placement:
        scope = self._scope
        with scope.trace.hop("queue", band=work.band.value):
            if self._place_override is not None:
                placement = self._place_override(work)
            else:
                placement = self._core.dispatcher.place(work, scope.request.disconnected)
        name = placement.state.endpoint.name
        with scope.trace.hop("route", endpoint=name, attempt=self._attempt):
            self._core.explanations.add(
                scope.request_id,
                "routed",
                f"attempt {self._attempt} to {name} "
                f"after {placement.wait_seconds:.3f} s in the queue",
            )
        observe(
            self._core.metrics.queue_wait.record, placement.wait_seconds, {"band": work.band.value}
        )
        return placement

    def _record_endpoint_result(self, placement: Placement, error: BrassdrumError) -> None:
        now = self._core.clock.monotonic()
        asked = isinstance(error, EndpointPausedError | EndpointFailedError)
        if asked and error.retry_after is not None:
            # A pause that the endpoint asks for is not a failure.
            with self._core.dispatcher.lock:
                placement.state.pause.extend(error.retry_after, now)
            return
        if isinstance(
            error, EndpointFailedError | DeadlineExceededError | EndpointUnreachableError
        ):
            placement.state.breaker.record_failure(now)
            return
        placement.state.breaker.record_success()
        if isinstance(error, NoEndpointError):
            self._record_refusal(placement, error, now)

    def _record_refusal(self, placement: Placement, error: BrassdrumError, now: float) -> None:
        refusals = placement.state.refusals
        with self._core.dispatcher.lock:
            is_new = refusals.record_refusal(now)
        if is_new:
            _logger.info(
                "endpoint refuses requests; others are preferred",
                extra={
                    "endpoint": placement.state.endpoint.name,
                    "seconds": refusals.until - now,
                    "reason": error.summary,
                },
            )

    def _prepare_retry(self, work: Work, placement: Placement, error: BrassdrumError) -> Work:
        scope = self._scope
        self._merge_ran(error)
        if not isinstance(error, EndpointFailedError | NoEndpointError):
            raise error
        self._unreached += isinstance(error, EndpointUnreachableError)
        now = self._core.clock.monotonic()
        decision = self._core.retries.decide(
            error,
            attempt=self._attempt - self._unreached,
            unreached=self._unreached,
            repeatable=self._repeatable,
            response_started=False,
            time_left=scope.deadline - now,
        )
        self._core.explanations.add(
            scope.request_id,
            "attempt failed",
            f"{error.code}: {error.message} retry={decision.retry} {decision.reason}",
        )
        if not decision.retry:
            raise error
        observe(self._core.metrics.retries.add, 1, {"reason": error.code})
        self._core.clock.sleep(decision.delay_seconds)
        avoid = work.excluded_endpoints | {placement.state.endpoint.name}
        candidates = self._core.dispatcher.fleet.states_by_target.get(work.target, [])
        if all(state.endpoint.name in avoid for state in candidates):
            avoid = frozenset()
        return replace(work, id=f"{scope.request_id}.{self._attempt + 1}", excluded_endpoints=avoid)
