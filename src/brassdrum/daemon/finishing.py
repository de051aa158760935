"""Complete each request once: release its limits, settle its claim and record the result."""

from __future__ import annotations

import logging
from collections.abc import Callable

from brassdrum.admission.work import Work
from brassdrum.daemon.answers import Usage
from brassdrum.daemon.claiming import ClaimTicket
from brassdrum.daemon.core import Core, Scope
from brassdrum.daemon.dispatcher import Placement
from brassdrum.daemon.groups import GroupReservation
from brassdrum.errors import BrassdrumError, CallerDisconnectedError, Ran
from brassdrum.telemetry.observe import observe
from brassdrum.wsgi import Request, Response

__all__ = ["RequestLifecycle", "handle"]

_logger = logging.getLogger(__name__)
_DECODE_WEIGHT = 4


class RequestLifecycle:
    """Hold what must be released or recorded when a request ends, whatever its result."""

    def __init__(self, core: Core, scope: Scope) -> None:
        self._core = core
        self._scope = scope
        self._work: Work | None = None
        self._completed = False
        self.ticket = ClaimTicket()
        self.group: GroupReservation | None = None
        self.repeatable = False
        core.active.enter()

    def admitted(self, work: Work) -> None:
        """Record that the request acquired its limits."""
        self._work = work
        self._core.dispatcher.fleet.record_arrival(work)
        self._core.explanations.add(
            self._scope.request_id,
            "admitted",
            f"{work.organisation} {work.target} about {work.prompt_tokens}+{work.answer_tokens} "
            f"tokens, {work.start_by - work.arrived:.1f} s to start",
        )

    def answered(self, placement: Placement, characters: int, usage: Usage | None) -> None:
        """Release the placement and update the estimates from the reported usage."""
        cost = None
        if usage is not None:
            cost = usage.prompt_tokens + _DECODE_WEIGHT * usage.completion_tokens
            estimate = self._core.dispatcher.fleet.estimates_by_model.get(placement.work.target)
            if estimate is not None:
                estimate.learn_bytes_per_token(characters, usage.prompt_tokens)
        self._core.dispatcher.release(placement, cost)

    def place_group(self, work: Work) -> Placement:
        """Reserve a group of engines for a request that no single engine can hold."""
        self._release_group()
        placement, self.group = self._core.groups.place(work, self._scope.request.disconnected)
        return placement

    def _release_group(self) -> None:
        group, self.group = self.group, None
        if group is not None:
            self._core.groups.release(group)

    def succeeded(self, usage: Usage | None) -> None:
        """Complete a request that was answered."""
        if usage is not None:
            self._count_tokens(usage)
        self._complete("ok", usage)

    def failed(self, error: BrassdrumError) -> None:
        """Complete a request that was refused or failed."""
        self.ticket.failed(error, repeatable=self.repeatable)
        self._core.explanations.add(
            self._scope.request_id, "ended", f"{error.code} ran={error.ran.value}: {error.message}"
        )
        self._core.dispatcher.record_refusal(self._scope.organisation)
        self._complete(error.code, None, error)

    def interrupted(self) -> None:
        """Complete a request whose caller disconnected during its answer."""
        self.failed(CallerDisconnectedError("The caller closed its connection."))

    def _complete(
        self, result: str, usage: Usage | None, error: BrassdrumError | None = None
    ) -> None:
        if self._completed:
            return
        self._completed = True
        self._release_group()
        if self._work is not None:
            estimated = self._work.kv_tokens
            actual = estimated if usage is None and result == "ok" else _total_tokens(usage)
            self._core.limits.release(self._scope.organisation, estimated, actual)
        observe(self._report, result, error)
        self._core.active.leave()

    def _report(self, result: str, error: BrassdrumError | None) -> None:
        scope = self._scope
        target = "" if self._work is None else self._work.target
        self._core.metrics.requests.add(
            1, {"organisation": scope.organisation, "target": target, "result": result}
        )
        scope.trace.set("brassdrum.result", result)
        scope.trace.end()
        _logger.info(
            "request ended",
            extra={
                "request_id": scope.request_id,
                "organisation": scope.organisation,
                "trace_id": scope.trace.trace_id,
                "target": target,
                "result": result,
                "seconds": round(self._core.clock.monotonic() - scope.arrived, 4),
                "reason": None if error is None else error.summary,
                "ran": None if error is None else error.ran.value,
            },
        )

    def _count_tokens(self, usage: Usage) -> None:
        organisation = self._scope.organisation
        observe(
            self._core.metrics.tokens.add,
            usage.prompt_tokens,
            {"organisation": organisation, "kind": "prompt"},
        )
        observe(
            self._core.metrics.tokens.add,
            usage.completion_tokens,
            {"organisation": organisation, "kind": "completion"},
        )


def _total_tokens(usage: Usage | None) -> int:
    return 0 if usage is None else usage.total_tokens


def handle(
    core: Core, request: Request, run: Callable[[Scope, RequestLifecycle], Response]
) -> Response:
    """Answer a request with ``run``; complete it as failed if ``run`` raises.

    An unexpected error does not tell whether an endpoint was sent the request, so that it counts
    as one that may have run.
    """
    scope = core.scope(request, "caller")
    lifecycle = RequestLifecycle(core, scope)
    try:
        return run(scope, lifecycle)
    except BrassdrumError as error:
        lifecycle.failed(error)
        raise
    except BaseException as error:
        _logger.exception("request failed", extra={"request_id": scope.request_id})
        failure = BrassdrumError("The daemon failed to handle the request.", ran=Ran.MAYBE)
        lifecycle.failed(failure)
        if isinstance(error, Exception):
            raise failure from error
        raise
