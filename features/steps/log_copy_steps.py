"""Steps for a log service that is restored from a backup while daemons use it."""

import time

from behave import given, then, when

from brassdrum.clock import ManualClock
from brassdrum.logservice.log import LogPage
from brassdrum.logservice.tail import Tail
from features.steps.once_steps import HOLDS_PATH, run_counts
from features.steps.site_steps import caller
from features.support import eventually


def contract_with_concurrency(context, concurrency):
    limits = context.contract.limits.model_copy(update={"concurrency": concurrency})
    return context.contract.model_copy(update={"limits": limits})


def send_hold(context, number):
    headers = {"Idempotency-Key": "k-1", "Effect-Id": "k-1"}
    return caller(context, number).send("POST", HOLDS_PATH, b"a", headers)


def send_until_answered(context, number):
    """Send the hold until the answer is neither unavailable nor in progress."""
    answers = []

    def answered():
        answers.append(send_hold(context, number))
        return answers[-1].code not in ("claim_unavailable", "request_in_progress")

    eventually(answered, "the hold is answered")
    return answers[-1]


@when("the log is backed up")
def step_back_up(context):
    context.site.platform.keep_copy()


@when("the log is restored from the backup")
def step_restore(context):
    # The outcome of an answered call is appended within 0.25 s.
    time.sleep(0.5)
    claims = [each.core.claims.shards[0] for each in context.site.daemons]
    if "answer" in context:  # A hold was sent, so there is a claim to read.
        eventually(lambda: all(len(each.fold) for each in claims), "all daemons read the claim")
    context.site.platform.come_back()


@when("the same hold is retried through the other daemon until it is answered")
def step_other_daemon(context):
    context.first = context.answer
    context.second = send_until_answered(context, 1)


@then("its answer equals the first one and it ran once")
def step_same_answer(context):
    assert context.first.status == context.second.status == 200, context.second.error
    assert context.first.body == context.second.body
    assert sum(run_counts(context).values()) == 1, run_counts(context)


@then("a third daemon that starts after the restore gives the same answer")
def step_third_daemon_answers(context):
    daemon = context.site.start_daemon("daemon-3")
    eventually(lambda: daemon.not_ready() is None, "daemon-3 ready")
    answer = send_until_answered(context, 2)
    assert answer.status == 200 and answer.body == context.first.body, answer.error
    assert sum(run_counts(context).values()) == 1, run_counts(context)


@when('a hold is sent with key "{key}" and body "{body}" once the daemon detects the restore')
def step_send_after_restore(context, key, body):
    claimer = context.site.daemons[0].core.claims.shards[0]
    eventually(lambda: claimer._refuse_until > 0, "daemon detects the restore")
    headers = {"Idempotency-Key": key}
    context.answer = caller(context).send("POST", HOLDS_PATH, body.encode(), headers)


@when("an operator publishes a contract that allows {count:d} concurrent requests")
def step_publish(context, count):
    context.site.publish([contract_with_concurrency(context, count)])
    if context.site.platform._state.era == 0:
        assert_allowed_concurrency(context, count)


@then("all daemons still allow {count:d} concurrent requests")
def step_still_allow(context, count):
    # Each daemon rereads the log within a second.
    limit = time.monotonic() + 2.0
    while time.monotonic() < limit:
        assert allowed_concurrency(context) == [count] * len(
            context.site.daemons
        ), allowed_concurrency(context)
        time.sleep(0.1)


@then("all daemons change to allow {count:d} concurrent requests")
def step_change_to_allow(context, count):
    assert_allowed_concurrency(context, count)


def allowed_concurrency(context):
    views = [each.core.control.view for each in context.site.daemons]
    return [view.contracts_by_organisation["quilters"].limits.concurrency for view in views]


def assert_allowed_concurrency(context, count):
    wanted = [count] * len(context.site.daemons)
    eventually(lambda: allowed_concurrency(context) == wanted, f"{count} concurrent requests")


class ScriptedLog:
    """Return scripted pages to reads."""

    def __init__(self):
        self.pages = []

    def read(self, stream, start, wait=0.0):
        """Return the next page."""
        return self.pages.pop(0)


@given("a reader of a log in era 1 that has read 5 records")
def step_reader(context):
    context.log, context.accepted_pages, context.restores = ScriptedLog(), [], []
    context.tail = Tail(
        context.log,
        "claims-0",
        ManualClock(),
        lambda: 5,
        context.accepted_pages.append,
        on_restored=context.restores.append,
    )
    context.log.pages = [LogPage(0, 5, 5, (), 1)]
    context.tail.step()
    assert context.tail.caught_up


@when("a page of era 2 reports a log of 3 records")
def step_newer_era(context):
    context.log.pages = [LogPage(0, 5, 3, (), 2)]
    context.tail.step()


@when("a page of era 1 arrives late")
def step_late_page(context):
    context.log.pages = [LogPage(0, 6, 6, (), 1)]
    context.tail.step()


@then("the reader reported one restore and accepted no page after it")
def step_one_restore(context):
    assert len(context.restores) == 1 and len(context.accepted_pages) == 1
    assert not context.tail.caught_up
