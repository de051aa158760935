"""Steps for fleets of which a share of the daemons reaches no engine, in simulated time."""

from behave import then, when

from brassdrum.bench.cuts import CutPlan, play_cut

SERVED_RATIO = 2 / 3


@when("a share {cut:g} of {daemons:d} daemons loses the path to all engines, with {trouble}")
def step_play(context, cut, daemons, trouble):
    context.result = play_cut(CutPlan(daemons, cut, seconds=7.0, trouble=trouble))


@then("from 3 seconds on their callers' first tries are served at least two thirds as often")
def step_served(context):
    result = context.result
    assert result.first_tries > 0
    assert result.cut_served >= SERVED_RATIO * result.others_served, result


@when(
    "{daemons:d} daemons meet engines that answer new connections late, and one that refuses them"
)
def step_slow(context, daemons):
    context.result = play_cut(CutPlan(daemons, 0.0, seconds=7.0, trouble="slow endpoints"))
    context.undisturbed = play_cut(CutPlan(daemons, 0.0, seconds=7.0))


@then("first tries are served at least two thirds as often as without that")
def step_served_slow(context):
    expected = SERVED_RATIO * context.undisturbed.others_served
    assert context.result.others_served >= expected, (context.result, context.undisturbed)


@then("no request runs more than {runs:g} times on average")
def step_runs(context, runs):
    assert context.result.runs_per_request <= runs, context.result
