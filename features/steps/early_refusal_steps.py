"""Steps for requests that are refused before they wait in vain."""

import math

from behave import given, then

from brassdrum.gateway.model import EndpointEntry
from brassdrum.gateway.placing.load import EndpointLoad
from brassdrum.gateway.placing.placement import Placement, PlacementRequest
from brassdrum.gateway.placing.room import SAMPLE_INTERVAL_SECONDS, RoomHistory

ENGINE_COUNT = 20
FULL_STREAMS = 8
STREAM_TOKENS = 10_000
OBJECTIVE_MS = 4000.0
STREAMS_BY_STATE = {"full": FULL_STREAMS, "a quarter full": FULL_STREAMS // 4, "empty": 0}


def load_of(streams):
    """Return the load of an engine that decodes some streams."""
    tokens = streams * STREAM_TOKENS
    return EndpointLoad(
        memory=tokens, decode_memory=tokens, requests=streams, streams_by_max_pause={250: streams}
    )


def seconds_without_room(context, tokens, interference_tokens, waited_ms=0.0):
    """Return what the history says of a prompt that arrives now."""
    request = PlacementRequest(tokens, 0, OBJECTIVE_MS, 800, waited_ms, 15_000.0)
    entry = EndpointEntry("engine-1", "pool", "10.0.0.1:80", "zone-a", FULL_STREAMS, False)
    placement = Placement(
        entry, (), (), 600.0, "parts", float(interference_tokens), best_first_event_ms=400.0
    )
    return context.room.seconds_without_room(request, placement, context.room_now)


@given("engines that have been {state} for {seconds:g} seconds")
def step_engines(context, state, seconds):
    if "room" not in context:
        context.room = RoomHistory()
        context.room_now = 0.0
    load = load_of(STREAMS_BY_STATE[state])
    for _ in range(math.ceil(seconds / SAMPLE_INTERVAL_SECONDS)):
        context.room.record([load] * ENGINE_COUNT, context.room_now)
        context.room_now += SAMPLE_INTERVAL_SECONDS


@then("a prompt of {tokens:d} tokens that would cost others {loss:d} waits")
def step_waits(context, tokens, loss):
    assert seconds_without_room(context, tokens, loss) is None


@then(
    "a prompt of {tokens:d} tokens that would cost others {loss:d} has had no room for"
    " {seconds:g} seconds"
)
def step_no_room(context, tokens, loss, seconds):
    assert seconds_without_room(context, tokens, loss) == seconds


@then(
    "a prompt of {tokens:d} tokens that has waited for {waited:g} seconds is left to the usual"
    " decision"
)
def step_left(context, tokens, waited):
    assert seconds_without_room(context, tokens, 10 * tokens, 1000 * waited) is None
