"""Dry run of admission and routing for a described request."""

from __future__ import annotations

from dataclasses import dataclass

from brassdrum.admission.work import Work, is_service_target, length_band
from brassdrum.contracts.documents import Contract
from brassdrum.contracts.view import FleetView
from brassdrum.daemon.core import Core
from brassdrum.routing.groups import can_ever_fit

__all__ = ["DescribedRequest", "explain_request"]


@dataclass(frozen=True, slots=True)
class DescribedRequest:
    """Parameters of a hypothetical request."""

    organisation: str
    target: str
    prompt_tokens: int
    answer_tokens: int


def explain_request(core: Core, request: DescribedRequest) -> list[dict[str, str]]:
    """Return the decisions that this daemon would take on the request now."""
    view = core.control.view
    if view is None:
        return [_step("refused", "not_ready: no configuration is in force")]
    contract = view.contracts_by_organisation.get(request.organisation)
    if contract is None:
        return [_step("refused", "unknown_api_key: no contract of that organisation is in force")]
    steps = [_step("contract", f"revision {view.revision}, urgency {contract.urgency.value}")]
    refusal = _rejection_reason(core, view, contract, request)
    if refusal:
        return [*steps, _step("refused", refusal)]
    steps.append(_step("limits", _describe_limits(core, contract)))
    with core.dispatcher.lock:
        steps.append(_step("queue", _describe_queue(core, contract)))
        steps.append(_step("route", _describe_route(core, contract, request)))
    return steps


def _step(name: str, detail: str) -> dict[str, str]:
    return {"at": "now", "step": name, "detail": detail}


def _rejection_reason(
    core: Core, view: FleetView, contract: Contract, request: DescribedRequest
) -> str:
    if is_service_target(request.target):
        return ""
    if request.target not in contract.models:
        return f"unknown_model: the contract covers {', '.join(contract.models) or 'no models'}"
    model = view.models_by_name.get(request.target)
    if model is None:
        return "unknown_model: the fleet does not have it"
    limits = contract.limits
    if request.prompt_tokens > limits.longest_prompt:
        return f"prompt_too_long: the contract allows {limits.longest_prompt}"
    if request.answer_tokens > limits.longest_answer:
        return f"prompt_too_long: the contract allows answers of {limits.longest_answer}"
    tokens = request.prompt_tokens + request.answer_tokens
    if tokens > model.context_tokens:
        return f"prompt_too_long: the model holds {model.context_tokens}"
    if not can_ever_fit(tokens, core.dispatcher.fleet.states_by_target.get(request.target, [])):
        return "prompt_too_long: all endpoints together cannot hold it"
    return ""


def _describe_limits(core: Core, contract: Contract) -> str:
    part = core.limits.slice_of(contract.organisation)
    running = core.limits.in_flight(contract.organisation)
    return (
        f"this daemon may use {part.requests_per_second:.1f} requests/s, "
        f"{part.tokens_per_second:.0f} tokens/s and {part.concurrency} at once of the contract's "
        f"{contract.limits.concurrency}; {running} run here"
    )


def _describe_queue(core: Core, contract: Contract) -> str:
    waiting = core.dispatcher.queue.queued(contract.organisation)
    return f"{len(core.dispatcher.queue)} wait here, {waiting} of this organisation"


def _describe_route(core: Core, contract: Contract, request: DescribedRequest) -> str:
    now = core.clock.monotonic()
    fleet = core.dispatcher.fleet
    states = fleet.states_by_target.get(request.target, [])
    usable = [state for state in states if state.usable(now)]
    work = Work(
        id="described",
        organisation=contract.organisation,
        target=request.target,
        prompt_tokens=request.prompt_tokens,
        answer_tokens=request.answer_tokens,
        urgency=contract.urgency,
        share=contract.share,
        arrived=now,
        start_by=now + contract.longest_wait_seconds,
        deadline=now + contract.longest_wait_seconds + contract.longest_run_seconds,
    )
    chosen = fleet.choose(work)
    band = length_band(request.prompt_tokens).value
    if chosen is None:
        return f"{band}: would wait; {len(usable)} of {len(states)} endpoints are usable, all full"
    return f"{band}: to {chosen.endpoint.name}; {len(usable)} of {len(states)} are usable"
