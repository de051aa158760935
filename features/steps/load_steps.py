"""Steps that compare placement policies under simulated load."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from unittest import mock

from behave import given, then, when

from brassdrum.bench.load.daemon import SimulatedDaemon
from brassdrum.bench.load.play import play
from brassdrum.gateway.placing.policies import policies
from brassdrum.registry import Registry

SEEDS = (1, 2, 3)
_LEAST_HARM = policies.get("least_harm")


@dataclass(frozen=True)
class Variant:
    """A policy, an adjustment of each daemon and the patches for one simulation."""

    policy: Callable = _LEAST_HARM
    adjust: Callable[[SimulatedDaemon], None] = lambda _: None
    replaced: tuple = ()


variants: Registry[Callable[[], Variant]] = Registry("policy variant")


@variants.register("the default policy")
def default_policy():
    """Use the default policy unchanged."""
    return Variant()


@variants.register("full engines treated as available")
def without_slot_limit():
    """Send to engines without a free slot."""

    def policy(request, candidates, engine, rng):
        placement = _LEAST_HARM(request, [_unclaimed(each) for each in candidates], engine, rng)
        return replace(placement, endpoint_full=False)

    return Variant(policy)


@variants.register("freed slots open to all daemons at once")
def without_backoff():
    """Let every daemon use freed slots without back-off."""

    def policy(request, candidates, engine, rng):
        return _LEAST_HARM(request, [_unclaimed(each) for each in candidates], engine, rng)

    return Variant(policy)


@variants.register("short prompts packed on the fullest engine only")
def without_spread():
    """Ignore the placements of other daemons that are not visible yet."""

    def policy(request, candidates, engine, rng):
        return _LEAST_HARM(replace(request, propagation_ms=0.0), candidates, engine, rng)

    return Variant(policy)


@variants.register("one engine more to choose from for each unreported prompt")
def with_less_spread():
    """Spread short prompts over as many engines as there are prompts that are not reported yet."""
    return Variant(
        replaced=(("brassdrum.gateway.placing.packing._ENGINES_PER_UNREPORTED_PROMPT", 1.0),)
    )


@variants.register("prompts split before the load is known")
def with_early_splits():
    """Place long prompts as if the load were known from the start."""

    def adjust(daemon):
        daemon.unknown_load.delays = lambda *_: False

    return Variant(adjust=adjust)


@variants.register("delayed prefills not counted as a loss")
def without_delay_loss():
    """Ignore the split prefills pending at an engine."""

    def policy(request, candidates, engine, rng):
        blind = [
            replace(each, load=replace(each.load, split_prefill_tokens=0)) for each in candidates
        ]
        return _LEAST_HARM(request, blind, engine, rng)

    return Variant(policy)


@variants.register("silent engines given up at once")
def without_silence_tolerance():
    """Give up a silent engine regardless of its pending prefill."""
    return Variant(
        replaced=(("brassdrum.gateway.request.silence_watch.stall_extension", lambda *_: None),)
    )


@variants.register("late requests kept in the queue")
def with_late_queued():
    """Keep late requests queued until their callers give up."""

    def adjust(daemon):
        daemon.wait_queue.admits_late = lambda _waiter: True

    return Variant(adjust=adjust)


@variants.register("long prompts that wait whatever the load was")
def without_early_refusal():
    """Forecast nothing, so that a request is refused at the end of its wait only."""

    def adjust(daemon):
        daemon.room.seconds_without_room = lambda *_: None

    return Variant(adjust=adjust)


@variants.register("the least_outstanding policy")
def least_outstanding():
    """Place by the number of requests in flight only."""
    return Variant(policies.get("least_outstanding"))


def _unclaimed(candidate):
    return replace(candidate, claimed_slots=0)


def total(context, variant, figure):
    """Return a figure summed over the seeds."""
    return sum(figure(result) for result in context.results_by_variant[variant])


def means(context, figure):
    """Return the mean of a figure with the default policy and with the variant."""
    other = next(name for name in context.results_by_variant if name != "the default policy")
    return tuple(
        total(context, name, figure) / len(context.seeds) for name in ("the default policy", other)
    )


def unanswered_seconds(result):
    """Return the seconds that callers waited without getting an answer."""
    return sum(sum(count.held) for count in result.by_kind.values())


@given("a {shape} at {load:g} times the usual load for {seconds:d} seconds")
def step_shape(context, shape, load, seconds):
    context.load = {"shape": shape, "load": load, "seconds": float(seconds)}
    context.results_by_variant = {}
    context.seeds = SEEDS


@given("a {shape} at {load:g} times the usual load for {seconds:d} seconds on {count:d} seeds")
def step_shape_on_seeds(context, shape, load, seconds, count):
    step_shape(context, shape, load, seconds)
    context.seeds = range(1, count + 1)


@given("{daemons:d} daemons and {engines:d} engines")
def step_fleet(context, daemons, engines):
    context.load |= {"daemons": daemons, "engines": engines}


@given("the daemons have just started")
def step_just_started(context):
    context.load["acquainted_seconds"] = 0.0


@when("the load is simulated with {name}")
def step_play(context, name):
    variant = variants.get(name)()
    patches = [mock.patch(target, value) for target, value in variant.replaced]
    for patch in patches:
        patch.start()
    try:
        context.results_by_variant[name] = [
            play(**context.load, policy=variant.policy, seed=seed, adjust=variant.adjust)
            for seed in context.seeds
        ]
    finally:
        for patch in patches:
            patch.stop()


@then("the share of short prompts in time is at least {share:g} higher with the default policy")
def step_short(context, share):
    on, off = means(context, lambda result: result.by_kind["short"].share)
    assert on >= off + share, (on, off)


@then(
    "{share:g} of first events come within twice their prediction with the default policy"
    " and fewer without"
)
def step_predicted(context, share):
    on, off = means(context, lambda result: result.predicted_share())
    assert on >= share > off, (on, off)


@then("at least {times:g} times as many requests queue inside an engine without the default policy")
def step_queued(context, times):
    on, off = means(context, lambda result: result.queued)
    assert off > 0 and off >= times * on, (on, off)


@then("the share of the value served is at least {share:g} higher with the default policy")
def step_worth(context, share):
    on, off = means(context, lambda result: result.worth)
    assert on >= off + share, (on, off)


@then("the share of the value served is at most {share:g} lower with the default policy")
def step_worth_kept(context, share):
    on, off = means(context, lambda result: result.worth)
    assert on >= off - share, (on, off)


@then("fewer requests are retried with the default policy")
def step_repeats(context):
    on, off = means(context, lambda result: result.repeats)
    assert on < off, (on, off)


@then("at most {share:g} of the callers give up with the default policy")
def step_left(context, share):
    on, _ = means(
        context,
        lambda result: sum(count.left for count in result.by_kind.values())
        / sum(count.asked for count in result.by_kind.values()),
    )
    assert on <= share, on


@then("callers without an answer wait at most half as long with the default policy")
def step_held(context):
    on, off = means(context, unanswered_seconds)
    assert on <= off / 2, (on, off)


@then("{share:g} of the value is served and at most {most:d} in 1000 requests are retried")
def step_usual(context, share, most):
    results = context.results_by_variant["the default policy"]
    asked = sum(count.asked for result in results for count in result.by_kind.values())
    worth = total(context, "the default policy", lambda result: result.worth) / len(results)
    repeats = total(context, "the default policy", lambda result: result.repeats)
    assert worth >= share, worth
    assert repeats <= asked * most / 1000, (repeats, asked)
