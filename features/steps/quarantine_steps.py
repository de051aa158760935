"""Steps for quarantine decisions about requests that crash endpoints."""

import random
import re

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import strategies as st

from brassdrum.gateway.model import DaemonAddress
from brassdrum.gateway.peering.peer_messages import (
    Report,
    Sender,
    decode_message,
    encode_message,
)
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.outcomes.crash_reports import CrashReport, ObservedCrash
from brassdrum.outcomes.fingerprint import ALL_CALLERS, RequestTraits
from brassdrum.outcomes.quarantine import ContentStatus, Quarantine

CONTENTS = st.sampled_from([f"{number:016x}" for number in range(6)])
CRASHES = st.lists(st.tuples(CONTENTS, st.integers(1, 8)), max_size=30)


class Daemon:
    """A daemon with its quarantine state."""

    def __init__(self):
        self.quarantine = Quarantine()


def content(letter):
    return f"{ord(letter):016x}"


def traits(letter):
    """Return the traits of requests that have one content and no parts."""
    return RequestTraits(content(letter))


def daemon(context):
    if not hasattr(context, "daemon"):
        context.now = 100.0
        context.daemon = Daemon()
    return context.daemon


def status_of(context, letter, where=None, own_crashes=()):
    quarantine = (where or daemon(context)).quarantine
    return quarantine.status(traits(letter), context.now, own_crashes)


@given("content {letter} was in flight at crashes {numbers}")
@when("content {letter} was in flight at crashes {numbers}")
def step_was_at(context, letter, numbers):
    quarantine = daemon(context).quarantine
    for number in re.findall(r"\d+", numbers):
        quarantine.record_crash(traits(letter), int(number), context.now)


@given("content {letter} was in flight at crash {number:d} soon after it was sent")
def step_was_at_soon(context, letter, number):
    daemon(context).quarantine.record_crash(traits(letter), number, context.now, soon=True)


@given("content {letter} had a complete response before any crash")
def step_complete_before(context, letter):
    daemon(context).quarantine.record_served(traits(letter), context.now)
    context.now += 0.2


@given(
    "{count:d} endpoints crashed at once {times:d} times, each time one with content a in flight"
)
def step_simultaneous(context, count, times):
    quarantine = daemon(context).quarantine
    for moment in range(times):
        context.now += 1.5
        quarantine.record_crash(traits("a"), 100 * moment, context.now)
        for other in range(1, count):
            name = f"{100 * moment + other:016x}"
            quarantine.record_crash(
                RequestTraits(name), 100 * moment + other, context.now + 0.002 * other
            )


@given("another daemon received all reports")
@when("the other daemon receives all reports")
def step_other_receives(context):
    if not hasattr(context, "other"):
        context.other = Daemon()
    context.other.quarantine.merge_reports(
        daemon(context).quarantine.reports(context.now), context.now
    )


@when("this daemon receives the reports of the other")
def step_this_receives(context):
    context.daemon.quarantine.merge_reports(
        context.other.quarantine.reports(context.now), context.now
    )


@when("content {letter} gets a complete response")
def step_complete(context, letter):
    context.now += 0.2
    assert daemon(context).quarantine.record_served(traits(letter), context.now)


@when("{seconds:g} s pass")
def step_time(context, seconds):
    daemon(context)
    context.now += seconds
    context.daemon.quarantine.reports(context.now)


@then("content {letter} is {name:w}")
def step_status(context, letter, name):
    found = status_of(context, letter)
    assert found is ContentStatus[name.upper()], found


@then("content {letter} is {name:w} there")
def step_status_there(context, letter, name):
    found = status_of(context, letter, context.other)
    assert found is ContentStatus[name.upper()], found


@then("content {letter} is {name:w} for the request that was sent to endpoint {number:d}")
def step_status_of_request(context, letter, name, number):
    found = status_of(context, letter, own_crashes={number})
    assert found is ContentStatus[name.upper()], found


@then("content {letter} is {name:w} there for the request that was sent to endpoint {number:d}")
def step_status_of_request_there(context, letter, name, number):
    found = status_of(context, letter, context.other, own_crashes={number})
    assert found is ContentStatus[name.upper()], found


@then("no content is tracked")
def step_none_tracked(context):
    assert daemon(context).quarantine.traits() == []


@when("{count:d} other contents were in flight at one crash each")
def step_flood(context, count):
    for number in range(count):
        name = f"{number + 1000:016x}"
        context.daemon.quarantine.record_crash(RequestTraits(name), number % 300 + 50, context.now)


@then("at most {count:d} contents are tracked")
def step_tracked_limit(context, count):
    assert len(context.daemon.quarantine.traits()) <= count


@then("their reports take at most {count:d} bytes, content {letter} first")
def step_reported(context, count, letter):
    reports = context.daemon.quarantine.reports(context.now)
    assert 0 < encoded_size(reports) - encoded_size(()) <= count
    assert reports[0].trait == content(letter)


@when(
    "two daemons exchange reports every {pause:g} seconds with {delay:g} seconds of delay "
    "for {seconds:g} seconds"
)
def step_exchange(context, pause, delay, seconds):
    context.other = Daemon()
    pair = [context.daemon, context.other]
    for number in range(round(seconds / pause)):
        sender, receiver = pair[number % 2], pair[1 - number % 2]
        reports = encode_and_decode(sender.quarantine.reports(context.now))
        context.now += delay
        receiver.quarantine.merge_reports(reports, context.now)
        context.now += pause - delay


def encode(reports):
    belief = PeerStatus(1, "d", 0.0, 1, endings=tuple(reports))
    sender = Sender("daemon-1", DaemonAddress("10.0.0.1", "zone-a"), 1, 1)
    return encode_message(Report(sender, belief))


def encoded_size(reports):
    return len(encode(reports))


def encode_and_decode(reports):
    """Return reports after encoding and decoding a datagram."""
    return decode_message(encode(reports)).status.endings


@then("any reports are equal after encoding and decoding, ages to a millisecond")
def step_encoding(context):
    ages = st.floats(0, 1200)
    crash = st.builds(
        ObservedCrash,
        st.integers(0, 2**32 - 1),
        ages,
        st.booleans(),
        st.booleans(),
        st.integers(0, ALL_CALLERS),
    )
    crashes = st.lists(crash, max_size=12).map(tuple)
    reports = st.lists(
        st.builds(CrashReport, CONTENTS, crashes, st.none() | st.floats(0, 1200)), max_size=24
    )

    @any_of(reports)
    def check(sent_reports):
        received_reports = encode_and_decode(sent_reports)
        assert len(received_reports) == len(sent_reports)
        for sent, received in zip(sent_reports, received_reports, strict=True):
            assert received.trait == sent.trait
            assert [crash.endpoint for crash in received.crashes] == [
                crash.endpoint for crash in sent.crashes
            ]
            for expected, actual in zip(sent.crashes, received.crashes, strict=True):
                assert abs(expected.age - actual.age) <= 0.000501
                assert (expected.soon, expected.lived) == (actual.soon, actual.lived)
                assert expected.callers == actual.callers
            assert (received.served_age is None) == (sent.served_age is None)

    check()


@then("any crash reports in any order, duplicated and delayed, give the same decisions")
def step_any_order(context):
    @any_of(CRASHES, st.randoms(use_true_random=False))
    def check(crashes, rng):
        reports = [CrashReport(name, (ObservedCrash(number, 1.0),)) for name, number in crashes]
        first, second = Quarantine(), Quarantine()
        first.merge_reports(reports, 100.0)
        for report in rng.sample(reports + reports, 2 * len(reports)):
            second.merge_reports((report,), 100.0)
        names = {name for name, _ in crashes}
        for name in names:
            assert first.status(RequestTraits(name), 100.5) is second.status(
                RequestTraits(name), 100.5
            ), (name, crashes)

    check()


@then("in any series of crashes caused by at most two contents no other one is quarantined")
def step_only_causes_quarantined(context):
    @any_of(st.integers(0, 2**32), st.integers(1, 2))
    def check(seed, causes):
        rng = random.Random(seed)
        quarantine = Quarantine()
        now = 100.0
        incarnation = 0
        crashing = [f"{number:016x}" for number in range(causes)]
        healthy = [f"{number + 100:016x}" for number in range(40)]
        for _ in range(60):
            now += rng.uniform(0.2, 0.8)
            cause = rng.choice(crashing)
            if quarantine.status(RequestTraits(cause), now) is ContentStatus.QUARANTINED:
                continue
            incarnation += 1
            # A healthy stream is retried at most twice: by the daemon and by its caller.
            beside = rng.sample(healthy, 5)
            for name in {cause, *beside}:
                quarantine.record_crash(RequestTraits(name), incarnation, now)
            for name in beside:
                if rng.random() < 0.5:
                    quarantine.record_served(RequestTraits(name), now + 0.1)
        assert not {*quarantine.quarantined(now + 1)} - {*crashing}

    check()


@then("in any series of simultaneous crashes of 3 and more endpoints no content is quarantined")
def step_mass_failures(context):
    @any_of(st.integers(0, 2**32), st.integers(3, 13), st.floats(0.1, 3.0))
    def check(seed, endpoints, pause):
        rng = random.Random(seed)
        quarantine = Quarantine()
        now = 100.0
        healthy = [f"{number + 100:016x}" for number in range(40)]
        for failure in range(8):
            now += pause
            streams = rng.sample(healthy, 3 * endpoints)
            for number in range(endpoints):
                for name in streams[3 * number : 3 * number + 3]:
                    quarantine.record_crash(
                        RequestTraits(name), 100 * failure + number, now + rng.uniform(0.0, 0.02)
                    )
        assert not quarantine.quarantined(now + 1)

    check()


@given("content {letter:w} gets complete responses all the time")
def step_completes_regularly(context, letter):
    quarantine = daemon(context).quarantine
    for _ in range(20):
        context.now += 0.1
        quarantine.record_served(traits(letter), context.now)
    context.now += 0.1


@when("every {pause:g} s an endpoint crashes with content {letter:w} in flight, {times:d} times")
def step_crashes_apart(context, pause, letter, times):
    for number in range(times):
        context.now += pause
        context.daemon.quarantine.record_crash(traits(letter), number, context.now)


@given("content {letter:w} is in flight at {share:d} of {count:d} endpoints that crash at once")
def step_rack(context, letter, share, count):
    for number in range(count):
        at = context.now + 0.001 * number
        context.daemon.quarantine.record_crash(RequestTraits(f"{900 + number:016x}"), number, at)
        if number < share:
            context.daemon.quarantine.record_crash(traits(letter), number, at)
