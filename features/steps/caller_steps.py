"""Steps for requests to the OpenAI-compatible API."""

import json
import socket
from urllib.parse import urlsplit

import openai
from behave import given, then, when

from brassdrum.contracts.documents import Urgency
from brassdrum.standins.site import MODEL, sample_contract
from features.steps.site_steps import caller
from features.support import eventually


def openai_client(context):
    return openai.OpenAI(
        base_url=f"{context.site.daemons[0].url}/v1", api_key=context.secret, max_retries=0
    )


@when("an OpenAI client streams {tokens:d} tokens")
def step_client_stream(context, tokens):
    chunks = openai_client(context).completions.create(
        model=MODEL, prompt="blue linen", max_tokens=tokens, stream=True
    )
    context.streamed_text = "".join(chunk.choices[0].text for chunk in chunks)
    context.expected_text = "".join(f"w{n} " for n in range(tokens))


@when("an OpenAI client requests {tokens:d} tokens without streaming")
def step_client_completion(context, tokens):
    answer = openai_client(context).completions.create(
        model=MODEL, prompt="blue linen", max_tokens=tokens
    )
    context.completion_text = answer.choices[0].text
    assert answer.usage.completion_tokens == tokens


@when("an OpenAI client requests a chat completion of {tokens:d} tokens")
def step_client_chat(context, tokens):
    chunks = openai_client(context).chat.completions.create(
        model=MODEL,
        messages=[{"role": "user", "content": [{"type": "text", "text": "blue linen"}]}],
        max_completion_tokens=tokens,
        stream=True,
    )
    context.chat_text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)


@then("all three texts are equal and complete")
def step_texts(context):
    assert (
        context.streamed_text
        == context.completion_text
        == context.chat_text
        == context.expected_text
    )


@then("the OpenAI client lists the models of the contract")
def step_models(context):
    assert [model.id for model in openai_client(context).models.list()] == [MODEL]


def completion_body(**fields):
    content = {"model": MODEL, "prompt": "blue", "max_tokens": 4, "stream": True} | fields
    return json.dumps(content).encode()


INVALID_REQUESTS = {
    "malformed JSON": {"body": b'{"model": '},
    "a list instead of an object": {"body": b"[1, 2]"},
    "a prompt that is a number": {"body": completion_body(prompt=7)},
    "no API key": {"headers": {"Authorization": ""}},
    "an unknown API key": {"headers": {"Authorization": "Bearer bd_sample_wrong"}},
    "an unknown model": {"body": completion_body(model="other")},
    "a timeout that is no number": {"headers": {"Brassdrum-Timeout": "soon"}},
    "a timeout that is infinite": {"headers": {"Brassdrum-Timeout": "inf"}},
    "a prompt no engine can hold": {"body": completion_body(prompt="x" * 3_900_000)},
    "an answer over the contract": {"body": completion_body(max_tokens=100_000)},
    "a forged resume token": {
        "method": "GET",
        "path": "/v1/resume",
        "headers": {"Brassdrum-Resume-Token": "k1.e30.00"},
    },
    "a garbled resume token": {
        "method": "GET",
        "path": "/v1/resume",
        "headers": {"Brassdrum-Resume-Token": "nonsense"},
    },
    "an event id that is no index": {
        "method": "GET",
        "path": "/v1/resume",
        "headers": {"Last-Event-ID": "x"},
        "token": True,
    },
    "an unknown path": {"path": "/v1/nothing"},
    "a key of 300 characters": {"headers": {"Idempotency-Key": "k" * 300}},
}


@when("a caller sends a request with {mistake}")
def step_invalid_request(context, mistake):
    case = INVALID_REQUESTS[mistake]
    headers = dict(case.get("headers", {}))
    if case.get("token"):
        streamed = caller(context).complete(MODEL, "blue", 2)
        headers["Brassdrum-Resume-Token"] = streamed.headers["Brassdrum-Resume-Token"]
    method = case.get("method", "POST")
    body = case.get("body", completion_body()) if method == "POST" else None
    path = case.get("path", "/v1/completions")
    context.answer = caller(context).send(method, path, body, headers)


@when("a caller sends a body of 20 million bytes")
def step_oversize(context):
    answer = caller(context).send("POST", "/v1/completions", b"x" * 20_000_000)
    assert answer.status in (0, 413), answer


@then('it is refused with {code}, a remedy and ran "{ran}"')
def step_refused(context, code, ran):
    error = context.answer.error
    assert error is not None, context.answer
    assert error["code"] == code, error
    assert error["remedy"] and error["ran"] == ran, error


@then("a good request still succeeds")
def step_valid_request(context):
    answer = caller(context).complete(MODEL, "blue", 4)
    assert answer.whole and answer.tokens == 5, answer


@when("a caller closes its connection before its body is complete")
def step_truncated_body(context):
    parts = urlsplit(context.site.daemons[0].url)
    with socket.create_connection((parts.hostname, parts.port)) as connection:
        head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n"
        connection.sendall(head.encode() + b'{"model"')


@given('another organisation "{name}"')
def step_other_organisation(context, name):
    context.other_secret, contract = sample_contract(name, Urgency.STANDARD)
    revision = context.site.publish([contract])
    eventually(
        lambda: all(d.core.control.revision >= revision for d in context.site.daemons), "revision"
    )


@when("a caller streams {tokens:d} tokens")
def step_stream(context, tokens):
    context.first = caller(context).complete(MODEL, "blue", tokens)
    assert context.first.whole


@when('"{name}" tries to resume the stream')
def step_resume_by_other_organisation(context, name):
    token = context.first.headers["Brassdrum-Resume-Token"]
    context.answer = caller(context, secret=context.other_secret).send(
        "GET", "/v1/resume", None, {"Brassdrum-Resume-Token": token}
    )


@when("a caller closes its connection after the first token of {tokens:d}")
def step_disconnect(context, tokens):
    parts = urlsplit(context.site.daemons[0].url)
    body = completion_body(max_tokens=tokens)
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {context.secret}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection((parts.hostname, parts.port)) as connection:
        connection.sendall(head.encode() + body)
        assert b"200 OK" in connection.recv(65536)


@then("the engine holds no memory")
@then("the engines hold no memory")
def step_no_memory(context):
    for engine in context.site.engines:
        eventually(lambda engine=engine: not engine.model.held(), "engine memory freed")


@then("the readiness, health, metrics, explain and held routes answer")
def step_operator_routes(context):
    trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
    answer = caller(context).send(
        "POST", "/v1/completions", completion_body(), {"traceparent": trace, "X-Request-Id": "r-1"}
    )
    assert answer.whole and answer.headers["Brassdrum-Request-Id"] == "r-1"
    assert caller(context).send("GET", "/-/ready", None).status == 200
    assert caller(context).send("GET", "/-/health", None).status == 200
    assert b"brassdrum_requests_total" in caller(context).send("GET", "/-/metrics", None).body
    steps = json.loads(caller(context).send("GET", "/-/explain?request=r-1", None).body)["steps"]
    assert [step["step"] for step in steps] == ["admitted", "routed"], steps
    held = json.loads(caller(context).send("GET", "/-/held", None).body)["held"]
    assert list(held) == ["engine-1"]
