"""Steps on a log service that comes back from a copy, before the OpenAI-compatible daemons."""

import time

from behave import given, then, when

from brassdrum.clock import ManualClock
from brassdrum.logservice.log import LogPage
from brassdrum.logservice.tail import Tail
from features.steps.once_steps import HOLDS, runs
from features.steps.site_steps import caller
from features.support import eventually


def contract_with(context, concurrency):
    limits = context.contract.limits.model_copy(update={"concurrency": concurrency})
    return context.contract.model_copy(update={"limits": limits})


def send(context, number):
    headers = {"Idempotency-Key": "k-1", "Effect-Id": "k-1"}
    return caller(context, number).send("POST", HOLDS, b"a", headers)


def settled(context, number):
    """Send the hold until the daemon does not ask to wait."""
    answers = []

    def answered():
        answers.append(send(context, number))
        return answers[-1].code not in ("claim_unavailable", "request_in_progress")

    eventually(answered, "the hold is answered")
    return answers[-1]


@when("the log makes a copy")
def step_copy(context):
    context.site.platform.keep_copy()


@when("the log comes back from its copy")
def step_back(context):
    # The outcome of what has just been answered is written within 0.25 s.
    time.sleep(0.5)
    claims = [each.core.claims.shards[0] for each in context.site.daemons]
    if context.site.services[0].runs_by_id:
        eventually(lambda: all(len(each.fold) for each in claims), "all daemons read the claim")
    context.site.platform.come_back()


@when("the same hold is sent through the other daemon until it is not told to wait")
def step_other_daemon(context):
    context.first = context.answer
    context.second = settled(context, 1)


@then("it is answered as the first one was, and ran once")
def step_same_answer(context):
    assert context.first.status == context.second.status == 200, context.second.error
    assert context.first.body == context.second.body
    assert sum(runs(context).values()) == 1, runs(context)


@then("a third daemon that starts then answers it as the first one was")
def step_third(context):
    newcomer = context.site.start_daemon("daemon-3")
    eventually(lambda: newcomer.not_ready() is None, "newcomer ready")
    answer = settled(context, 2)
    assert answer.status == 200 and answer.body == context.first.body, answer.error
    assert sum(runs(context).values()) == 1, runs(context)


@when('a hold is sent with key "{key}" and body "{body}" as soon as the daemon knows')
def step_as_soon(context, key, body):
    claimer = context.site.daemons[0].core.claims.shards[0]
    eventually(lambda: claimer._refuse_until > 0, "the daemon knows of the return")
    headers = {"Idempotency-Key": key}
    context.answer = caller(context).send("POST", HOLDS, body.encode(), headers)


@when("an operator publishes a contract that allows {count:d} requests at a time")
def step_publish(context, count):
    context.site.publish([contract_with(context, count)])
    if context.site.platform._state.era == 0:
        assert_allow(context, count)


@then("all daemons go on with {count:d} requests at a time")
def step_go_on(context, count):
    # Each daemon reads the log again within a second.
    limit = time.monotonic() + 2.0
    while time.monotonic() < limit:
        assert allowed(context) == [count] * len(context.site.daemons), allowed(context)
        time.sleep(0.1)


@then("all daemons come to allow {count:d} requests at a time")
def step_come_to_allow(context, count):
    assert_allow(context, count)


def allowed(context):
    views = [each.core.control.view for each in context.site.daemons]
    return [view.contracts_by_organisation["quilters"].limits.concurrency for view in views]


def assert_allow(context, count):
    wanted = [count] * len(context.site.daemons)
    eventually(lambda: allowed(context) == wanted, f"{count} requests at a time")


class PagedLog:
    """Answer reads with pages as told."""

    def __init__(self):
        self.pages = []

    def read(self, stream, start, wait=0.0):
        """Return the next page."""
        return self.pages.pop(0)


@given("a reader of a log in era 1 that has read 5 records")
def step_reader(context):
    context.log, context.taken, context.told = PagedLog(), [], []
    context.tail = Tail(
        context.log,
        "claims-0",
        ManualClock(),
        lambda: 5,
        context.taken.append,
        on_restored=context.told.append,
    )
    context.log.pages = [LogPage(0, 5, 5, (), 1)]
    context.tail.step()
    assert context.tail.caught_up


@when("a page in era 2 says that the log has 3 records")
def step_newer_era(context):
    context.log.pages = [LogPage(0, 5, 3, (), 2)]
    context.tail.step()


@when("a page of era 1 comes late")
def step_late_page(context):
    context.log.pages = [LogPage(0, 6, 6, (), 1)]
    context.tail.step()


@then("the reader was told once that the log came back, and took no page after it")
def step_told_once(context):
    assert len(context.told) == 1 and len(context.taken) == 1
    assert not context.tail.caught_up
