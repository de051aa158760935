"""Steps for requests that crash the endpoints that run them."""

from behave import given, then, when

from brassdrum.membership.peer_pb2 import DaemonEntry
from brassdrum.settings import EngineFaults
from brassdrum.standins.ports import free_port
from brassdrum.standins.site import MODEL
from brassdrum.telemetry import log_events
from features.gateway_world import (
    CRASHING_BODY,
    CRASHING_PART,
    HOST,
    KEY,
    RunningGateway,
    call,
)
from features.steps.explaining_steps import lines
from features.steps.gateway_steps import send_request, start_gateways
from features.steps.site_steps import ENGINE, caller, start_site
from features.support import StepThread, eventually


def send_crashing(context, daemon, kind="text", **extra_headers):
    """Send the request that crashes its endpoint to a daemon, with a new attempt id."""
    gateway = context.gateways[daemon - 1]
    context.sent = getattr(context, "sent", 0) + 1
    headers = {
        "Host": HOST,
        "X_Attempt_Id": f"ending-{context.sent}",
        "X_Key": KEY,
        "X_Deadline_Remaining": "9000",
        **extra_headers,
    }
    context.answer = call(
        gateway.host, gateway.port, "POST", f"/{kind}/a", CRASHING_BODY, **headers
    )
    return context.answer


def crash_lines(context):
    return [line for line in lines(context) if line.event == log_events.ENDPOINT_ENDED.name]


@when("a request that crashes its endpoint arrives at daemon {daemon:d}")
def step_arrives(context, daemon):
    send_crashing(context, daemon)


@then("the log records its content for each of {count:d} endpoints that crashed")
def step_log_names(context, count):
    eventually(lambda: len(crash_lines(context)) == count, "each crash is logged")
    found = crash_lines(context)
    assert len({line.values["endpoint"] for line in found}) == count
    assert len({content for line in found for content in line.values["contents"]}) == 1
    assert all("ending-1" in line.values["requests"] for line in found)


@when(
    "a request whose prompt has two parts and that crashes its endpoint arrives "
    "at daemon {daemon:d}"
)
def step_parts_arrive_at(context, daemon):
    send_crashing(context, daemon, X_Model="m", X_Prompt_Prefix="5c1e07a2:800,91bd3f06:410")


@then("the log records both parts for each of {count:d} endpoints that crashed")
def step_log_names_parts(context, count):
    eventually(lambda: len(crash_lines(context)) == count, "each crash is logged")
    for line in crash_lines(context):
        names = sorted(label.split()[1] for label in line.values["parts"])
        assert names == ["5c1e07a2", "91bd3f06"], line.values


@then("the log records no endpoint that crashed")
def step_log_names_none(context):
    eventually(lambda: lines(context), "the log is written")
    assert not crash_lines(context)


@given("{daemons:d} gateways before {endpoints:d} endpoints")
def step_gateways(context, daemons, endpoints):
    start_gateways(context, daemons, endpoints)
    for endpoint in context.endpoints:
        endpoint.default_behaviour = "stream"


@when("a request that crashes its endpoint arrives {times:d} times, each time at the next daemon")
def step_arrives_times(context, times):
    for number in range(times):
        send_crashing(context, number % len(context.gateways) + 1)


@when("a request that crashes its endpoint is repeated until it is refused")
def step_until_refused(context):
    send_until_refused(context, "text")


@when('a "{kind:w}" that crashes its endpoint is repeated until it is refused')
def step_kind_until_refused(context, kind):
    send_until_refused(context, kind)


def send_until_refused(context, kind):
    """Send to each daemon in turn until one refuses the request."""
    context.kind = kind
    for number in range(20):
        daemon = number % len(context.gateways) + 1
        if send_crashing(context, daemon, kind).status == 503:
            return
    raise AssertionError("20 requests were not refused")


def send_parts(context, daemon, *parts):
    """Send a request whose prompt has some parts and a last one of its own."""
    gateway = context.gateways[daemon - 1]
    context.sent = getattr(context, "sent", 0) + 1
    prompt = ",".join(f"{part}:400" for part in (*parts, f"{context.sent:08x}"))
    headers = {
        "Host": HOST,
        "X_Attempt_Id": f"parts-{context.sent}",
        "X_Key": KEY,
        "X_Deadline_Remaining": "9000",
        "X_Model": "m",
        "X_Prompt_Prefix": prompt,
    }
    body = f"prompt {context.sent}".encode()
    context.answer = call(gateway.host, gateway.port, "POST", "/text/a", body, **headers)
    return context.answer


SHARED_PART = "5c1e07a2"


@when(
    "{count:d} requests that share a part which crashes endpoints arrive, each at the next daemon"
)
def step_parts_arrive(context, count):
    for number in range(count):
        send_parts(context, number % len(context.gateways) + 1, SHARED_PART, CRASHING_PART)


@when("requests that share a part which crashes endpoints arrive until one is refused")
def step_parts_until_refused(context):
    for number in range(20):
        daemon = number % len(context.gateways) + 1
        if send_parts(context, daemon, SHARED_PART, CRASHING_PART).status == 503:
            return
    raise AssertionError("20 requests were not refused")


@then("every daemon refuses further requests with that part as not run and says when to retry")
def step_part_refused(context):
    for number in range(1, len(context.gateways) + 1):
        received = sum(len(each.requests) for each in context.endpoints)
        answer = send_parts(context, number, CRASHING_PART)
        assert answer.status == 503, (number, answer.status)
        assert float(answer.header_by_name["retry-after"]) > 0
        assert sum(len(each.requests) for each in context.endpoints) == received


@given("every daemon has served a request with the other part of those")
@then("every daemon serves requests with the other parts of those")
def step_other_parts_served(context):
    for number in range(1, len(context.gateways) + 1):
        assert send_parts(context, number, SHARED_PART).status == 200, number


@when("all daemons are replaced by new ones")
def step_replaced(context):
    for gateway in context.gateways:
        gateway.close()
    port = free_port()
    context.gateways = [RunningGateway(context.store, 2 + n, port) for n in range(3)]
    for gateway in context.gateways:
        context.stack.push(gateway.close)
        eventually(gateway.ready, "the new daemon is ready")
        eventually(
            lambda each=gateway: each.daemon.crash_guard.quarantined == 1,
            "it has loaded the quarantine",
        )


@when("a daemon joins while the store is unavailable")
def step_joins(context):
    # The daemon finds the others by the store's list, so the store fails only once it has. Its
    # records fail before that, or they could tell of the quarantine in place of the peers.
    context.store.quarantines_down = True
    joined = RunningGateway(context.store, 9, context.gateways[0].daemon.settings.peer_port)
    context.gateways.append(joined)
    context.stack.push(joined.close)
    eventually(joined.ready, "the new daemon is ready")
    eventually(joined.daemon._peers.forward_targets, "the new daemon has heard another one")
    context.store.down = True
    eventually(lambda: joined.daemon.crash_guard.quarantined == 1, "it has received the quarantine")


@given("the store is unavailable")
def step_store_unavailable(context):
    context.store.down = True


@when("the store is available again")
def step_store_available(context):
    context.store.down = False


@then("the store holds the quarantined content")
def step_store_holds(context):
    eventually(lambda: len(context.store.quarantine_by_content) == 1, "the store holds the record")


@then("at most {count:d} endpoints have crashed")
def step_at_most(context, count):
    ended = [each.name for each in context.endpoints if each.crashed]
    assert len(ended) <= count, ended


@then("every daemon refuses it as not run and says when to retry")
def step_refused(context):
    for number in range(1, len(context.gateways) + 1):
        received = sum(len(each.requests) for each in context.endpoints)
        answer = send_crashing(context, number, getattr(context, "kind", "text"))
        assert answer.status == 503, (number, answer.status)
        assert float(answer.header_by_name["retry-after"]) > 0
        assert sum(len(each.requests) for each in context.endpoints) == received


@then("another request to the same path is served by every daemon")
def step_another_served(context):
    for number in range(len(context.gateways)):
        assert send_request(context, "text", number).status == 200


CRASHING_PROMPT = "ends whoever reads it"


@given("a site of {daemons:d} daemon and {engines:d} engines that crash on some prompt")
@given("a site of {daemons:d} daemons and {engines:d} engines that crash on some prompt")
def step_site_crashing(context, daemons, engines):
    faults = EngineFaults(ends_on=CRASHING_PROMPT)
    start_site(context, daemons, engines, ENGINE.model_copy(update={"faults": faults}))


@when("that prompt is sent {times:d} times, each time to the next daemon")
def step_prompt_times(context, times):
    context.answers = [
        caller(context, number % len(context.site.daemons)).complete(MODEL, CRASHING_PROMPT, 8)
        for number in range(times)
    ]
    assert not any(answer.whole for answer in context.answers)


# Two blocks of a prompt that holds the text on which engines crash.
CRASHING_PREFIX = CRASHING_PROMPT + " and more" * 500


@when("{count:d} prompts that begin alike and hold that prompt are sent, each to the next daemon")
def step_prefixes(context, count):
    for number in range(count):
        daemon = caller(context, number % len(context.site.daemons))
        assert not daemon.complete(MODEL, f"{CRASHING_PREFIX} {number}", 8).whole


@when("one more prompt that begins so is sent")
def step_prefix_again(context):
    context.answer = caller(context).complete(MODEL, f"{CRASHING_PREFIX} once more", 8)


@when("that prompt is sent once more")
def step_prompt_again(context):
    context.answer = caller(context).complete(MODEL, CRASHING_PROMPT, 8)


@then("at most {count:d} engines have crashed")
def step_engines_crashed(context, count):
    ended = [each.settings.name for each in context.site.engines if each.ended]
    assert len(ended) <= count, ended


@when("{count:d} engines are lost at once")
def step_lose_engines(context, count):
    for engine in context.site.engines[:count]:
        engine.close()


@then("{count:d} good requests in a row succeed")
def step_good_requests(context, count):
    answers = [caller(context).complete(MODEL, "blue", 4) for _ in range(count)]
    assert all(answer.whole for answer in answers), answers


@when("all endpoints are lost at once while a caller streams")
def step_lose_endpoints(context):
    call = StepThread(context, caller(context).complete, MODEL, "a harmless prompt", 400)
    engines = context.site.engines
    eventually(lambda: sum(each.started for each in engines), "the stream has begun")
    # The one with the stream last: when it is missed, none is reached any more.
    for endpoint in (*context.site.services, *sorted(engines, key=lambda each: each.started)):
        endpoint.close()
    context.answer = call.result()


@then("the caller's answer has failed")
def step_answer_failed(context):
    assert not context.answer.whole and context.answer.code == "endpoint_failed", context.answer


@then("no daemon holds a content responsible")
def step_none_responsible(context):
    entries = [DaemonEntry() for _ in context.site.daemons]
    for daemon, entry in zip(context.site.daemons, entries, strict=True):
        daemon.core.guard.fill_entry(entry)
    assert not any(entry.ended_contents for entry in entries), entries
