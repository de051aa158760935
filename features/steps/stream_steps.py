"""Steps for streamed answers and for engine faults."""

import json
import re
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from brassdrum.caller import Answer, Caller
from brassdrum.http_pool import ExchangeFailedError, HttpPool
from brassdrum.standins.site import MODEL
from features.steps.caller_steps import completion_body
from features.steps.site_steps import caller


def event_texts(body):
    """Return the texts of an answer's events."""
    found = []
    for line in body.split(b"\n"):
        if line.startswith(b"data: {"):
            found.append(json.loads(line[6:])["choices"][0]["text"])
    return found


def expected_texts(count):
    return [f"w{n} " for n in range(count)]


def set_engine_faults(context, number, **faults):
    body = json.dumps(faults).encode()
    HttpPool(context.site.engines[number].url).call("POST", "/faults", body)


@when("{callers:d} callers stream {tokens:d} tokens each")
def step_concurrent_streams(context, callers, tokens):
    with ThreadPoolExecutor(10) as executor:
        futures = [
            executor.submit(caller(context).complete, MODEL, f"prompt {n}", tokens)
            for n in range(callers)
        ]
        context.answers = [future.result() for future in futures]
    context.tokens = tokens


@then("every answer is complete, in order and the caller's own")
def step_complete_answers(context):
    for answer in context.answers:
        assert answer.whole, (answer.status, answer.error)
        if answer.headers["Content-Type"] == "application/json":
            text = json.loads(answer.body)["choices"][0]["text"]
            assert text == "".join(expected_texts(context.tokens)), text
            continue
        assert event_texts(answer.body)[:-1] == expected_texts(context.tokens), answer.body
        ids = re.findall(rb"id: (\d+)", answer.body)
        assert [int(number) for number in ids] == list(range(context.tokens + 1))


@when("a caller reads a third of a stream at the first process, which is then killed")
def step_kill_during_stream(context):
    context.tokens = 600
    answer = Answer()
    first = Caller(context.processes[0].url, context.secret)
    stream = first.stream(
        "POST", "/v1/completions", completion_body(max_tokens=600), None, answer, time.monotonic()
    )
    try:
        for _ in stream:
            if answer.tokens == context.tokens // 3:
                context.processes[0].kill()
    except ExchangeFailedError:
        pass
    assert not answer.whole
    # A client discards an incomplete event, as the SSE standard requires.
    end = answer.body.rfind(b"\n\n") + 2
    context.first_part = answer.body[:end]
    context.resume_token = answer.headers["Brassdrum-Resume-Token"]
    context.last_id = re.findall(rb"id: (\d+)", context.first_part)[-1].decode()


@when("the caller resumes at the second process")
def step_resume(context):
    second = Caller(context.processes[1].url, context.secret)
    headers = {"Brassdrum-Resume-Token": context.resume_token, "Last-Event-ID": context.last_id}
    context.second_part = second.send("GET", "/v1/resume", None, headers)
    assert context.second_part.whole, context.second_part.error


@then("the two parts together are the answer byte for byte")
def step_joined_parts(context):
    whole = context.first_part + context.second_part.body
    assert event_texts(whole)[:-1] == expected_texts(context.tokens)
    streams = set(re.findall(rb'"id":"([^"]+)"', whole))
    assert len(streams) == 1, streams
    ids = [int(number) for number in re.findall(rb"id: (\d+)\n", whole)]
    assert ids == list(range(context.tokens + 1))


@when("one engine hangs on every request")
def step_hang_engine(context):
    set_engine_faults(context, 0, hang=1.0)


@when("a request with a timeout of {seconds:d} seconds is sent to the hanging engine")
def step_send_to_hanging_engine(context, seconds):
    headers = {"Brassdrum-Timeout": str(seconds)}
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        context.answer = caller(context).complete(MODEL, "blue", 4, headers)
        if not context.answer.whole:
            return
    raise AssertionError("no request was sent to the hanging engine")


@then("it fails with {code} within {seconds:d} seconds")
def step_fails(context, code, seconds):
    assert context.answer.code == code, context.answer
    assert context.answer.seconds < seconds


@when("{callers:d} callers request answers without streaming while one engine dies")
def step_engine_dies(context, callers):
    context.tokens = 200
    body = completion_body(max_tokens=context.tokens, stream=False)
    killer = threading.Timer(0.2, context.site.engines[0].close)
    killer.start()
    with ThreadPoolExecutor(12) as executor:
        futures = [
            executor.submit(caller(context, n % 2).send, "POST", "/v1/completions", body)
            for n in range(callers)
        ]
        context.answers = [future.result() for future in futures]
    killer.join()


@when("a request of {tokens:d} tokens has a timeout of half a second")
def step_too_long(context, tokens):
    headers = {"Brassdrum-Timeout": "0.5"}
    context.answer = caller(context).complete(MODEL, "x" * tokens * 4, 4, headers)
