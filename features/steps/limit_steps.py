"""Steps on limits over several daemons."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from brassdrum.admission.lending import lender_of
from brassdrum.caller import Caller
from brassdrum.standins.site import MODEL
from features.support import Load


def running(context):
    """Return how many streams the engines run now."""
    return sum(
        1
        for engine in context.site.engines
        for stream in list(engine.model.streams_by_id.values())
        if not stream.done
    )


@when("{callers:d} callers stream {tokens:d} tokens each through all daemons")
def step_callers(context, callers, tokens):
    daemons = context.site.daemons
    context.most = getattr(context, "most", 0)

    def send(number):
        found = []
        for attempt in range(6):
            url = daemons[(number + attempt) % len(daemons)].url
            answer = Caller(url, context.secret).complete(MODEL, f"{number} {attempt}", tokens)
            found.append(answer)
            if answer.whole:
                break
            time.sleep(0.3)
        return found

    with ThreadPoolExecutor(callers) as executor:
        futures = [executor.submit(send, number) for number in range(callers)]
        while not all(future.done() for future in futures):
            context.most = max(context.most, running(context))
            time.sleep(0.005)
        context.answers = [answer for future in futures for answer in future.result()]


@then("at most {most:d} ran at once and at least {least:d} did")
def step_most(context, most, least):
    assert least <= context.most <= most, context.most


@then("everything else was refused with {code}, not run, and when to come back")
def step_refusals(context, code):
    refused = [answer for answer in context.answers if not answer.whole]
    assert refused
    for answer in refused:
        assert answer.code == code and answer.error["ran"] == "no", answer.error
        assert answer.error["retry_after"] > 0 and "Retry-After" in answer.headers


@when("callers send as fast as they can for {seconds:d} seconds to one daemon")
def step_fast(context, seconds):
    caller = Caller(context.site.daemons[0].url, context.secret)
    started = time.monotonic()
    load = Load(
        lambda: [caller],
        lambda c, name: c.send("POST", "/services/remnants/holds", b"{}"),
        threads=12,
    )
    time.sleep(seconds)
    context.answers = load.finish()
    context.seconds = time.monotonic() - started


@then("no more were answered than the limit and one burst allow")
def step_rate(context):
    rate = context.contract.limits.requests_per_second
    answered = sum(answer.status == 200 for answer in context.answers)
    assert answered <= rate * context.seconds + rate, (answered, context.seconds)
    # Alone it may use the whole limit, not a third of it: slices follow demand.
    assert answered >= rate * 1.2, (answered, context.seconds)


@when("the lender is stopped")
def step_stop_lender(context):
    daemons = context.site.daemons
    name = lender_of("quilters", [daemon.settings.name for daemon in daemons])
    lender = next(daemon for daemon in daemons if daemon.settings.name == name)
    daemons.remove(lender)
    lender.close()
