"""Steps on the decisions about requests that end endpoints."""

import logging
import random
import re
from concurrent.futures import Future

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import strategies as st

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.clock import ManualClock
from brassdrum.daemon.content_guard import ContentGuard
from brassdrum.errors import ContentQuarantinedError
from brassdrum.gateway.crash_guard import CrashGuard
from brassdrum.gateway.endings import Witness
from brassdrum.gateway.load import LoadTable, Share
from brassdrum.gateway.model import DaemonAddress, SharedRecord
from brassdrum.gateway.peer_messages import (
    PeerBelief,
    Report,
    Sender,
    decode_message,
    encode_message,
)
from brassdrum.outcomes.quarantine import EndingWord, Quarantine, SeenEnd, Standing
from brassdrum.telemetry.log_events import QUARANTINE_NOT_KEPT
from features.gateway_world import engine_entry

CONTENTS = st.sampled_from([f"{number:016x}" for number in range(6)])
ENDS = st.lists(st.tuples(CONTENTS, st.integers(1, 8)), max_size=30)


class Daemon:
    """Hold what one daemon knows and what time it is there."""

    def __init__(self):
        self.quarantine = Quarantine()


def content(letter):
    return f"{ord(letter):016x}"


def daemon(context):
    if not hasattr(context, "daemon"):
        context.now = 100.0
        context.daemon = Daemon()
    return context.daemon


def standing(context, letter, where=None):
    return (where or daemon(context)).quarantine.standing(content(letter), context.now)


@given("content {letter} was at ends {numbers}")
@when("content {letter} was at ends {numbers}")
def step_was_at(context, letter, numbers):
    quarantine = daemon(context).quarantine
    for number in re.findall(r"\d+", numbers):
        quarantine.ended(content(letter), int(number), context.now)


@given("{count:d} endpoints ended in one moment {times:d} times, each time one under content a")
def step_in_one_moment(context, count, times):
    quarantine = daemon(context).quarantine
    for moment in range(times):
        context.now += 1.5
        quarantine.ended(content("a"), 100 * moment, context.now)
        for other in range(1, count):
            name = f"{100 * moment + other:016x}"
            quarantine.ended(name, 100 * moment + other, context.now + 0.002 * other)


@given("another daemon heard all")
@when("the other daemon hears all")
def step_other_hears(context):
    if not hasattr(context, "other"):
        context.other = Daemon()
    context.other.quarantine.hear(daemon(context).quarantine.words(context.now), context.now)


@when("this daemon hears the other")
def step_this_hears(context):
    context.daemon.quarantine.hear(context.other.quarantine.words(context.now), context.now)


@when("content {letter} is answered whole")
def step_served(context, letter):
    context.now += 0.2
    assert daemon(context).quarantine.served(content(letter), context.now)


@when("{seconds:g} s pass")
def step_time(context, seconds):
    daemon(context)
    context.now += seconds
    context.daemon.quarantine.words(context.now)


@then("content {letter} is {name:w}")
def step_standing(context, letter, name):
    found = standing(context, letter)
    assert found is Standing[name.upper()], found


@then("content {letter} is {name:w} there")
def step_standing_there(context, letter, name):
    found = standing(context, letter, context.other)
    assert found is Standing[name.upper()], found


@then("nothing is known")
def step_nothing(context):
    assert daemon(context).quarantine.contents() == []


@when("{count:d} other contents were at one end each")
def step_flood(context, count):
    for number in range(count):
        name = f"{number + 1000:016x}"
        context.daemon.quarantine.ended(name, number % 300 + 50, context.now)


@then("at most {count:d} contents are known")
def step_bound(context, count):
    assert len(context.daemon.quarantine.contents()) <= count


@then("at most {count:d} are told, content {letter} first")
def step_told(context, count, letter):
    words = context.daemon.quarantine.words(context.now)
    assert len(words) <= count
    assert words[0].content == content(letter)


@when(
    "two daemons tell each other every {pause:g} seconds with {way:g} on the way "
    "for {seconds:g} seconds"
)
def step_to_and_fro(context, pause, way, seconds):
    context.other = Daemon()
    pair = [context.daemon, context.other]
    for number in range(round(seconds / pause)):
        teller, hearer = pair[number % 2], pair[1 - number % 2]
        words = passed(teller.quarantine.words(context.now))
        context.now += way
        hearer.quarantine.hear(words, context.now)
        context.now += pause - way


def passed(words):
    """Return words as they come out of a datagram."""
    belief = PeerBelief(1, "d", 0.0, 1, endings=tuple(words))
    sender = Sender("daemon-1", DaemonAddress("10.0.0.1", "zone-a"), 1, 1)
    return decode_message(encode_message(Report(sender, belief))).belief.endings


@then("any words are the same after encoding, ages to a millisecond")
def step_wire(context):
    ages = st.floats(0, 1200)
    end = st.builds(SeenEnd, st.integers(0, 2**32 - 1), ages, st.booleans(), st.booleans())
    ends = st.lists(end, max_size=12).map(tuple)
    words = st.lists(
        st.builds(EndingWord, CONTENTS, ends, st.none() | st.floats(0, 1200)), max_size=24
    )

    @any_of(words)
    def check(told):
        heard = passed(told)
        assert len(heard) == len(told)
        for sent, got in zip(told, heard, strict=True):
            assert got.content == sent.content
            assert [end.endpoint for end in got.ends] == [end.endpoint for end in sent.ends]
            for mine, theirs in zip(sent.ends, got.ends, strict=True):
                assert abs(mine.age - theirs.age) <= 0.000501
                assert (mine.soon, mine.lived) == (theirs.soon, theirs.lived)
            assert (got.served_age is None) == (sent.served_age is None)

    check()


@then("any ends heard in any order, doubled and late, give the same decisions")
def step_any_order(context):
    @any_of(ENDS, st.randoms(use_true_random=False))
    def check(ends, rng):
        words = [EndingWord(name, (SeenEnd(number, 1.0),)) for name, number in ends]
        first, second = Quarantine(), Quarantine()
        first.hear(words, 100.0)
        for word in rng.sample(words + words, 2 * len(words)):
            second.hear((word,), 100.0)
        names = {name for name, _ in ends}
        for name in names:
            assert first.standing(name, 100.5) is second.standing(name, 100.5), (name, ends)

    check()


@then("in any series of ends caused by at most two contents no other one is quarantined")
def step_healthy(context):
    @any_of(st.integers(0, 2**32), st.integers(1, 2))
    def check(seed, causes):
        rng = random.Random(seed)
        quarantine = Quarantine()
        now = 100.0
        incarnation = 0
        ending = [f"{number:016x}" for number in range(causes)]
        healthy = [f"{number + 100:016x}" for number in range(40)]
        for _ in range(60):
            now += rng.uniform(0.2, 0.8)
            cause = rng.choice(ending)
            if quarantine.standing(cause, now) is Standing.QUARANTINED:
                continue
            incarnation += 1
            # Each healthy stream is sent again at most once, by its caller once more.
            beside = rng.sample(healthy, 5)
            for name in {cause, *beside}:
                quarantine.ended(name, incarnation, now)
            for name in beside:
                if rng.random() < 0.5:
                    quarantine.served(name, now + 0.1)
        assert not {*quarantine.in_force(now + 1)} - {*ending}

    check()


@then("in any series of ends of 3 and more endpoints at once no content is quarantined")
def step_waves(context):
    @any_of(st.integers(0, 2**32), st.integers(3, 13), st.floats(0.1, 3.0))
    def check(seed, endpoints, pause):
        rng = random.Random(seed)
        quarantine = Quarantine()
        now = 100.0
        healthy = [f"{number + 100:016x}" for number in range(40)]
        for wave in range(8):
            now += pause
            streams = rng.sample(healthy, 3 * endpoints)
            for number in range(endpoints):
                for name in streams[3 * number : 3 * number + 3]:
                    quarantine.ended(name, 100 * wave + number, now + rng.uniform(0.0, 0.02))
        assert not quarantine.in_force(now + 1)

    check()


@given("a daemon before {count:d} endpoints of which the first {busy:d} have streams")
def step_guard(context, count, busy):
    context.loop = SimulatedLoop()
    table = LoadTable()
    context.guard = CrashGuard(context.loop, table)
    context.entries = [engine_entry(number + 1) for number in range(count)]
    for entry in context.entries[:busy]:
        table.start(entry.id, [Share(entry.id, 10.0, 100, 250)], 0.0, 10.0)


@given("endpoint {number:d} is avoided")
def step_avoided(context, number):
    context.avoided = {f"engine-{number}"}


@then("a suspect request may be sent to endpoints {numbers}")
def step_suspect_choices(context, numbers):
    assert_choices(context, Standing.SUSPECT, numbers)


@then("another request may be sent to endpoints {numbers}")
def step_other_choices(context, numbers):
    assert_choices(context, Standing.SOUND, numbers)


def assert_choices(context, standing, numbers):
    avoided = getattr(context, "avoided", set())
    choices = context.guard.choices(standing, context.entries, lambda name: name in avoided)
    found = [entry.name for entry in choices]
    assert found == [f"engine-{number}" for number in re.findall(r"\d+", numbers)], found


@when("a suspect request is sent to endpoint {number:d}")
def step_suspect_sent(context, number):
    context.guard.sent(Standing.SUSPECT, f"engine-{number}")


@when("the daemon has waited {seconds:g} seconds")
def step_guard_waits(context, seconds):
    context.loop.advance(seconds)


@given("a guard of a daemon whose engines keep their names")
def step_named_guard(context):
    context.clock = ManualClock()
    context.named = ContentGuard(context.clock)


@when("requests with one content find {engine} ended, {times:d} times {seconds:g} seconds apart")
def step_found_ended(context, engine, times, seconds):
    for _ in range(times):
        context.named.ended(content("a"), engine)
        context.clock.advance(seconds)


@then("the content is not refused")
def step_not_refused(context):
    context.named.check(content("a"))


@when("{engine} answers and ends under the content, {times:d} times")
def step_answers_and_ends(context, engine, times):
    for _ in range(times):
        context.clock.advance(3.0)
        context.named.answered(engine)
        context.named.ended(content("a"), engine)
    context.clock.advance(1.0)


@then("the content is refused with the time that is left")
def step_content_refused(context):
    try:
        context.named.check(content("a"))
    except ContentQuarantinedError as error:
        assert 590 < error.retry_after < 600, error.retry_after
        return
    raise AssertionError("the content was not refused")


class FirstOfFleet:
    """Take what a guard submits to the store, as the first daemon of the fleet."""

    def __init__(self):
        self.records = []
        self.listed = []

    def quarantines(self):
        """Return what is kept."""
        return self.listed

    def keep_quarantine(self, record):
        """Note a record."""
        self.records.append(record)


@given("a guard of a daemon with a store")
def step_guard_with_store(context):
    start_guard(context, first=True)


@given("a guard of a daemon with a store, which is not the first of the fleet")
def step_guard_not_first(context):
    start_guard(context, first=False)


def start_guard(context, first):
    context.loop = SimulatedLoop()
    context.loop.clock = ManualClock()
    context.guard = CrashGuard(context.loop, LoadTable())
    context.kept = FirstOfFleet()

    def submit(work, done):
        future = Future()
        future.set_result(work())
        context.loop.call_later(0.001, lambda: done(future))

    context.guard.start(context.kept, submit, lambda: first)


def end_endpoint(context, number, letters, in_passing=""):
    witnesses = [Witness("r", content(letter), False, True) for letter in letters]
    witnesses += [Witness("r", content(letter), False, False) for letter in in_passing]
    context.guard.endpoint_ended(engine_entry(number), witnesses)
    context.loop.advance(0.06)


@when("endpoints {numbers} end under content {letter:w}")
def step_ends_under(context, numbers, letter):
    for number in re.findall(r"\d+", numbers):
        end_endpoint(context, int(number), letter)


@when("endpoint {number:d} ends under contents {letters}")
def step_endpoint_ends(context, number, letters):
    beside, _, passing = letters.partition(", and ")
    end_endpoint(context, number, re.findall(r"\b[ab]\b", beside), passing[:1])


@when("{count:d} endpoints end one after the other, and content a was sent there in that moment")
def step_ends_in_passing(context, count):
    for number in range(1, count + 1):
        end_endpoint(context, number, "", "a")


@when("it hears that content a was at ends 1, 2 and 3")
def step_guard_hears(context):
    context.guard.hear((EndingWord(content("a"), tuple(SeenEnd(n, 0.0) for n in (1, 2, 3))),))


@when("the first request with content {letter:w} is refused there")
def step_first_refused(context, letter):
    while context.guard.standing(content(letter)) is not Standing.QUARANTINED:
        assert context.guard.settles_in(content(letter)) > 0
        context.loop.advance(context.guard.settles_in(content(letter)))


@then("the store is told of content {letter:w}")
def step_store_told(context, letter):
    assert [record.key for record in context.kept.records] == [content(letter)]


@then("a request with content {letter:w} is refused")
def step_refused_there(context, letter):
    context.loop.advance(0.3)
    assert context.guard.standing(content(letter)) is Standing.QUARANTINED


@then("no request with content {letter:w} is refused")
def step_not_refused_there(context, letter):
    for _ in range(30):
        context.loop.advance(0.01)
        assert context.guard.standing(content(letter)) is not Standing.QUARANTINED


@given("content {letter:w} is answered whole all the time")
def step_answered(context, letter):
    quarantine = daemon(context).quarantine
    for _ in range(20):
        context.now += 0.1
        quarantine.served(content(letter), context.now)
    context.now += 0.1


@when("each {pause:g} s an endpoint ends under content {letter:w}, {times:d} times")
def step_ends_apart(context, pause, letter, times):
    for number in range(times):
        context.now += pause
        context.daemon.quarantine.ended(content(letter), number, context.now)


@given("content {letter:w} is at {share:d} of {count:d} endpoints that end in one moment")
def step_rack(context, letter, share, count):
    for number in range(count):
        at = context.now + 0.001 * number
        context.daemon.quarantine.ended(f"{900 + number:016x}", number, at)
        if number < share:
            context.daemon.quarantine.ended(content(letter), number, at)


class KeptMessages(logging.Handler):
    """Keep what is logged."""

    def __init__(self):
        super().__init__()
        self.messages = []

    def emit(self, record):
        """Keep one message."""
        self.messages.append(record.getMessage())


@given("the store holds the empty record of a released content")
def step_released_record(context):
    context.kept.listed = [SharedRecord(content("a"), b"")]
    context.logged = KeptMessages()
    logger = logging.getLogger("brassdrum.gateway.crash_guard")
    logger.addHandler(context.logged)
    logger.setLevel(logging.INFO)
    logging.disable(logging.NOTSET)
    context.stack.push(lambda: logger.setLevel(logging.NOTSET))
    context.stack.push(lambda: logger.removeHandler(context.logged))


@then("no record is called damaged")
def step_none_damaged(context):
    assert QUARANTINE_NOT_KEPT.name not in context.logged.messages, context.logged.messages
    assert context.guard.quarantined == 0
