"""Steps for endpoints that fall silent or break off and go on, behind the OpenAI-compatible API."""

import re
import threading

from behave import given, then, when

from features.raw_endpoint import UNFRAMED, response
from features.steps.openai_endless_steps import event, replace_engine, stream_id_of
from features.steps.site_steps import caller
from features.steps.stream_steps import event_texts
from features.support import eventually

# Events of a stream that breaks off after its first one.
EVENTS = 3
FAILURES = {
    "refuses with 503": response(b"{}", status="503 Service Unavailable"),
    "refuses with 429": response(b"{}", status="429 Too Many Requests"),
    "refuses with 410": response(b"{}", status="410 Gone"),
    "closes the connection of": b"",
}
SILENCE = "is silent for 1 s, then "


class BreakingEngine:
    """Send the first events of a stream, and fail some of its resumptions."""

    def __init__(self, failure, count, events):
        self._events = events
        self._silent_seconds = 1.0 if failure.startswith(SILENCE) else 0.0
        self._failure = FAILURES[failure.removeprefix(SILENCE)]
        self._left = count
        self._never = threading.Event()

    def plan(self, head):
        """Return the pieces to send for one request."""
        if head.startswith(b"POST /v1/completions"):
            return [UNFRAMED % b"200 OK", *self._stream(stream_id_of(head), 0, self._events)]
        if not re.match(rb"GET /v1/streams/", head):
            return [response(b"{}", status="404 Not Found")]
        if self._left > 0:
            self._left -= 1
            return self._fail()
        stream, start = re.match(rb"GET /v1/streams/([^?]+)\?from=(\d+)", head).groups()
        return [UNFRAMED % b"200 OK", *self._stream(stream.decode(), int(start), EVENTS)]

    def _fail(self):
        self._never.wait(self._silent_seconds)
        yield self._failure

    @staticmethod
    def _stream(stream, start, end):
        for index in range(start, end):
            yield event(stream, index, "stop" if index == EVENTS - 1 else None)
        if end == EVENTS:
            yield b"data: [DONE]\n\n"


@given(
    "the engine is replaced by one that breaks off a stream and {failure} the first {count:d} "
    "resumptions"
)
def step_breaking_engine(context, failure, count):
    replace_engine(context, 0, BreakingEngine(failure, count, 1).plan)


@given(
    "the engine is replaced by one that serves a stream and {failure} the first {count:d} "
    "resumptions"
)
def step_serving_engine(context, failure, count):
    replace_engine(context, 0, BreakingEngine(failure, count, EVENTS).plan)


@then("the answer is complete")
def step_answer_complete(context):
    assert context.answer.whole, (context.answer.status, context.answer.error)
    assert event_texts(context.answer.body) == [f"w{index} " for index in range(EVENTS)]


@then("the engine was sent {completions:d} completion and {resumptions:d} resumption")
@then("the engine was sent {completions:d} completion and {resumptions:d} resumptions")
def step_engine_requests(context, completions, resumptions):
    heads = list(context.endpoint.heads)
    sent = [head for head in heads if head.startswith(b"POST /v1/completions")]
    resumed = [head for head in heads if re.match(rb"GET /v1/streams/", head)]
    assert (len(sent), len(resumed)) == (completions, resumptions), (len(sent), len(resumed))


@when("the caller resumes its answer until it is served")
def step_resume_until_served(context):
    headers = {
        "Brassdrum-Resume-Token": context.answer.headers["Brassdrum-Resume-Token"],
        "Last-Event-ID": "0",
    }
    context.resumptions = []

    def served():
        context.resumptions.append(caller(context).send("GET", "/v1/resume", None, headers))
        return context.resumptions[-1].whole

    eventually(served, "the stream is resumed")


@then("no resumption was refused for good")
def step_not_refused(context):
    codes = [answer.code for answer in context.resumptions]
    assert "resume_refused" not in codes, codes


@then("the engine was not asked to cancel a stream")
def step_not_cancelled(context):
    cancelled = [head for head in context.endpoint.heads if b"/cancel" in head.split(b"\r\n")[0]]
    assert not cancelled, cancelled


@then("the resumed answer is complete")
def step_resumed_complete(context):
    texts = event_texts(context.resumptions[-1].body)
    assert texts == [f"w{index} " for index in range(1, EVENTS)], texts
