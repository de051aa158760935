"""Steps on endpoints that turn requests away though they have room."""

import random

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.following.suspicion import Suspicions
from brassdrum.gateway.placing.load import EndpointLoad, LoadRow, endpoint_key
from features.steps.exchange_steps import start_exchange

DAEMONS = 58
ENDPOINTS = 78
REQUESTS_PER_SECOND = 125
PLAY_SECONDS = 8.0
WORD_SECONDS = 0.06
HEARTBEAT_SECONDS = 0.8
SENDS = 2
SEND_SECONDS = 0.08


class Play:
    """Play daemons that learn which endpoints turn requests away."""

    def __init__(self, seed, turning_away):
        self.met = 0
        self.refused = 0
        self._random = random.Random(seed)
        self._turning_away = {str(number) for number in range(turning_away)}
        self._loop = SimulatedLoop()
        self._daemons = [Suspicions() for _ in range(DAEMONS)]
        for number in range(DAEMONS):
            start = self._random.uniform(0.0, HEARTBEAT_SECONDS)
            self._loop.call_later(start, lambda n=number: self._beat(n))
        self._loop.call_later(0.0, self._come)
        self._loop.advance(PLAY_SECONDS)

    def _come(self):
        self._send(self._random.randrange(DAEMONS), set())
        self._loop.call_later(self._random.expovariate(REQUESTS_PER_SECOND), self._come)

    def _send(self, number, tried):
        now = self._loop.now()
        daemon = self._daemons[number]
        left = [str(n) for n in range(ENDPOINTS) if str(n) not in tried]
        sound = [each for each in left if not daemon.suspect(each, now)] or left
        endpoint = self._random.choice(sound)
        tried.add(endpoint)
        if endpoint not in self._turning_away:
            daemon.succeeded(endpoint)
            return
        self.met += 1
        if daemon.failed(endpoint, now, certain=True):
            self._tell(number)
        if len(tried) == SENDS:
            self.refused += 1
            return
        self._loop.call_later(SEND_SECONDS, lambda: self._send(number, tried))

    def _beat(self, number):
        self._tell(number)
        self._loop.call_later(HEARTBEAT_SECONDS, lambda: self._beat(number))

    def _tell(self, number):
        words = self._daemons[number].words(self._loop.now())
        if words:
            self._loop.call_later(WORD_SECONDS, lambda: self._hear(number, words))

    def _hear(self, teller, words):
        for number, daemon in enumerate(self._daemons):
            if number == teller:
                continue
            for word in words:
                daemon.heard(word, self._loop.now())


@when("{count:d} of the endpoints turn away all requests, with seeds {first:d} to {last:d}")
def step_play(context, count, first, last):
    context.plays = [Play(seed, count) for seed in range(first, last + 1)]


@then(
    "at most {met:d} sends a play meet one, and at most {refused:d} requests a play meet two",
)
def step_met(context, met, refused):
    found = [(each.met, each.refused) for each in context.plays]
    assert all(0 < one <= met and two <= refused for one, two in found), found


@given("an endpoint that one daemon has avoided twice")
def step_avoided_twice(context):
    context.first = Suspicions()
    assert context.first.failed("a", 10.0, certain=True)
    assert context.first.failed("a", 11.0, certain=True)


@when("another daemon that heard of it meets a failure there")
def step_other_meets(context):
    context.second = Suspicions()
    (word,) = context.first.words(11.5)
    context.second.heard(word, 11.5)
    assert context.second.suspect("a", 12.5) and not context.second.suspect("a", 12.7)
    assert context.second.failed("a", 13.0, certain=True)


@then("it avoids the endpoint for twice as long again")
def step_twice_as_long(context):
    (before,), (after,) = context.first.words(11.0), context.second.words(13.0)
    assert after.span == 2 * before.span, (before, after)


@given("a stream at an endpoint of 8 places of which others have {taken:d}")
def step_taken(context, taken):
    start_exchange(context)
    rows = [LoadRow(endpoint_key("engine-1"), EndpointLoad(calls=taken))]
    context.daemon.table.merge("peer", rows, context.daemon.loop.now(), 1)


@when("the endpoint says that it did not run it")
def step_turned_away(context):
    headers = [(b"X-Attempt-Id", b"a"), (b"X-Not-Executed", b"1")]
    context.daemon.pool.calls[0].owner.response_started(503, headers)


@then("the endpoint is {believed}")
def step_believed(context, believed):
    assert ("engine-1" in context.daemon.beliefs.suspected) is (believed == "avoided")


@given("a daemon that has just met a failure at an endpoint")
def step_met_failure(context):
    context.daemon_now = 10.0
    context.daemon_alone = Suspicions()
    assert not context.daemon_alone.failed("a", 10.0, certain=False)


@given("a daemon to which an endpoint has just answered with a failure")
def step_answered_failure(context):
    context.daemon_now = 10.0
    context.daemon_alone = Suspicions()
    assert not context.daemon_alone.answered_failure("a", 10.0)


@then("it tells nobody of it")
def step_tells_nobody(context):
    assert context.daemon_alone.doubts(context.daemon_now) == []


@when("it meets a failure there {seconds:g} s later")
def step_meets_later(context, seconds):
    context.met_at = 11.0 + seconds
    assert context.first.failed("a", context.met_at, certain=True)


@then("it avoids the endpoint for {seconds:g} s")
def step_avoids_for(context, seconds):
    (word,) = context.first.words(context.met_at)
    assert word.span == seconds, word


@given("a daemon that has met no failure")
def step_met_none(context):
    context.daemon_now = 10.0
    context.daemon_alone = Suspicions()


@when("a peer tells of a failure there {seconds:g} s later")
def step_peer_tells(context, seconds):
    context.daemon_now += seconds
    context.daemon_alone.doubted("a", "10.0.0.2", context.daemon_now)


@then("no endpoint is suspect there")
def step_not_suspect_there(context):
    assert not context.daemon_alone.suspect("a", context.daemon_now)


@then("it is suspect there, and its word says so")
def step_suspect_there(context):
    assert context.daemon_alone.suspect("a", context.daemon_now)
    (word,) = context.daemon_alone.words(context.daemon_now)
    assert word.endpoint == "a"


class FailingPlay(Play):
    """Play endpoints that fail requests without saying so."""

    def __init__(self, seed, failing, share):
        self.failed = 0
        self.avoided = []
        self._share = share
        super().__init__(seed, failing)

    def _send(self, number, tried):
        now = self._loop.now()
        daemon = self._daemons[number]
        self.avoided.append(sum(daemon.suspect(str(n), now) for n in range(ENDPOINTS)))
        left = [str(n) for n in range(ENDPOINTS) if str(n) not in tried]
        endpoint = self._random.choice([e for e in left if not daemon.suspect(e, now)] or left)
        tried.add(endpoint)
        if endpoint not in self._turning_away or self._random.random() >= self._share:
            daemon.succeeded(endpoint)
            return
        daemon.failed(endpoint, now, certain=False)
        self._tell(number)
        if len(tried) == SENDS:
            self.failed += 1
            return
        self._loop.call_later(SEND_SECONDS, lambda: self._send(number, tried))

    def _tell(self, number):
        super()._tell(number)
        doubts = self._daemons[number].doubts(self._loop.now())
        if doubts:
            self._loop.call_later(WORD_SECONDS, lambda: self._hear_doubts(number, doubts))

    def _hear_doubts(self, teller, doubts):
        for number, daemon in enumerate(self._daemons):
            if number == teller:
                continue
            for endpoint in doubts:
                daemon.doubted(endpoint, str(teller), self._loop.now())


@when("{count:d} of the endpoints reset all connections, with seeds {first:d} to {last:d}")
def step_reset_play(context, count, first, last):
    context.plays = [FailingPlay(seed, count, 1.0) for seed in range(first, last + 1)]


@when("all endpoints lose 1 answer in {count:d}, with seeds {first:d} to {last:d}")
def step_lost_play(context, count, first, last):
    seeds = range(first, last + 1)
    context.plays = [FailingPlay(seed, ENDPOINTS, 1 / count) for seed in seeds]


@then("at most {most:d} requests a play fail")
def step_fail_most(context, most):
    found = [each.failed for each in context.plays]
    assert all(0 < count <= most for count in found), found


@then("on average at most {most:g} endpoints are avoided")
def step_avoided_most(context, most):
    found = [sum(each.avoided) / len(each.avoided) for each in context.plays]
    assert max(found) <= most, found
