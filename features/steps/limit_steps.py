"""Steps on contract limits across several daemons."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from brassdrum.admission.lending import lender_of
from brassdrum.caller import Caller
from brassdrum.standins.site import MODEL
from features.support import Load


def running(context):
    """Return the number of streams that run on the engines."""
    return sum(
        1
        for engine in context.site.engines
        for stream in list(engine.model.streams_by_id.values())
        if not stream.done
    )


@when("{callers:d} callers stream {tokens:d} tokens each through all daemons")
def step_stream(context, callers, tokens):
    daemons = context.site.daemons
    context.max_running = getattr(context, "max_running", 0)

    def send(number):
        answers = []
        for attempt in range(6):
            url = daemons[(number + attempt) % len(daemons)].url
            answer = Caller(url, context.secret).complete(MODEL, f"{number} {attempt}", tokens)
            answers.append(answer)
            if answer.whole:
                break
            time.sleep(0.3)
        return answers

    with ThreadPoolExecutor(callers) as executor:
        futures = [executor.submit(send, number) for number in range(callers)]
        while not all(future.done() for future in futures):
            context.max_running = max(context.max_running, running(context))
            time.sleep(0.005)
        context.answers = [answer for future in futures for answer in future.result()]


@then("at most {maximum:d} streams ran concurrently, and at least {minimum:d}")
def step_concurrency(context, maximum, minimum):
    assert minimum <= context.max_running <= maximum, context.max_running


@then("every other request was refused with {code}, not run, and a retry delay")
def step_refusals(context, code):
    refused = [answer for answer in context.answers if not answer.whole]
    assert refused
    for answer in refused:
        assert answer.code == code and answer.error["ran"] == "no", answer.error
        assert answer.error["retry_after"] > 0 and "Retry-After" in answer.headers


@when("callers send requests to one daemon without a pause for {seconds:d} seconds")
def step_unpaced(context, seconds):
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


@then("no more requests succeeded than the limit plus one burst")
def step_rate(context):
    rate = context.contract.limits.requests_per_second
    succeeded = sum(answer.status == 200 for answer in context.answers)
    assert succeeded <= rate * context.seconds + rate, (succeeded, context.seconds)
    # With all the demand, one daemon gets more than its static third of the limit.
    assert succeeded >= rate * 1.2, (succeeded, context.seconds)


@when("the lender is stopped")
def step_stop_lender(context):
    daemons = context.site.daemons
    name = lender_of("quilters", [daemon.settings.name for daemon in daemons])
    lender = next(daemon for daemon in daemons if daemon.settings.name == name)
    daemons.remove(lender)
    lender.close()
