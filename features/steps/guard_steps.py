"""Steps for the guards that quarantine requests which crash endpoints."""

import errno
import logging
import re
from concurrent.futures import Future
from types import SimpleNamespace

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.clock import ManualClock
from brassdrum.daemon.content_guard import ContentGuard
from brassdrum.errors import ContentQuarantinedError
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.guards.endings import AffectedRequest, ExitDetector, LostRequest
from brassdrum.gateway.model import StoreRecord
from brassdrum.gateway.placing.load import LoadShare, LoadTable, endpoint_key
from brassdrum.outcomes.crash_reports import CrashReport, ObservedCrash
from brassdrum.outcomes.quarantine import ContentStatus
from brassdrum.telemetry.log_events import QUARANTINE_NOT_KEPT
from features.gateway_world import engine_entry
from features.steps.quarantine_steps import content, traits


@given("a daemon with {count:d} endpoints of which the first {busy:d} have streams")
def step_guard(context, count, busy):
    context.loop = SimulatedLoop()
    table = LoadTable()
    context.guard = CrashGuard(context.loop, table)
    context.entries = [engine_entry(number + 1) for number in range(count)]
    for entry in context.entries[:busy]:
        table.start(entry.id, [LoadShare(entry.id, 10.0, 100, 250)], 0.0, 10.0)


@given("endpoint {number:d} is avoided")
def step_avoided(context, number):
    context.avoided = {f"engine-{number}"}


@then("a suspect request may be sent to endpoints {numbers}")
def step_suspect_choices(context, numbers):
    assert_choices(context, ContentStatus.SUSPECT, numbers)


@then("another request may be sent to endpoints {numbers}")
def step_other_choices(context, numbers):
    assert_choices(context, ContentStatus.SOUND, numbers)


def assert_choices(context, standing, numbers):
    avoided = getattr(context, "avoided", set())
    choices = context.guard.eligible_endpoints(
        standing, context.entries, lambda name: name in avoided
    )
    found = [entry.name for entry in choices]
    assert found == [f"engine-{number}" for number in re.findall(r"\d+", numbers)], found


@when("a suspect request is sent to endpoint {number:d}")
def step_suspect_sent(context, number):
    context.guard.request_sent(ContentStatus.SUSPECT, f"engine-{number}")


@when("the daemon has waited {seconds:g} seconds")
def step_guard_waits(context, seconds):
    context.loop.advance(seconds)


@given("the content guard of a daemon whose engines keep their names")
def step_named_guard(context):
    context.clock = ManualClock()
    context.named = ContentGuard(context.clock)


@when("requests with one content find {engine} crashed, {times:d} times {seconds:g} seconds apart")
def step_found_crashed(context, engine, times, seconds):
    for _ in range(times):
        context.named.record_crash(traits("a"), engine)
        context.clock.advance(seconds)


@then("the content is not refused")
def step_not_refused(context):
    context.named.check(traits("a"))


@when("{engine} responds and then crashes under the content, {times:d} times")
def step_responds_and_crashes(context, engine, times):
    for _ in range(times):
        context.clock.advance(3.0)
        context.named.record_response(engine)
        context.named.record_crash(traits("a"), engine)
    context.clock.advance(1.0)


@then("the content is refused with its remaining quarantine time")
def step_content_refused(context):
    try:
        context.named.check(traits("a"))
    except ContentQuarantinedError as error:
        assert 590 < error.retry_after < 600, error.retry_after
        return
    raise AssertionError("the content was not refused")


class RecordingStore:
    """A store that records what a guard submits."""

    def __init__(self):
        self.records = []
        self.listed = []

    def quarantines(self):
        """Return the stored records."""
        return self.listed

    def save_quarantine(self, record):
        """Record a submitted record."""
        self.records.append(record)


@given("the crash guard of a daemon with a store")
def step_guard_with_store(context):
    start_guard(context, first=True)


@given("the crash guard of a daemon with a store, which is not the first of the fleet")
def step_guard_not_first(context):
    start_guard(context, first=False)


def start_guard(context, first):
    context.loop = SimulatedLoop()
    context.loop.clock = ManualClock()
    context.probed = set()
    context.guard = CrashGuard(
        context.loop, LoadTable(), is_probing=lambda endpoint: endpoint in context.probed
    )
    context.store = RecordingStore()

    def submit(work, done):
        future = Future()
        future.set_result(work())
        context.loop.call_later(0.001, lambda: done(future))

    context.guard.start(context.store, submit, lambda: first)


def standing(context, letter, tried=()):
    return context.guard.judge(traits(letter), tried).status


def settles_in(context, letter, tried=()):
    judgement = context.guard.judge(traits(letter), tried)
    return judgement.seconds if judgement.status is ContentStatus.UNDECIDED else 0.0


def crash_endpoint(context, number, letters, sent_at_crash=""):
    witnesses = [AffectedRequest("r", traits(letter), False, True) for letter in letters]
    witnesses += [AffectedRequest("r", traits(letter), False, False) for letter in sent_at_crash]
    context.guard.endpoint_ended(engine_entry(number), witnesses)
    context.loop.advance(0.06)


@when("endpoints {numbers} crash with content {letter:w} in flight")
def step_crash_under(context, numbers, letter):
    for number in re.findall(r"\d+", numbers):
        crash_endpoint(context, int(number), letter)


@when("endpoint {number:d} crashes while it runs contents {letters}")
def step_endpoint_crashes(context, number, letters):
    in_flight, _, sent = letters.partition(", and ")
    crash_endpoint(context, number, re.findall(r"\b[ab]\b", in_flight), sent[:1])


@when("it is being found out whether endpoint {number:d} has exited")
def step_probed(context, number):
    context.probed.add(engine_entry(number).id)


@when("endpoint {number:d} is found to be alive")
def step_probed_alive(context, number):
    context.probed.discard(engine_entry(number).id)


@given("the crash guard of a daemon that probes endpoints itself")
def step_probing_guard(context):
    context.loop = SimulatedLoop()
    context.loop.clock = ManualClock()
    context.loop.post = lambda function: context.loop.call_later(0.0, function)
    context.exited = []

    def exited(entry, affected):
        context.exited.append(entry.id)
        context.guard.endpoint_ended(entry, affected)

    refused = SimpleNamespace(error=errno.ECONNREFUSED, socket=None)
    context.detector = ExitDetector(context.loop, lambda _: refused, exited)
    context.guard = CrashGuard(
        context.loop, LoadTable(), is_probing=lambda endpoint: context.detector.is_probing(endpoint)
    )


@when("the response of endpoint {number:d} to a request with content a is interrupted")
def step_interrupted(context, number):
    lost = LostRequest("r", traits("a"), False, True, context.loop.now())
    context.detector.response_interrupted(engine_entry(number), lost)


@then("endpoint {number:d} is known to have exited and is no longer probed")
def step_known_exited(context, number):
    assert context.exited == [engine_entry(number).id], context.exited
    assert not context.detector.is_probing(engine_entry(number).id)


@then("a request with content a that was sent to endpoint {number:d} waits")
def step_sent_waits(context, number):
    assert standing(context, "a", {engine_entry(number).id}) is ContentStatus.UNDECIDED


@then("a request with content a that was sent to endpoint {number:d} is suspect")
def step_sent_suspect(context, number):
    assert standing(context, "a", {engine_entry(number).id}) is ContentStatus.SUSPECT


@then("a request with content a that was sent nowhere is suspect")
def step_unsent_suspect(context):
    assert standing(context, "a") is ContentStatus.SUSPECT


@when("{count:d} endpoints crash one after another, and content a was sent there at that moment")
def step_crash_when_sent(context, count):
    for number in range(1, count + 1):
        crash_endpoint(context, number, "", "a")


@when("it receives a report that content a was in flight at crashes 1, 2 and 3")
def step_guard_receives(context):
    context.guard.apply_peer_updates(
        (CrashReport(content("a"), tuple(ObservedCrash(n, 0.0) for n in (1, 2, 3))),)
    )


@when("it receives a report that endpoint {number:d} crashed soon after content a was sent there")
def step_guard_receives_soon(context, number):
    crash = ObservedCrash(endpoint_key(engine_entry(number).id), 0.0, soon=True)
    context.guard.apply_peer_updates((CrashReport(content("a"), (crash,)),))


@then(
    "a request with content a that was sent to endpoint {number:d} may be retried after {wait:f} s"
)
def step_retried(context, number, wait):
    tried = {engine_entry(number).id}
    assert standing(context, "a", tried) is ContentStatus.UNDECIDED
    assert 0 < settles_in(context, "a", tried) <= wait
    context.loop.advance(settles_in(context, "a", tried))
    assert standing(context, "a", tried) is ContentStatus.SOUND
    assert settles_in(context, "a", tried) == 0


@then("one that was sent to endpoint {number:d} waits for half a second at most")
def step_waits(context, number):
    tried = {engine_entry(number).id}
    assert standing(context, "a", tried) is ContentStatus.UNDECIDED
    assert 0 < settles_in(context, "a", tried) <= 0.5
    context.loop.advance(settles_in(context, "a", tried))
    assert standing(context, "a", tried) is ContentStatus.SOUND


@when("the first request with content {letter:w} is refused")
def step_first_refused(context, letter):
    while standing(context, letter) is not ContentStatus.QUARANTINED:
        assert settles_in(context, letter) > 0
        context.loop.advance(settles_in(context, letter))


@then("the store receives the record of content {letter:w}")
def step_record_stored(context, letter):
    assert [record.key for record in context.store.records] == [content(letter)]


@then("a request with content {letter:w} is refused")
def step_refused_there(context, letter):
    context.loop.advance(0.3)
    assert standing(context, letter) is ContentStatus.QUARANTINED


@then("no request with content {letter:w} is refused")
def step_not_refused_there(context, letter):
    for _ in range(30):
        context.loop.advance(0.01)
        assert standing(context, letter) is not ContentStatus.QUARANTINED


class RecordedMessages(logging.Handler):
    """A log handler that records messages."""

    def __init__(self):
        super().__init__()
        self.messages = []

    def emit(self, record):
        """Record one message."""
        self.messages.append(record.getMessage())


@given("the store holds the empty record of a released content")
def step_released_record(context):
    context.store.listed = [StoreRecord(content("a"), b"")]
    context.logged = RecordedMessages()
    logger = logging.getLogger("brassdrum.gateway.guards.crash_guard")
    logger.addHandler(context.logged)
    logger.setLevel(logging.INFO)
    logging.disable(logging.NOTSET)
    context.stack.push(lambda: logger.setLevel(logging.NOTSET))
    context.stack.push(lambda: logger.removeHandler(context.logged))


@then("no record is logged as damaged")
def step_none_damaged(context):
    assert QUARANTINE_NOT_KEPT.name not in context.logged.messages, context.logged.messages
    assert context.guard.quarantined == 0
