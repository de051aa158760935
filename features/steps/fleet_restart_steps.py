"""Steps on daemons that start together."""

import random

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.placing.placement import Helper, Placement, PlacementRequest
from brassdrum.gateway.placing.unknown_load import UnknownLoad
from features.gateway_world import engine_entry

FIRST_EVENT_MS = 150.0


@given("a daemon that started just now and does not know the load of the fleet")
def step_started(context):
    context.loop, context.known = SimulatedLoop(), False
    context.unknown_load = UnknownLoad(context.loop, lambda: context.known, random.Random(1))


@when("the load becomes known")
def step_known(context):
    context.known = True


@when("the load becomes unknown")
def step_unknown(context):
    context.known = False


@when("{seconds:g} s pass after the start")
def step_pass(context, seconds):
    context.loop.advance(seconds)


@then("a prompt with an objective of {objective:g} s that would be split waits")
@then(
    "a prompt with an objective of {objective:g} s that would be split waits, so that others are"
    " seen first"
)
def step_split_waits(context, objective):
    assert waits(context, objective, helpers=3)


@then("a prompt with an objective of {objective:g} s that would be split does not wait")
def step_split_sent(context, objective):
    assert not waits(context, objective, helpers=3)


@then("a prompt for one engine does not wait")
def step_single_sent(context):
    assert not waits(context, objective=4.0, helpers=0)


def waits(context, objective, helpers):
    request = PlacementRequest(100_000, 500, objective * 1000, 500)
    entries = [Helper(engine_entry(number + 2)) for number in range(helpers)]
    placement = Placement(engine_entry(1), tuple(entries), (), FIRST_EVENT_MS, "a test")
    return context.unknown_load.delays(request, placement)
