"""One request of a caller: its attempts at endpoints and its single final response."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from brassdrum.gateway.following.evacuations import refusal_detail
from brassdrum.gateway.forwarding.forwarder import Forwarder
from brassdrum.gateway.forwarding.terms import ForwardTerms
from brassdrum.gateway.guards.endings import LostRequest
from brassdrum.gateway.guards.process_check import ProcessState
from brassdrum.gateway.model import (
    AttemptParameters,
    DeclaredRequest,
    Headers,
    Organisation,
    Reply,
    ReplyKind,
    Route,
)
from brassdrum.gateway.net.callers import CallerConnection
from brassdrum.gateway.net.upstream import CallFailure, OutgoingRequest
from brassdrum.gateway.placing.placement import Placement, PlacementRequest
from brassdrum.gateway.request.answer_progress import AnswerProgress
from brassdrum.gateway.request.attempt import Attempt, CallAttempt, helper_name
from brassdrum.gateway.request.completeness import ContentEnd, Framing, break_reason
from brassdrum.gateway.request.delivery import AnswerDelivery, PacedFlow
from brassdrum.gateway.request.endpoint_search import EndpointSearch
from brassdrum.gateway.request.events import StreamError
from brassdrum.gateway.request.exchange_context import ExchangeContext
from brassdrum.gateway.request.handler_guard import fails_request
from brassdrum.gateway.request.outcome import LatencyReport, Outcome, ResponseTiming
from brassdrum.gateway.request.patience import (
    WaitDeadlines,
    caller_timeout,
    retry_after_header,
)
from brassdrum.gateway.request.running_attempts import RunningAttempts
from brassdrum.gateway.request.send_limits import SendLimits
from brassdrum.gateway.request.silence_watch import StallWatchdog
from brassdrum.gateway.request.story import RequestStory
from brassdrum.gateway.request.traits import traits_of
from brassdrum.gateway.sharing.demand import DemandKey, demand_key
from brassdrum.gateway.throttling.permits import Permit
from brassdrum.outcomes.quarantine import ContentStatus, Judgement
from brassdrum.telemetry import log_events

__all__ = ["Exchange"]

_logger = logging.getLogger(__name__)

# Endpoints enforce the deadline too; this leaves time for their own response to arrive.
_DEADLINE_GRACE_SECONDS = 0.05
# About the time in which an endpoint frees a slot.
_DEFAULT_RETRY_AFTER_SECONDS = 0.15
# An event is kept until it is complete and checked; tokens take some hundred bytes.
_MAX_EVENT_BYTES = 1 << 20
# Callers treat these statuses as a guarantee that the request was not executed.
_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
_FIRST_SERVER_ERROR = 500


class Exchange:
    """Process one request: own its attempts and decide what is delivered to its caller."""

    def __init__(
        self,
        context: ExchangeContext,
        connection: CallerConnection,
        request: DeclaredRequest,
        body: bytes,
        route: Route,
        organisation: Organisation | None,
        arrived: float,
        forwarded: ForwardTerms | None = None,
        flow: PacedFlow | None = None,
    ) -> None:
        self.traits = traits_of(request, body, "" if organisation is None else organisation.name)
        self.request = request
        self.route = route
        self.organisation = organisation
        self.organisation_name = None if organisation is None else organisation.name
        self.arrived = arrived
        self.timing = ResponseTiming(self.arrived)
        self.service = ""
        self.forwarder = Forwarder(context, self, forwarded)
        self.tried_endpoints: set[str] = set() if forwarded is None else set(forwarded.tried)
        self._context = context
        self._body = body
        self._deadline = self.arrived + min(request.timeout, route.timeout)
        wait_timeout = caller_timeout(route, request)
        self.wait_deadlines = WaitDeadlines(self.arrived, route.objective, wait_timeout)
        self.refused_by: set[str] = set()
        self.gave_up: list[str] = []
        self.last_event_id = request.resume_after
        self._may_have_run = False
        self._finished = False
        self._attempts = RunningAttempts()
        self._last_attempt: CallAttempt | None = None
        # The whole failure that one endpoint answered while another one may still serve.
        self._failed_attempt: CallAttempt | None = None
        self._watchdog = StallWatchdog(context.loop, self)
        self.story = RequestStory(context, self)
        self._delivery = AnswerDelivery(connection, flow, self)
        self._delivery.deliver_until(arrived + request.timeout)
        self._sends = SendLimits(context, self, self._delivery)
        self._search = EndpointSearch(context, self)
        self._deadline_timer = context.loop.call_at(
            self._deadline + _DEADLINE_GRACE_SECONDS, self._deadline_expired
        )

    @property
    def sender(self) -> str | None:
        """Return the host of the daemon that forwarded the request, or None."""
        return None if self.forwarder.terms is None else self.forwarder.terms.sender

    @property
    def send_count(self) -> int:
        """Return how often the request was sent, without attempts that reached no endpoint."""
        return self._sends.count

    @property
    def priority(self) -> int:
        """Return the priority; that of the organisation overrides that of the route."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def demand_key(self) -> DemandKey:
        """Return the key under which the request is counted across daemons."""
        return demand_key(self.service, self.priority, self.organisation_name)

    @property
    def waits_for_slot(self) -> bool:
        """Return whether the request waits because all slots are in use."""
        return self._search.waits_for_slot

    @property
    def permit(self) -> Permit | None:
        """Return the permit for the next send to an endpoint that limits its rate."""
        return self._search.permit

    @property
    def finished(self) -> bool:
        """Return whether the request has its final response."""
        return self._finished

    @property
    def answer_framing(self) -> str | None:
        """Return how the last answer of an endpoint was framed, or None if there was none."""
        if self._last_attempt is None or self._last_attempt.reply is None:
            return None
        return self._last_attempt.framing.value

    @property
    def partial_event_bytes(self) -> int:
        """Return the bytes that the endpoint sent after its last complete event."""
        return 0 if self._last_attempt is None else len(self._last_attempt.reader.incomplete)

    @property
    def time_left(self) -> float:
        """Return the seconds until the deadline for the complete response."""
        return self._deadline - self._context.loop.now()

    def new_progress(self) -> AnswerProgress:
        """Return what follows the answer of a new attempt."""
        return AnswerProgress(self._context, self.traits)

    def need(self) -> PlacementRequest:
        """Return the requirements that placement has to meet."""
        # A route without a pause limit uses its objective as the limit.
        pause = self.route.pause_objective or self.route.objective
        return PlacementRequest(
            self.request.prompt_tokens,
            self.request.answer_tokens,
            self.route.objective * 1000,
            round(pause * 1000) if self.route.streams else None,
            (self._context.loop.now() - self.arrived) * 1000,
            self.wait_deadlines.caller_timeout * 1000,
        )

    def start(self) -> None:
        """Make the first attempt."""
        self._search.begin()

    def caller_disconnected(self) -> None:
        """Cancel the request after its caller has disconnected."""
        self._cancel_attempts()
        self._finish(Outcome.CALLER_LEFT, 0, "the caller closed its connection")

    def abort(self, detail: str) -> None:
        """Fail the request; the caller can resume a stream at another daemon."""
        if self._finished:
            return
        self._cancel_attempts()
        self.fail(detail)

    def handler_failed(self, error: Exception) -> None:
        """Fail the request after an unexpected error, which must not keep its caller waiting."""
        _logger.exception("request handler failed", extra={"request": self.request.id})
        if self._finished:
            # The outcome is recorded, but the caller may not have the end of its answer.
            self._delivery.abort()
            return
        # A refusal would promise that it has not run.
        self._may_have_run = self._may_have_run or self.send_count > 0
        self.abort(f"a handler of the request failed: {type(error).__name__}")

    @fails_request
    def attempt_response_started(self, attempt: CallAttempt, reply: Reply) -> None:
        """Retry the request if the endpoint did not execute it."""
        if reply.kind is ReplyKind.SUCCESS or reply.kind is ReplyKind.FAILURE:
            self._pace_only_attempt()
            return
        attempt.cancel()
        if reply.kind is ReplyKind.UNVERIFIED:
            self._handle_lost_attempt(
                attempt, "the response belongs to another request", certain=False
            )
            return
        attempt.rejected(reply)
        self._retry_not_executed(attempt, f"the endpoint answered {reply.status}, not run")

    @fails_request
    def attempt_response_data(self, attempt: CallAttempt, content: bytes) -> None:
        """Forward complete events, or what is due of an answer that is not streamed."""
        reply = attempt.reply
        assert reply is not None
        if reply.kind is ReplyKind.FAILURE or not self.route.streams:
            self._delivery.keep(attempt, content)
            return
        reader = attempt.reader
        count_before = reader.event_count
        try:
            blocks = reader.feed(content)
        except StreamError as error:
            attempt.cancel()
            self._handle_lost_attempt(attempt, str(error), certain=False)
            return
        if reader.event_count > count_before:
            self._forward_events(attempt, reply, blocks)
        elif blocks and self._attempts.only is attempt:
            # Comments are passed on, but they are no progress.
            self._delivery.start(attempt, reply)
            self._delivery.send(blocks)
        if self._attempts.only is attempt:
            self._delivery.set_unfinished(len(reader.incomplete))
        if len(reader.incomplete) > _MAX_EVENT_BYTES and not attempt.finished:
            attempt.cancel()
            self._handle_lost_attempt(attempt, "an event exceeds the size limit", certain=False)

    def forward_kept(self, attempt: CallAttempt) -> None:
        """Forward a plain answer while it arrives; from here on it is not fetched again."""
        reply = attempt.reply
        assert reply is not None
        if reply.kind is ReplyKind.FAILURE and self._failure_settled(attempt, reply):
            return
        self._settle(attempt)
        self._watchdog.stop()
        if attempt.request_taken:
            self._body = b""
            self._delivery.release_body()
        self._delivery.forward(attempt, reply)

    def answer_paused(self) -> None:
        """Stop the watchdog: the endpoint is not silent, it waits for the caller."""
        self._watchdog.stop()

    def answer_resumed(self) -> None:
        """Watch the endpoint again, which now may send."""
        self.restart_stall_timer(None)

    @fails_request
    def attempt_completed(self, attempt: CallAttempt) -> None:
        """Complete the response to the caller, unless the endpoint broke it off."""
        reply = attempt.reply
        assert reply is not None
        attempt.finish()
        streams = self.route.streams and reply.kind is not ReplyKind.FAILURE
        content = attempt.reader.content_end if streams else ContentEnd.OPAQUE
        reason = break_reason(attempt.framing, content)
        if reason is not None:
            self._handle_interrupted_attempt(attempt, reason, response_started=True)
            return
        if attempt.framing is not Framing.CLOSE:
            self._complete(attempt, reply)
            return
        # It has run, whatever its sender turns out to be; the check has a time limit of its own.
        self._may_have_run = True
        self._watchdog.stop()
        attempt.check_sender(lambda state: self._sender_checked(attempt, reply, state))

    @fails_request
    def _sender_checked(self, attempt: CallAttempt, reply: Reply, state: ProcessState) -> None:
        """Complete an answer that ended with its connection, if its endpoint goes on."""
        if self._finished or attempt not in self._attempts:
            return
        if state is ProcessState.RUNNING:
            self._complete(attempt, reply)
            return
        reason = f"the connection ended without a length, and the endpoint's process is {state}"
        self._handle_interrupted_attempt(attempt, reason, response_started=True)

    def _complete(self, attempt: CallAttempt, reply: Reply) -> None:
        """Deliver the end of a complete answer."""
        if reply.kind is ReplyKind.FAILURE:
            if self._delivery.forwarding or not self._failure_settled(attempt, reply):
                self._deliver_failure(attempt, reply)
            return
        self._settle(attempt)
        self._attempts.remove(attempt)
        attempt.served()
        attempt.progress.completed()
        if not self.route.streams:
            self._finish(Outcome.SERVED, reply.status, "")
            self._delivery.send_whole(attempt, reply)
            return
        self._delivery.start(attempt, reply)
        if attempt.reader.incomplete:
            self._delivery.send(attempt.reader.incomplete)
        self._finish(Outcome.SERVED, reply.status, "")
        self._delivery.end()

    @fails_request
    def attempt_connection_lost(self, attempt: CallAttempt, how: CallFailure, detail: str) -> None:
        """Retry the request where its route permits that."""
        attempt.finish()
        if how is CallFailure.NOT_SENT:
            attempt.failed(certain=True, detail=detail)
            attempt.unsent = True
            self._retry_not_executed(attempt, detail)
            return
        self._handle_interrupted_attempt(
            attempt, detail, response_started=how is CallFailure.ANSWER_CUT
        )

    def _handle_interrupted_attempt(
        self, attempt: CallAttempt, detail: str, *, response_started: bool
    ) -> None:
        """Handle an answer that broke off, however that was found."""
        if self._delivery.throttled:
            # Endpoints cut off answers that stay unread; that says nothing against them.
            detail = f"the caller read slowly, and the endpoint's answer broke off: {detail}"
            self._handle_lost_attempt(attempt, detail, certain=None)
            return
        reached = response_started or not attempt.reused_connection
        lost = LostRequest(self.request.id, self.traits, response_started, reached, attempt.sent_at)
        attempt.interrupted(lost)
        self._handle_lost_attempt(attempt, detail, certain=False)

    def send(self, placement: Placement, standing: ContentStatus) -> None:
        """Send the request to the endpoint that was found."""
        self._sends.record_send()
        self.tried_endpoints.add(placement.entry.id)
        self._context.crash_guard.request_sent(standing, placement.entry.id)
        self._log_placement(placement, standing)
        self.timing.record_send(self._context.loop.now(), placement.first_event_ms)
        attempt = Attempt(self._context, self, placement)
        self._add_attempt(attempt)
        try:
            attempt.start()
        except Exception as error:
            if attempt.may_have_run:
                raise
            _logger.exception("request could not be sent", extra={"endpoint": attempt.endpoint})
            attempt.cancel()
            detail = f"it could not be sent: {type(error).__name__}"
            self.attempt_connection_lost(attempt, CallFailure.NOT_SENT, detail)

    def forward(self) -> None:
        """Hand the request to another daemon, since this one can reach no endpoint."""
        attempt = self.forwarder.next_attempt()
        if attempt is None:
            self.fail(
                "no endpoint can be reached from this host", self._context.path.probe_interval
            )
            return
        self._sends.record_send()
        self.story.log(
            log_events.FORWARDED,
            host=attempt.host,
            send=self.send_count,
            waited_ms=self.story.elapsed_ms,
        )
        self.timing.record_send(self._context.loop.now(), 0.0)
        self._add_attempt(attempt)
        attempt.start(self._outgoing(self.forwarder.headers(self.last_event_id)))
        if self._sends.may_send_again():
            self._watchdog.start(self.route.objective * 1000)

    def retry_placement(self) -> bool:
        """Send the request if a placement suits now; return False while all slots are in use."""
        self._search.dispatch()
        return not self._search.waits_for_slot

    def _log_placement(self, placement: Placement, standing: ContentStatus) -> None:
        age = self._context.endpoint_monitor.list_age()
        self.story.log(
            log_events.PLACED,
            endpoint=placement.entry.id,
            helpers=[each.entry.id for each in placement.helpers],
            predicted_ms=round(placement.first_event_ms),
            waited_ms=self.story.elapsed_ms,
            harm=round(placement.interference_tokens),
            late=round(placement.lateness_tokens),
            reason=placement.reason,
            send=self.send_count,
            version=self._context.routing_state.version,
            list_age=None if age is None else round(age, 3),
            standing=standing.name.lower(),
        )

    def latency_report(self) -> LatencyReport:
        """Return the latencies of the request up to now."""
        return self.timing.report(self.route, self._context.loop.now())

    @fails_request
    def reservation_unusable(self, attempt: Attempt, detail: str) -> None:
        """Place the request again after a memory reservation was refused or came too late."""
        attempt.unsent = True
        self.tried_endpoints.discard(attempt.endpoint)
        self._retry_not_executed(attempt, detail)

    def build_request(self, attempt: Attempt, placement: Placement) -> OutgoingRequest:
        """Return the request to send to the chosen endpoint."""
        organisation = None if self.organisation is None else self.organisation.name
        sending = AttemptParameters(
            endpoint=placement.entry,
            helpers=tuple(helper_name(attempt, each) for each in placement.helpers),
            organisation=organisation,
            priority=self.priority,
            time_left=max(0.001, self.time_left),
            resume_after=self.last_event_id,
        )
        return self._outgoing(self._context.dialect.endpoint_headers(self.request, sending))

    def _outgoing(self, headers: Headers) -> OutgoingRequest:
        if self._body or self.request.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", b"%d" % len(self._body)))
        return OutgoingRequest(self.request.method, self.request.target, headers, self._body)

    def _add_attempt(self, attempt: CallAttempt) -> None:
        """Take an attempt in that is about to start."""
        self._watchdog.stop()
        self._search.end()
        self._delivery.detach()
        self._attempts.add(attempt)
        self._last_attempt = attempt

    def _pace_only_attempt(self) -> None:
        """Read an answer as the caller allows once no other one may be delivered instead."""
        attempt = self._attempts.only
        if attempt is not None and attempt.reply is not None:
            self._delivery.pace(attempt)

    def _settle(self, attempt: CallAttempt) -> None:
        """Deliver the answer of one attempt, and end all others and the search for another."""
        was_silent = attempt.silent
        if not was_silent and not self._search.active and self._attempts.only is attempt:
            return
        others = self._attempts.keep_only(attempt)
        self._stop_seeking()
        self._last_attempt = attempt
        self._delivery.pace(attempt)
        if was_silent:
            attempt.went_on()
        event = log_events.ATTEMPT_RESUMED if was_silent else log_events.ATTEMPT_REPLACED
        self.story.log(
            event,
            endpoint=attempt.endpoint,
            ended=[each.endpoint for each in others],
            after_event=self.last_event_id,
        )

    def _stop_seeking(self) -> None:
        """Seek no further endpoint for the request."""
        self._search.end()
        self._sends.return_unsent_retry()

    def _forward_events(self, attempt: CallAttempt, reply: Reply, events: bytes) -> None:
        self._settle(attempt)
        self.last_event_id = attempt.reader.last_id
        self.timing.record_event(self._context.loop.now())
        attempt.first_event_received()
        attempt.progress.event_received()
        self._delivery.start(attempt, reply)
        self._delivery.send(events)
        if not self._finished:
            self.restart_stall_timer(None)

    def _failure_settled(self, attempt: CallAttempt, reply: Reply) -> bool:
        """Resend or fail after a failure reply; return False if the reply is for the caller.

        The endpoint executed the request. The reply may still be arriving.
        """
        is_whole = attempt.finished
        self._may_have_run = True
        attempt.answered_failure(f"answered {reply.status}")
        detail = f"the endpoint answered {reply.status}"
        if reply.status >= _FIRST_SERVER_ERROR:
            if self._continue_without(attempt, detail, self._sends.consume_retry_after_run):
                self._failed_attempt = attempt if is_whole else self._failed_attempt
                return True
        elif self._delivery.started:
            # Of no use to the caller, which has a part of a success.
            if self._continue_without(attempt, detail, lambda: False):
                return True
        else:
            self._settle(attempt)
        if self._delivery.started:
            attempt.cancel()
            self._attempts.remove(attempt)
            self.fail(f"{detail} to a resumed stream")
            return True
        if reply.status in _NOT_EXECUTED_STATUSES and not self.route.repeatable:
            # Forwarding the status would tell the caller that the request was not executed.
            attempt.cancel()
            self._attempts.remove(attempt)
            self.fail(f"{detail} and may have run the request")
            return True
        return False

    def _continue_without(
        self, attempt: CallAttempt, detail: str, consume_retry: Callable[[], bool]
    ) -> bool:
        """Go on after an attempt that ended without an answer; return False if nothing is left.

        Others may be in progress, and the request may be sent again.
        """
        has_newer = self._attempts.remove(attempt)
        if has_newer or self._search.active:
            attempt.cancel()
            self._pace_only_attempt()
            return True
        if consume_retry():
            attempt.cancel()
            self._resend(attempt, detail)
            return True
        if self._attempts.newest is None:
            return False
        attempt.cancel()
        self._wait_for_silent(detail)
        return True

    def _wait_for_silent(self, detail: str) -> None:
        """Wait for the attempts that fell silent, since no other endpoint serves the request."""
        self._stop_seeking()
        self.story.log(
            log_events.REPLACEMENT_FAILED, endpoints=self._attempts.endpoints, reason=detail
        )
        self._pace_only_attempt()
        self.restart_stall_timer(None)

    def _retry_not_executed(self, attempt: CallAttempt, detail: str) -> None:
        attempt.finish()
        if attempt.unsent:
            self._sends.record_unsent()

        def consume_retry() -> bool:
            return self._sends.consume_retry_unexecuted(attempt)

        if not self._continue_without(attempt, detail, consume_retry):
            self.fail(detail, attempt.retry_after)

    def _handle_lost_attempt(
        self, attempt: CallAttempt, detail: str, *, certain: bool | None
    ) -> None:
        """Send the request again or fail it; ``certain`` is None if no endpoint is at fault."""
        attempt.finish()
        self._may_have_run = True
        if certain is not None:
            attempt.failed(certain=certain, detail=detail)
        if not self._continue_without(attempt, detail, self._sends.consume_retry_after_run):
            self.fail(detail)

    def _resend(self, attempt: CallAttempt, detail: str) -> None:
        self.story.log(
            log_events.SENT_AGAIN,
            endpoint=attempt.endpoint,
            reason=detail,
            sends=self.send_count,
            after_event=self.last_event_id,
            kept=self._attempts.endpoints,
            budget=round(self._context.retries_left(self.service), 1),
        )
        if self._attempts.newest is None:
            self._delivery.detach()
        self._watchdog.stop()
        self._search.begin()

    def restart_stall_timer(self, placement: Placement | None) -> None:
        """Restart the stall watchdog if the request may be sent again."""
        self._watchdog.stop()
        if self._sends.may_send_again():
            self._watchdog.start(None if placement is None else placement.first_event_ms)

    def can_replace_attempt(self) -> bool:
        """Return whether the current attempt may be replaced by another one."""
        newest = self._attempts.newest
        return newest is not None and self._can_replace(newest)

    def queued_prefill_seconds(self) -> float:
        """Return the seconds of prefill queued at the current attempt's endpoint."""
        newest = self._attempts.newest
        assert newest is not None
        return newest.queued_prefill_seconds

    @fails_request
    def endpoint_stalled(self, *, certain: bool) -> None:
        """Seek a replacement for the current attempt after a stall."""
        newest = self._attempts.newest
        assert newest is not None
        self._replace_silent(newest, "the endpoint is silent", certain=certain)

    @fails_request
    def attempt_unresponsive(self, attempt: CallAttempt, detail: str, *, certain: bool) -> None:
        """Seek a replacement for an attempt whose endpoint does not answer."""
        if self._can_replace(attempt):
            self._replace_silent(attempt, detail, certain=certain)

    def _replace_silent(self, attempt: CallAttempt, detail: str, *, certain: bool) -> None:
        """Send the request to another endpoint as well; the silent one may still go on."""
        attempt.fell_silent(certain=certain, detail=detail)
        if self._sends.consume_retry_after_run():
            self._resend(attempt, detail)
        else:
            self.restart_stall_timer(None)

    def _can_replace(self, attempt: CallAttempt) -> bool:
        """Return whether a stalled attempt may be replaced by another one."""
        if self._finished or attempt is not self._attempts.newest or self._search.active:
            return False
        return self._sends.may_replace(attempt)

    def _deadline_expired(self) -> None:
        if self._finished:
            return
        self._cancel_attempts()
        self.fail("the deadline of the request or its route has passed")

    def fail(self, detail: str, retry_after: float | None = None) -> None:
        """Send the final response of a request that was not served.

        While an attempt at a silent endpoint is in progress, it is waited for instead.
        """
        if self._attempts.newest is not None:
            self._wait_for_silent(detail)
            return
        if self._failed_attempt is not None and not self._delivery.started:
            assert self._failed_attempt.reply is not None
            self._deliver_failure(self._failed_attempt, self._failed_attempt.reply)
            return
        if retry_after is None:
            opening_seconds = self._context.placer.seconds_until_open(self.service)
            retry_after = max(_DEFAULT_RETRY_AFTER_SECONDS, opening_seconds)
        if self._delivery.started:
            self._finish(Outcome.BROKEN_OFF, 0, detail)
            self._delivery.abort()
            return
        if not self._may_have_run:
            patience_left = self.request.timeout - (self._context.loop.now() - self.arrived)
            detail = refusal_detail(
                detail, self._context.routing_state.evacuated_zones_of(self.service)
            )
            self._refuse(detail, retry_after_header(retry_after, patience_left))
            return
        status = 504 if self.time_left <= 0 else 502
        self._finish(Outcome.FAILED, status, detail)
        self._delivery.send_own(status, self.forwarder.with_failure([]))

    def _deliver_failure(self, attempt: CallAttempt, reply: Reply) -> None:
        """Deliver the failure that an endpoint answered."""
        self._finish(Outcome.FAILED, reply.status, "the endpoint's own failure")
        self._delivery.send_whole(attempt, reply)

    @property
    def may_be_refused(self) -> bool:
        """Return whether a refusal as not run would be true."""
        in_progress = self._attempts.newest is not None
        return not (self._may_have_run or self._delivery.started or in_progress)

    def refuse_quarantined(self, judgement: Judgement) -> None:
        """Refuse a request that crashes the endpoints that run it."""
        reason = self._context.crash_guard.refuse(judgement)
        self.story.log(
            log_events.QUARANTINE_APPLIED,
            causes=list(reason.causes),
            ends=reason.ends,
            seconds_left=round(reason.seconds_left, 1),
        )
        detail = "requests with this content or part end the endpoints that run them"
        if not self.may_be_refused:
            self.fail(detail)
            return
        # Not limited by the caller's timeout, since an earlier retry would be refused as well.
        self._refuse(
            detail,
            retry_after_header(judgement.seconds, math.inf),
        )

    def _refuse(self, detail: str, headers: Headers) -> None:
        self._finish(Outcome.REFUSED, 503, detail)
        headers = self.forwarder.with_refusal(headers, self.send_count)
        self._delivery.send_own(503, headers)

    def _cancel_attempts(self) -> None:
        self.gave_up.extend(self._attempts.silent_endpoints)
        # From here on the caller must not be told that the request was not executed.
        self._may_have_run = self._attempts.cancel_all() or self._may_have_run

    def _finish(self, outcome: Outcome, status: int, detail: str) -> None:
        """Stop all timers and record the outcome.

        Called before the last byte of the response, so that a caller that has the response also
        finds it in the metrics and the log.
        """
        if self._finished:
            return
        self._finished = True
        self._deadline_timer.cancel()
        self._watchdog.stop()
        self._delivery.detach()
        self._stop_seeking()
        self._context.exchange_finished(self, outcome, status, detail)
