"""Steps on decisions under load, played on simulated engines with and without one of them."""

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
    """Hold a policy, what is changed at each daemon, and what is replaced for the play."""

    policy: Callable = _LEAST_HARM
    adjust: Callable[[SimulatedDaemon], None] = lambda _: None
    replaced: tuple = ()


variants: Registry[Callable[[], Variant]] = Registry("variant of the decisions")


@variants.register("all decisions")
def as_it_is():
    """Play the product as it is."""
    return Variant()


@variants.register("full engines taken as any others")
def without_places():
    """Send to engines whose places are taken."""

    def policy(need, candidates, engine, rng):
        placement = _LEAST_HARM(need, [_unclaimed(each) for each in candidates], engine, rng)
        return replace(placement, endpoint_full=False)

    return Variant(policy)


@variants.register("freed places open to all at once")
def without_turns():
    """Let every daemon take every free place at once."""

    def policy(need, candidates, engine, rng):
        return _LEAST_HARM(need, [_unclaimed(each) for each in candidates], engine, rng)

    return Variant(policy)


@variants.register("the fullest engine packed by all")
def without_spread():
    """Choose the fullest engine that has room, whatever others may be sending there."""

    def policy(need, candidates, engine, rng):
        return _LEAST_HARM(replace(need, propagation_ms=0.0), candidates, engine, rng)

    return Variant(policy)


@variants.register("prompts that are read taken as no loss")
def without_sparing():
    """Forget which prompts an engine has yet to read."""

    def policy(need, candidates, engine, rng):
        blind = [
            replace(each, load=replace(each.load, split_prefill_tokens=0)) for each in candidates
        ]
        return _LEAST_HARM(need, blind, engine, rng)

    return Variant(policy)


@variants.register("silence given up at once")
def without_explanation():
    """Give a silent engine up whatever it has to read."""
    return Variant(
        replaced=(("brassdrum.gateway.request.silence_watch.explained_silence", lambda *_: None),)
    )


@variants.register("late requests kept waiting")
def with_late_kept():
    """Let late requests wait as long as their callers may."""

    def adjust(daemon):
        daemon.line.keeps_late = lambda _waiter: True

    return Variant(adjust=adjust)


@variants.register("the fewest requests in flight")
def fewest():
    """Choose by the number of requests alone."""
    return Variant(policies.get("least_outstanding"))


def _unclaimed(candidate):
    return replace(candidate, claimed_slots=0)


def total(context, variant, figure):
    """Return a figure summed over the seeds."""
    return sum(figure(result) for result in context.results_by_variant[variant])


def pair(context, figure):
    """Return the mean of a figure with all decisions and without the one that is left out."""
    other = next(name for name in context.results_by_variant if name != "all decisions")
    return tuple(
        total(context, name, figure) / len(context.seeds) for name in ("all decisions", other)
    )


def held(result):
    """Return the seconds that callers waited for nothing."""
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


@given("{daemons:d} daemons before {engines:d} engines")
def step_fleet(context, daemons, engines):
    context.load |= {"daemons": daemons, "engines": engines}


@when("it is played with {name}")
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


@then("at least {share:g} more of the short prompts are in time with all decisions")
def step_short(context, share):
    on, off = pair(context, lambda result: result.by_kind["short"].share)
    assert on >= off + share, (on, off)


@then(
    "first events come within twice their prediction for {share:g} with all decisions"
    " and for less without"
)
def step_predicted(context, share):
    on, off = pair(context, lambda result: result.predicted_share())
    assert on >= share > off, (on, off)


@then("at least {times:g} times as many requests find their engine full without the decision")
def step_queued(context, times):
    on, off = pair(context, lambda result: result.queued)
    assert off >= times * on, (on, off)


@then("the callers get at least {share:g} more of the worth with all decisions")
def step_worth(context, share):
    on, off = pair(context, lambda result: result.worth)
    assert on >= off + share, (on, off)


@then("fewer requests are sent again with all decisions")
def step_repeats(context):
    on, off = pair(context, lambda result: result.repeats)
    assert on < off, (on, off)


@then("at most {share:g} of the callers leave with all decisions")
def step_left(context, share):
    on, _ = pair(
        context,
        lambda result: sum(count.left for count in result.by_kind.values())
        / sum(count.asked for count in result.by_kind.values()),
    )
    assert on <= share, on


@then("callers wait at most half as long in vain with all decisions")
def step_held(context):
    on, off = pair(context, held)
    assert on <= off / 2, (on, off)


@then("{share:g} of the worth is earned and at most {most:d} in 1000 requests are sent again")
def step_usual(context, share, most):
    results = context.results_by_variant["all decisions"]
    asked = sum(count.asked for result in results for count in result.by_kind.values())
    worth = total(context, "all decisions", lambda result: result.worth) / len(results)
    repeats = total(context, "all decisions", lambda result: result.repeats)
    assert worth >= share, worth
    assert repeats <= asked * most / 1000, (repeats, asked)
