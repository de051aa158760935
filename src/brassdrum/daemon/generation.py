"""Handle completion and chat completion requests."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from brassdrum.admission.work import Work
from brassdrum.daemon.answers import AnswerBuilder, Usage
from brassdrum.daemon.attempts import Attempts
from brassdrum.daemon.claiming import claim, replay
from brassdrum.daemon.content_guard import ContentGuard
from brassdrum.daemon.core import Core, Scope, request_traits
from brassdrum.daemon.dispatcher import Placement
from brassdrum.daemon.engine_run import EngineStreamReader, StreamIdentity, StreamTimeouts
from brassdrum.daemon.finishing import RequestLifecycle, handle
from brassdrum.daemon.relay import RelayedStream, StreamListener
from brassdrum.daemon.streaming import DONE, SSE, StreamBody, error_chunk
from brassdrum.endpoints.engine import EngineRequest
from brassdrum.endpoints.openai import ChatRequest, CompletionRequest, parse_chat, parse_completion
from brassdrum.errors import (
    BrassdrumError,
    DeadlineUnreachableError,
    EndpointEndedError,
    PromptTooLongError,
    Ran,
    UnknownModelError,
)
from brassdrum.outcomes.claims import OutcomeRecord
from brassdrum.outcomes.fingerprint import RequestTraits, prefix_parts
from brassdrum.outcomes.resume import ResumeTicket
from brassdrum.outcomes.stream import CheckedEvent, EventVerdict
from brassdrum.routing.blocks import block_hashes
from brassdrum.routing.groups import can_ever_fit
from brassdrum.telemetry.observe import observe
from brassdrum.wsgi import Request, Response, json_response

__all__ = ["GenerationHandler"]

_logger = logging.getLogger(__name__)
_FIRST_EVENT_BASE_SECONDS = 15.0
_FIRST_EVENT_PREFILL_FACTOR = 5.0
_MAX_REPLAY_BYTES = 32 * 1024


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """Hold a parsed request; the body is forwarded to the engine unchanged."""

    body: bytes
    path: str
    model: str
    chat: bool
    stream: bool
    characters: int
    prompt_tokens: int
    answer_tokens: int
    blocks: tuple[int, ...]

    @property
    def tokens(self) -> int:
        """Return the maximum number of tokens that the request may use."""
        return self.prompt_tokens + self.answer_tokens


class GenerationHandler:
    """Admit, dispatch and answer generation requests."""

    def __init__(self, core: Core) -> None:
        self._core = core

    def completions(self, request: Request) -> Response:
        """Answer ``POST /v1/completions``."""
        return self._handle(request, chat=False)

    def chat(self, request: Request) -> Response:
        """Answer ``POST /v1/chat/completions``."""
        return self._handle(request, chat=True)

    def _handle(self, request: Request, *, chat: bool) -> Response:
        return handle(
            self._core, request, lambda scope, lifecycle: self._run(scope, lifecycle, chat=chat)
        )

    def _run(self, scope: Scope, lifecycle: RequestLifecycle, *, chat: bool) -> Response:
        body = scope.request.body()
        with scope.trace.hop("admission"):
            generation = self._parse(scope, body, chat=chat)
            parts = prefix_parts(generation.model, generation.blocks)
            traits = request_traits(scope, body, parts)
            self._core.guard.check(traits)
            work = self._admit(scope, generation)
            lifecycle.admitted(work)
        ticket = claim(self._core, scope, body)
        if isinstance(ticket, OutcomeRecord):
            lifecycle.succeeded(None)
            return replay(ticket)
        lifecycle.ticket = ticket
        repeatable = generation.model in scope.contract.repeatable.models and scope.repeatable
        lifecycle.repeatable = repeatable
        needs_group = generation.tokens > self._core.dispatcher.fleet.max_kv_tokens(
            generation.model
        )
        attempts = Attempts(
            self._core,
            scope,
            traits,
            repeatable=repeatable,
            place=lifecycle.place_group if needs_group else None,
        )
        if generation.stream:
            return attempts.run(
                work,
                lambda placement: self._streamed(scope, generation, placement, lifecycle, traits),
            )
        answer = attempts.run(
            work, lambda placement: self._buffered(scope, generation, placement, lifecycle)
        )
        self._core.guard.record_served(traits)
        return answer

    def _parse(self, scope: Scope, body: bytes, *, chat: bool) -> GenerationRequest:
        content: ChatRequest | CompletionRequest
        content = parse_chat(body) if chat else parse_completion(body)
        if content.model not in scope.contract.models:
            raise UnknownModelError(f"The contract covers no model {content.model!r}.")
        estimate = self._core.dispatcher.fleet.estimates_by_model.get(content.model)
        if estimate is None or content.model not in scope.view.models_by_name:
            raise UnknownModelError(f"The fleet has no model {content.model!r}.")
        text = content.prompt_text()
        return GenerationRequest(
            body=body,
            path=scope.request.path,
            model=content.model,
            chat=chat,
            stream=content.stream,
            characters=len(text),
            prompt_tokens=estimate.estimate_tokens(len(text)),
            answer_tokens=content.answer_tokens,
            blocks=tuple(block_hashes(text)),
        )

    def _admit(self, scope: Scope, generation: GenerationRequest) -> Work:
        limits = scope.contract.limits
        if generation.prompt_tokens > limits.longest_prompt:
            raise PromptTooLongError(
                f"The prompt has about {generation.prompt_tokens} tokens; "
                f"the contract allows {limits.longest_prompt}."
            )
        if generation.answer_tokens > limits.longest_answer:
            raise PromptTooLongError(
                f"The answer may have {generation.answer_tokens} tokens; "
                f"the contract allows {limits.longest_answer}."
            )
        context = scope.view.models_by_name[generation.model].context_tokens
        if generation.tokens > context:
            raise PromptTooLongError(
                f"Prompt and answer exceed the model's context of {context} tokens."
            )
        fleet = self._core.dispatcher.fleet
        states = fleet.states_by_target.get(generation.model, [])
        if not can_ever_fit(generation.tokens, states):
            raise PromptTooLongError("All endpoints together cannot hold this prompt.")
        needed = fleet.estimates_by_model[generation.model].prefill_seconds(
            generation.prompt_tokens
        )
        start_by = min(scope.arrived + scope.contract.longest_wait_seconds, scope.deadline - needed)
        if start_by <= scope.arrived:
            raise DeadlineUnreachableError(
                f"The prompt alone takes about {needed:.1f} s, more than the time left.",
                remedy="Allow more time with Brassdrum-Timeout.",
            )
        self._core.limits.acquire(scope.organisation, generation.tokens, start_by)
        return Work(
            id=f"{scope.request_id}.1",
            organisation=scope.organisation,
            target=generation.model,
            prompt_tokens=generation.prompt_tokens,
            answer_tokens=generation.answer_tokens,
            urgency=scope.contract.urgency,
            share=scope.contract.share,
            arrived=scope.arrived,
            start_by=start_by,
            deadline=scope.deadline,
            blocks=generation.blocks,
        )

    def _streamed(
        self,
        scope: Scope,
        generation: GenerationRequest,
        placement: Placement,
        lifecycle: RequestLifecycle,
        traits: RequestTraits,
    ) -> Response:
        reader, ticket = self._open_reader(scope, generation, placement, lifecycle)
        first = self._wait_first_events(scope, reader, placement, generation)
        headers = {
            "Brassdrum-Request-Id": scope.request_id,
            "Brassdrum-Resume-Token": self._core.resume_tokens.sign(ticket),
            "Cache-Control": "no-store",
        }
        listener = GenerationListener(generation, placement, lifecycle, self._core.guard, traits)
        stream = RelayedStream(reader, listener, error_chunk)
        body = StreamBody(scope.request, self._core.relay, stream, listener, first)
        return Response(200, body, SSE, headers)

    def _buffered(
        self,
        scope: Scope,
        generation: GenerationRequest,
        placement: Placement,
        lifecycle: RequestLifecycle,
    ) -> Response:
        reader, _ = self._open_reader(scope, generation, placement, lifecycle)
        builder = AnswerBuilder(generation.model, chat=generation.chat)
        events = self._wait_first_events(scope, reader, placement, generation)
        usage = None
        try:
            while events:
                for event in events:
                    builder.add(event.data)
                    usage = Usage.from_event(event.data) or usage
                events = reader.next_events()
        finally:
            reader.close()
        response = json_response(builder.build(), Brassdrum_Request_Id=scope.request_id)
        lifecycle.answered(placement, generation.characters, usage)
        lifecycle.ticket.finish(200, response.content_type, b"".join(response.chunks))
        lifecycle.succeeded(usage)
        return response

    def _wait_first_events(
        self,
        scope: Scope,
        reader: EngineStreamReader,
        placement: Placement,
        generation: GenerationRequest,
    ) -> list[CheckedEvent]:
        clock = self._core.clock
        started = clock.monotonic()
        with scope.trace.hop("first token", endpoint=placement.state.endpoint.name):
            first = reader.start()
        now = clock.monotonic()
        self._core.dispatcher.record_first_token(placement)
        if placement.idle_at_start:
            estimate = self._core.dispatcher.fleet.estimates_by_model[generation.model]
            estimate.learn_prefill(placement.own.prefill_tokens, now - started)
        observe(
            self._core.metrics.first_token.record,
            now - scope.arrived,
            {"band": placement.work.band.value},
        )
        return first

    def _open_reader(
        self,
        scope: Scope,
        generation: GenerationRequest,
        placement: Placement,
        lifecycle: RequestLifecycle,
    ) -> tuple[EngineStreamReader, ResumeTicket]:
        core = self._core
        endpoint = placement.state.endpoint.name
        engine = core.dispatcher.fleet.engines_by_name[endpoint]
        stream = core.new_stream_id()
        now = core.clock.monotonic()
        request = EngineRequest(
            path=generation.path,
            body=generation.body,
            stream_id=stream,
            owner=core.settings.name,
            priority=_priority(placement.work),
            timeout_seconds=max(0.05, scope.deadline - now),
            traceparent=scope.trace.traceparent(),
            reservation_id=None if lifecycle.group is None else lifecycle.group.id,
        )
        estimate = core.dispatcher.fleet.estimates_by_model[generation.model]
        expected = estimate.prefill_seconds(generation.prompt_tokens)
        reader = EngineStreamReader(
            engine,
            StreamIdentity(stream, generation.model, generation.chat),
            lambda on_connected: engine.open(request, on_connected),
            clock=core.clock,
            watch=core.watchdog,
            cancels=core.cancels,
            times=StreamTimeouts(
                deadline=scope.deadline,
                first_event_by=now
                + _FIRST_EVENT_BASE_SECONDS
                + _FIRST_EVENT_PREFILL_FACTOR * expected,
                idle_seconds=core.settings.idle_timeout_seconds,
            ),
            disconnected=scope.request.disconnected,
            on_dropped=self._record_dropped_event,
        )
        ticket = ResumeTicket(
            organisation=scope.organisation,
            request=scope.request_id,
            endpoint=endpoint,
            stream=stream,
            model=generation.model,
            chat=generation.chat,
            deadline=core.wall_time(scope.deadline),
        )
        return reader, ticket

    def _record_dropped_event(self, verdict: EventVerdict) -> None:
        _logger.warning("engine event dropped", extra={"verdict": verdict.value})
        observe(self._core.metrics.dropped_events.add, 1, {"verdict": verdict.value})


class GenerationListener(StreamListener):
    """Record a stream's usage, keep a small answer for replay and complete the request."""

    def __init__(
        self,
        generation: GenerationRequest,
        placement: Placement,
        lifecycle: RequestLifecycle,
        guard: ContentGuard,
        traits: RequestTraits,
    ) -> None:
        self._guard = guard
        self._traits = traits
        self._generation = generation
        self._placement = placement
        self._lifecycle = lifecycle
        self._usage: Usage | None = None
        self._replay_chunks: list[bytes] = []
        self._replay_bytes = 0

    def delivered(self, event: CheckedEvent, chunk: bytes) -> None:
        """Record the usage and keep the chunk while the answer is small enough to replay."""
        self._usage = Usage.from_event(event.data) or self._usage
        if self._lifecycle.ticket.claimer is None or self._replay_bytes > _MAX_REPLAY_BYTES:
            return
        self._replay_bytes += len(chunk)
        self._replay_chunks.append(chunk)

    def finished(self) -> None:
        """Complete a request whose answer is complete."""
        self._guard.record_served(self._traits)
        self._release()
        replayable = self._replay_bytes <= _MAX_REPLAY_BYTES
        body = b"".join([*self._replay_chunks, DONE]) if replayable else None
        self._lifecycle.ticket.finish(200, SSE, body)
        self._lifecycle.succeeded(self._usage)

    def failed(self, error: BrassdrumError) -> None:
        """Complete a request whose answer ended early with an error."""
        if isinstance(error, EndpointEndedError):
            self._guard.record_crash(
                self._traits,
                self._placement.state.endpoint.name,
                self._placement.own.dispatched_at,
            )
        error.ran = Ran.MAYBE
        self._release()
        self._lifecycle.failed(error)

    def interrupted(self) -> None:
        """Complete a request whose caller disconnected."""
        self._release()
        self._lifecycle.interrupted()

    def _release(self) -> None:
        self._lifecycle.answered(self._placement, self._generation.characters, self._usage)


def _priority(work: Work) -> int:
    """Return the engine's priority; lower values, for shorter and more urgent work, run first."""
    bands = {"short": 0, "medium": 3, "long": 6}
    return bands[work.band.value] + work.urgency.rank
