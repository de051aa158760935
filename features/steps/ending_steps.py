"""Steps for simulations of contents that crash endpoints, with many daemons."""

from behave import given, then, when

from brassdrum.bench.endings import EndingPlan, measure_endings
from brassdrum.bench.part_endings import PartPlan, measure_parts


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


@given(
    "{daemons:d} daemons, {endpoints:d} endpoints and {guilty:d} parts that crash them, "
    "at {rate:g} requests a second each"
)
def step_parts(context, daemons, endpoints, guilty, rate):
    context.part_plan = PartPlan(daemons, endpoints, rate, guilty=guilty)


@given(
    "{daemons:d} daemons, {endpoints:d} endpoints and a part that crashes them "
    "after it was answered before"
)
def step_parts_served(context, daemons, endpoints):
    context.part_plan = PartPlan(daemons, endpoints, 4.0, served_before=True)


@given(
    "{daemons:d} daemons, {endpoints:d} endpoints and {guilty:d} parts that crash them "
    "after they were answered for {seconds:g} s"
)
def step_parts_served_for(context, daemons, endpoints, guilty, seconds):
    context.part_plan = PartPlan(
        daemons,
        endpoints,
        4.0,
        guilty=guilty,
        served_before=True,
        healthy_seconds=seconds,
        seconds=seconds + 16.0,
    )


@given(
    "{daemons:d} daemons, {endpoints:d} endpoints and a part that crashes them "
    "while reports are {late:g} s late"
)
def step_parts_late(context, daemons, endpoints, late):
    context.part_plan = PartPlan(daemons, endpoints, 4.0, reports_late=late)


@given(
    "{daemons:d} daemons and {endpoints:d} endpoints of which {failing:d} fail at once, "
    "{times:d} times"
)
def step_parts_racks(context, daemons, endpoints, failing, times):
    context.part_plan = PartPlan(
        daemons, endpoints, 1.0, guilty=0, failures=times, failed_together=failing
    )


@when("the parts are simulated with seeds {first:d} to {last:d}")
def step_parts_simulated(context, first, last):
    context.part_point = measure_parts(context.part_plan, range(first, last + 1))


@then("at most {count:d} requests with each part are sent later than 3 s after its fifth crash")
def step_parts_sent_late(context, count):
    point = context.part_point
    assert point.worst > 0 and point.sent_late <= count, point


@then("requests with the other parts of those are sent at their first attempt as before")
def step_parts_begun(context):
    point = context.part_point
    assert point.begun_before == point.begun_after == 1.0, point


@then("no healthy request was refused")
def step_parts_none_refused(context):
    assert context.part_point.healthy_refused == 0, context.part_point
