"""Steps for simulations of contents that crash endpoints, with many daemons."""

from behave import given, then, when

from brassdrum.bench.endings import EndingPlan, measure_endings


@given("{guilty:d} content that crashes endpoints, whose caller retries every {every:g} s")
@given("{guilty:d} contents that crash endpoints, whose callers retry every {every:g} s")
def step_crashing(context, guilty, every):
    context.plan = EndingPlan(guilty, every)


@given("{count:d} failures of {endpoints:d} endpoints each at once and no content that crashes any")
def step_failures(context, count, endpoints):
    context.plan = EndingPlan(0, 1.0, failures=count, failed_together=endpoints)


@given("{guilty:d} content that crashes endpoints and arrives at {daemons:d} daemons at once")
def step_crashing_simultaneously(context, guilty, daemons):
    context.plan = EndingPlan(guilty, 1.0, at_once=daemons)


@given(
    "{count:d} failures of {endpoints:d} endpoints each at once "
    "and {callers:d} callers of one healthy content"
)
def step_failures_popular(context, count, endpoints, callers):
    context.plan = EndingPlan(0, 1.0, failures=count, failed_together=endpoints, popular=callers)


@given("{guilty:d} contents that crash endpoints, and {callers:d} callers of one healthy content")
def step_crashing_and_popular(context, guilty, callers):
    context.plan = EndingPlan(guilty, 0.5, popular=callers)


@when("it is simulated with seeds {first:d} to {last:d}")
def step_simulate(context, first, last):
    context.point = measure_endings(context.plan, range(first, last + 1))


@then("each such content crashed {most:d} endpoints at most")
def step_crashed(context, most):
    assert 0 < context.point.worst <= most, context.point


@then("no healthy content was refused")
def step_none_refused(context):
    assert context.point.healthy_refused == 0 and context.point.streams_broken > 0, context.point
