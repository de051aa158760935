"""Steps for engines and services that pause for a second or so and go on."""

import math
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from brassdrum.admission.work import Work
from brassdrum.clock import ManualClock
from brassdrum.contracts.documents import ContractLimits, Urgency
from brassdrum.daemon.watch import AbortReason, ExchangeWatchdog, WatchedExchange
from brassdrum.errors import BrassdrumError
from brassdrum.outcomes.refusals import RefusalBackoff
from brassdrum.standins.site import MODEL
from features.raw_endpoint import UNFRAMED, response
from features.steps.caller_steps import completion_body
from features.steps.once_steps import run_counts, set_service_faults
from features.steps.openai_endless_steps import MIB, event, replace_engine, stream_id_of
from features.steps.openai_silence_steps import LONG_EVENT_BYTES, UnreadingCaller
from features.steps.operator_steps import hold
from features.steps.site_steps import caller
from features.steps.stream_steps import set_engine_faults
from features.support import StepThread, eventually

# 300 steps of 10 ms at ten times the speed: long enough to pause in the middle.
TOKENS = 300
STOP_SECONDS = 90.0


@given("the second engine {behaviour}")
def step_second_engine(context, behaviour):
    if behaviour == "refuses for 30 s":
        set_engine_faults(context, 1, refuse=1.0, pause_seconds=30.0)
    elif behaviour == "refuses":
        set_engine_faults(context, 1, refuse=1.0)
    elif behaviour == "cannot be reached":
        context.site.engines[1].close()
    else:
        assert behaviour == "serves", behaviour


def stream_all(context, callers, meanwhile):
    """Let callers stream and do something as soon as all of them have sent their requests."""
    context.tokens = TOKENS
    with ThreadPoolExecutor(callers) as executor:
        futures = [
            executor.submit(caller(context).complete, MODEL, f"prompt {number}", TOKENS)
            for number in range(callers)
        ]
        meanwhile()
        context.answers = [future.result() for future in futures]


def wait_mid_stream(context):
    """Wait until an engine has sent a third of a stream."""

    def is_mid_stream():
        streams = [
            stream
            for engine in context.site.engines
            for stream in list(engine.model.streams_by_id.values())
        ]
        return any(len(stream.tokens) >= TOKENS // 3 for stream in streams)

    eventually(is_mid_stream, "a stream is in its middle")


@when("{callers:d} callers stream while {which} silent for {seconds:f} s before the first token")
def step_silent_before(context, callers, which, seconds):
    pause(context, which, seconds)
    stream_all(context, callers, lambda: None)


@when("{callers:d} callers stream while {which} silent for {seconds:f} s in the middle")
def step_silent_in_the_middle(context, callers, which, seconds):
    def pause_in_the_middle():
        wait_mid_stream(context)
        pause(context, which, seconds)

    stream_all(context, callers, pause_in_the_middle)


def pause(context, which, seconds):
    engines = context.site.engines if which == "both engines are" else context.site.engines[:1]
    for engine in engines:
        engine.fall_silent(seconds)


@when("{callers:d} callers stream while both engines are silent for {seconds:f} s and {event}")
def step_silent_and_event(context, callers, seconds, event):
    def pause_and_change():
        wait_mid_stream(context)
        pause(context, "both engines are", seconds)
        EVENTS[event](context)

    stream_all(context, callers, pause_and_change)


def stop_first_daemon(context):
    StepThread(context, context.site.daemons[0].stop)


def change_contract(context):
    limits = ContractLimits.model_validate(
        context.contract.limits.model_dump() | {"concurrency": 2}
    )
    context.site.publish([context.contract.model_copy(update={"limits": limits})])


def change_endpoints(context, change):
    configuration = context.site.configuration()
    endpoints = [each for each in map(change, configuration.endpoints) if each is not None]
    context.site.publish([configuration.model_copy(update={"endpoints": endpoints})])


def move_first_engine(context):
    url = context.site.engines[1].url

    def change(endpoint):
        return endpoint.model_copy(update={"url": url}) if endpoint.name == "engine-1" else endpoint

    change_endpoints(context, change)


def remove_first_engine(context):
    change_endpoints(context, lambda endpoint: None if endpoint.name == "engine-1" else endpoint)


def list_first_engine_as_leaving(context):
    context.site.platform.put_host("engine-1", role="endpoint", state="leaving")


EVENTS = {
    "the daemon stops as planned": stop_first_daemon,
    "a contract changes": change_contract,
    "the first engine gets another address": move_first_engine,
    "the first engine leaves the configuration": remove_first_engine,
    "the first engine is listed as leaving": list_first_engine_as_leaving,
}


@when("a hold is sent while the service is silent for {seconds:f} s")
def step_silent_service(context, seconds):
    set_service_faults(context, delay_seconds=seconds)
    context.answer = hold(context, "hold-1", 0)


@then("the hold is answered and ran once")
def step_hold_once(context):
    assert context.answer.status == 200, (context.answer.status, context.answer.error)
    assert run_counts(context)["hold-1"] == 1


@given("the first engine refuses every request")
def step_refusing_engine(context):
    set_engine_faults(context, 0, refuse=1.0)


@when("{callers:d} callers send {count:d} completions")
def step_send_completions(context, callers, count):
    with ThreadPoolExecutor(callers) as executor:
        futures = [
            executor.submit(caller(context).complete, MODEL, f"prompt {number}", 4)
            for number in range(count)
        ]
        context.answers = [future.result() for future in futures]


@then("every completion succeeds")
def step_all_succeed(context):
    failed = [answer.error for answer in context.answers if not answer.whole]
    assert not failed, (len(failed), failed[0])


@given("an engine that refused at {first:g} s, {second:g} s and {third:g} s")
def step_refused(context, first, second, third):
    context.backoff = RefusalBackoff()
    for at in (first, second, third):
        context.backoff.record_refusal(at)


@then("it is avoided at {inside:g} s and not at {outside:g} s")
def step_avoided(context, inside, outside):
    assert context.backoff.is_active(inside)
    assert not context.backoff.is_active(outside)


@when("it serves a request at {at:g} s")
def step_served(context, at):
    context.backoff.record_success()


@when("it refuses at {at:g} s")
def step_refuses(context, at):
    context.backoff.record_refusal(at)


@given("the daemon ends streams of engines that are silent for {seconds:d} s")
def step_short_silence(context, seconds):
    core = context.site.daemons[0].core
    core.settings = core.settings.model_copy(update={"idle_timeout_seconds": float(seconds)})


@given("the engine is replaced by one that sends a stream of {size:d} MiB")
def step_large_stream(context, size):
    def plan(head):
        if not head.startswith(b"POST /v1/completions"):
            return [response(b"{}", status="404 Not Found")]
        return large_stream(stream_id_of(head), size << 20)

    replace_engine(context, 0, plan)


def large_stream(stream, size):
    """Yield a stream of events of 64 KiB each."""
    yield UNFRAMED % b"200 OK"
    count = size // LONG_EVENT_BYTES
    for index in range(count):
        yield event(stream, index, text="x" * LONG_EVENT_BYTES)
    yield event(stream, count, "stop") + b"data: [DONE]\n\n"


@when("a caller sends a streamed request and reads nothing for {seconds:d} s")
def step_slow_reader(context, seconds):
    context.reader = UnreadingCaller(context, "POST", "/v1/completions", completion_body())
    eventually(lambda: context.endpoint.sent_bytes > MIB, "the engine sends")
    time.sleep(seconds)
    assert context.endpoint.sent_bytes < 20 * MIB, "the engine was read to its end"


@then("the caller has the whole stream")
def step_whole_large_stream(context):
    body = context.reader.read()
    assert body.endswith(b"data: [DONE]\n\n"), body[-200:]


@given("a stream of which the daemon reads nothing for {seconds:d} s")
def step_unread_stream(context, seconds):
    context.clock = ManualClock()
    context.watch = ExchangeWatchdog(context.clock)
    start = context.clock.monotonic()
    context.watched = WatchedExchange(start + 3600, start + 60, lambda: False, lambda: None)
    context.watch.add(context.watched)
    context.watched.pause_silence()
    context.clock.advance(seconds)
    context.watch.step()


@then("the watchdog has not ended it")
def step_not_ended(context):
    assert context.watched.reason is None, context.watched.reason


@when("the daemon reads it again and the engine sends nothing for {seconds:d} s")
def step_read_again(context, seconds):
    context.watched.restart_silence(context.clock.monotonic(), 60.0)
    context.clock.advance(seconds - 1)
    context.watch.step()
    assert context.watched.reason is None, context.watched.reason
    context.clock.advance(1)
    context.watch.step()


@then("the watchdog has ended it as silent")
def step_ended(context):
    assert context.watched.reason is AbortReason.SILENT, context.watched.reason


@given("a queued request whose caller leaves while room is found for it")
def step_leaving_caller(context):
    dispatcher = context.site.daemons[0].core.dispatcher
    state = dispatcher.fleet.states_by_name["engine-1"]
    state.pause.until = math.inf
    now = dispatcher.fleet._clock.monotonic()
    context.work = Work(
        id="work-1",
        organisation="quilters",
        target=MODEL,
        prompt_tokens=10,
        answer_tokens=10,
        urgency=Urgency.INTERACTIVE,
        share=1.0,
        arrived=now,
        start_by=now + STOP_SECONDS,
        deadline=now + STOP_SECONDS,
    )

    def leave():
        state.pause.until = -math.inf
        dispatcher.place_queued()
        assert state.own_requests_by_id, "no room was found"
        return True

    context.leave = leave


@when("the request is placed")
def step_place(context):
    dispatcher = context.site.daemons[0].core.dispatcher
    # The engine pauses only after the work is queued, as another daemon's request may fill it.
    dispatcher._require_usable_endpoint = lambda work: None
    try:
        context.result = dispatcher.place(context.work, context.leave)
    except BrassdrumError as error:
        context.result = error


@then("it fails with {code} and holds no place")
def step_no_place(context, code):
    assert getattr(context.result, "code", None) == code, context.result
    dispatcher = context.site.daemons[0].core.dispatcher
    assert not dispatcher.fleet.states_by_name["engine-1"].own_requests_by_id
