"""Steps on contents that end endpoints, played over many daemons in simulated time."""

from behave import given, then, when

from brassdrum.bench.endings import EndingPlan, measure_endings


@given("{guilty:d} content that ends endpoints, whose caller is back every {every:g} s")
@given("{guilty:d} contents that end endpoints, whose callers are back every {every:g} s")
def step_guilty(context, guilty, every):
    context.plan = EndingPlan(guilty, every)


@given(
    "{count:d} failures of {endpoints:d} endpoints each in one moment and no content that ends any"
)
def step_failures(context, count, endpoints):
    context.plan = EndingPlan(0, 1.0, failures=count, failed_together=endpoints)


@given("{guilty:d} content that ends endpoints and comes to {daemons:d} daemons in one moment")
def step_guilty_at_once(context, guilty, daemons):
    context.plan = EndingPlan(guilty, 1.0, at_once=daemons)


@given(
    "{count:d} failures of {endpoints:d} endpoints each in one moment "
    "and {callers:d} callers of one healthy content"
)
def step_failures_popular(context, count, endpoints, callers):
    context.plan = EndingPlan(0, 1.0, failures=count, failed_together=endpoints, popular=callers)


@given("{guilty:d} contents that end endpoints, and {callers:d} callers of one healthy content")
def step_guilty_popular(context, guilty, callers):
    context.plan = EndingPlan(guilty, 0.5, popular=callers)


@when("it is played with seeds {first:d} to {last:d}")
def step_play(context, first, last):
    context.point = measure_endings(context.plan, range(first, last + 1))


@then("each such content ended {most:d} endpoints at most")
def step_ended(context, most):
    assert 0 < context.point.worst <= most, context.point


@then("no healthy content was refused")
def step_none_refused(context):
    assert context.point.healthy_refused == 0 and context.point.streams_broken > 0, context.point
