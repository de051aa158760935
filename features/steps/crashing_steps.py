"""Steps on requests that end the endpoints that run them."""

from behave import given, then, when

from brassdrum.settings import EngineFaults
from brassdrum.standins.ports import free_port
from brassdrum.standins.site import MODEL
from brassdrum.telemetry import log_events
from features.gateway_world import ENDING_BODY, HOST, KEY, RunningGateway, call
from features.steps.explaining_steps import lines
from features.steps.gateway_steps import send, start
from features.steps.site_steps import ENGINE, caller, start_site
from features.support import eventually


def send_ending(context, daemon, kind="text"):
    """Send the request that ends its endpoint to a daemon, as a caller that comes again."""
    gateway = context.gateways[daemon - 1]
    context.sent = getattr(context, "sent", 0) + 1
    headers = {
        "Host": HOST,
        "X_Attempt_Id": f"ending-{context.sent}",
        "X_Key": KEY,
        "X_Deadline_Remaining": "9000",
    }
    context.answer = call(gateway.host, gateway.port, "POST", f"/{kind}/a", ENDING_BODY, **headers)
    return context.answer


def ended_lines(context):
    return [line for line in lines(context) if line.event == log_events.ENDPOINT_ENDED.name]


@when("a request that ends its endpoint comes to daemon {daemon:d}")
def step_comes(context, daemon):
    send_ending(context, daemon)


@then("the log names its content at each of {count:d} endpoints that ended")
def step_log_names(context, count):
    eventually(lambda: len(ended_lines(context)) == count, "each end is logged")
    found = ended_lines(context)
    assert len({line.values["endpoint"] for line in found}) == count
    assert len({content for line in found for content in line.values["contents"]}) == 1
    assert all("ending-1" in line.values["requests"] for line in found)


@then("the log names no endpoint that ended")
def step_log_names_none(context):
    eventually(lambda: lines(context), "the log is written")
    assert not ended_lines(context)


@given("{daemons:d} gateways before {endpoints:d} endpoints")
def step_gateways(context, daemons, endpoints):
    start(context, daemons, endpoints)
    for endpoint in context.endpoints:
        endpoint.usual = "stream"


@when("a request that ends its endpoint comes {times:d} times, each time to the next daemon")
def step_comes_times(context, times):
    for number in range(times):
        send_ending(context, number % len(context.gateways) + 1)


@when("a request that ends its endpoint comes until it is refused")
def step_until_refused(context):
    come_until_refused(context, "text")


@when('a "{kind:w}" that ends its endpoint comes until it is refused')
def step_kind_until_refused(context, kind):
    come_until_refused(context, kind)


def come_until_refused(context, kind):
    """Come again at the next daemon each time; a refusal must leave all endpoints untouched."""
    context.kind = kind
    for number in range(20):
        daemon = number % len(context.gateways) + 1
        if send_ending(context, daemon, kind).status == 503:
            return
    raise AssertionError("20 requests were not refused")


@when("all daemons are replaced by new ones")
def step_replaced(context):
    for gateway in context.gateways:
        gateway.close()
    port = free_port()
    context.gateways = [RunningGateway(context.store, 2 + n, port) for n in range(3)]
    for gateway in context.gateways:
        context.stack.push(gateway.close)
        eventually(gateway.ready, "the new daemon is ready")
        eventually(lambda each=gateway: each.daemon.guard.quarantined == 1, "it knows")


@when("a daemon joins while the store is away")
def step_joins(context):
    joined = RunningGateway(context.store, 9, context.gateways[0].daemon.settings.peer_port)
    context.gateways.append(joined)
    context.stack.push(joined.close)
    eventually(joined.ready, "the new daemon is ready")
    context.store.down = True
    eventually(lambda: joined.daemon.guard.quarantined == 1, "it heard of it")


@given("the store is away")
def step_away(context):
    context.store.down = True


@when("the store is back")
def step_back(context):
    context.store.down = False


@then("the store holds what is quarantined")
def step_store_holds(context):
    eventually(lambda: len(context.store.quarantine_by_content) == 1, "the store holds it")


@then("at most {count:d} endpoints have ended")
def step_at_most(context, count):
    ended = [each.name for each in context.endpoints if each.ended]
    assert len(ended) <= count, ended


@then("every daemon refuses it as not run and says when to come back")
def step_refused(context):
    for number in range(1, len(context.gateways) + 1):
        received = sum(len(each.requests) for each in context.endpoints)
        answer = send_ending(context, number, getattr(context, "kind", "text"))
        assert answer.status == 503, (number, answer.status)
        assert float(answer.header_by_name["retry-after"]) > 0
        assert sum(len(each.requests) for each in context.endpoints) == received


@then("another request to the same path is served by every daemon")
def step_another_served(context):
    for number in range(len(context.gateways)):
        assert send(context, "text", number).status == 200


ENDING_PROMPT = "ends whoever reads it"


@given("a site of {daemons:d} daemons and {engines:d} engines that some prompt ends")
def step_site_ended(context, daemons, engines):
    faults = EngineFaults(ends_on=ENDING_PROMPT)
    start_site(context, daemons, engines, ENGINE.model_copy(update={"faults": faults}))


@when("that prompt comes {times:d} times, each time to the next daemon")
def step_prompt_times(context, times):
    context.answers = [
        caller(context, number % len(context.site.daemons)).complete(MODEL, ENDING_PROMPT, 8)
        for number in range(times)
    ]
    assert not any(answer.whole for answer in context.answers)


@when("that prompt comes once more")
def step_prompt_again(context):
    context.answer = caller(context).complete(MODEL, ENDING_PROMPT, 8)


@then("at most {count:d} engines have ended")
def step_engines_ended(context, count):
    ended = [each.settings.name for each in context.site.engines if each.ended]
    assert len(ended) <= count, ended
