"""Steps for endpoints that reject requests although they have capacity."""

import random

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.following.suspicion import FailureDetector
from brassdrum.gateway.placing.load import EndpointLoad, LoadRow, endpoint_key
from features.steps.exchange_steps import start_exchange

DAEMONS = 58
ENDPOINTS = 78
REQUESTS_PER_SECOND = 125
RUN_SECONDS = 8.0
NETWORK_DELAY_SECONDS = 0.06
HEARTBEAT_SECONDS = 0.8
MAX_ATTEMPTS = 2
RETRY_DELAY_SECONDS = 0.08


class RejectionSimulation:
    """Simulate daemons that detect endpoints which reject all requests."""

    def __init__(self, seed, rejecting):
        self.rejections = 0
        self.rejected_requests = 0
        self._random = random.Random(seed)
        self._rejecting = {str(number) for number in range(rejecting)}
        self._loop = SimulatedLoop()
        self._daemons = [FailureDetector() for _ in range(DAEMONS)]
        for number in range(DAEMONS):
            start = self._random.uniform(0.0, HEARTBEAT_SECONDS)
            self._loop.call_later(start, lambda n=number: self._heartbeat(n))
        self._loop.call_later(0.0, self._arrive)
        self._loop.advance(RUN_SECONDS)

    def _arrive(self):
        self._send(self._random.randrange(DAEMONS), set())
        self._loop.call_later(self._random.expovariate(REQUESTS_PER_SECOND), self._arrive)

    def _send(self, number, tried):
        now = self._loop.now()
        daemon = self._daemons[number]
        left = [str(n) for n in range(ENDPOINTS) if str(n) not in tried]
        healthy = [each for each in left if not daemon.is_suspect(each, now)] or left
        endpoint = self._random.choice(healthy)
        tried.add(endpoint)
        if endpoint not in self._rejecting:
            daemon.record_success(endpoint)
            return
        self.rejections += 1
        if daemon.record_failure(endpoint, now, certain=True):
            self._send_notices(number)
        if len(tried) == MAX_ATTEMPTS:
            self.rejected_requests += 1
            return
        self._loop.call_later(RETRY_DELAY_SECONDS, lambda: self._send(number, tried))

    def _heartbeat(self, number):
        self._send_notices(number)
        self._loop.call_later(HEARTBEAT_SECONDS, lambda: self._heartbeat(number))

    def _send_notices(self, number):
        notices = self._daemons[number].notices(self._loop.now())
        if notices:
            self._loop.call_later(
                NETWORK_DELAY_SECONDS, lambda: self._receive_notices(number, notices)
            )

    def _receive_notices(self, sender, notices):
        for number, daemon in enumerate(self._daemons):
            if number == sender:
                continue
            for notice in notices:
                daemon.apply_notice(notice, self._loop.now())


@when("{count:d} of the endpoints reject all requests, with seeds {first:d} to {last:d}")
def step_rejecting_endpoints(context, count, first, last):
    context.runs = [RejectionSimulation(seed, count) for seed in range(first, last + 1)]


@then(
    "at most {met:d} sends per run are rejected, "
    "and at most {refused:d} requests per run are rejected twice",
)
def step_rejected_at_most(context, met, refused):
    found = [(each.rejections, each.rejected_requests) for each in context.runs]
    assert all(0 < one <= met and two <= refused for one, two in found), found


@given("an endpoint that one daemon has avoided twice")
def step_avoided_twice(context):
    context.first = FailureDetector()
    assert context.first.record_failure("a", 10.0, certain=True)
    assert context.first.record_failure("a", 11.0, certain=True)


@when("another daemon that received its notice sees a failure there")
def step_other_daemon_fails(context):
    context.second = FailureDetector()
    (notice,) = context.first.notices(11.5)
    context.second.apply_notice(notice, 11.5)
    assert context.second.is_suspect("a", 12.5) and not context.second.is_suspect("a", 12.7)
    assert context.second.record_failure("a", 13.0, certain=True)


@then("it avoids the endpoint for twice as long")
def step_twice_as_long(context):
    (before,), (after,) = context.first.notices(11.0), context.second.notices(13.0)
    assert after.span == 2 * before.span, (before, after)


@given("a stream at an endpoint with 8 slots of which other requests use {used:d}")
def step_used_slots(context, used):
    start_exchange(context)
    rows = [LoadRow(endpoint_key("engine-1"), EndpointLoad(requests=used))]
    context.daemon.load_table.merge("peer", rows, context.daemon.loop.now(), 1)


@when("the endpoint reports that it did not run the request")
def step_not_run(context):
    headers = [(b"X-Attempt-Id", b"a"), (b"X-Not-Executed", b"1")]
    context.daemon.pool.calls[0].owner.response_started(503, headers)


@then("the endpoint is {state}")
def step_avoidance(context, state):
    assert ("engine-1" in context.daemon.endpoint_monitor.suspected) is (state == "avoided")


@given("a daemon that has just seen an uncertain failure of an endpoint")
def step_seen_failure(context):
    context.now = 10.0
    context.detector = FailureDetector()
    assert not context.detector.record_failure("a", 10.0, certain=False)


@given("a daemon that has just received an error response from an endpoint")
def step_error_response(context):
    context.now = 10.0
    context.detector = FailureDetector()
    assert not context.detector.record_error_response("a", 10.0)


@then("the daemon reports no failure to its peers")
def step_no_report(context):
    assert context.detector.uncertain_failures(context.now) == []


@when("the daemon sees a failure there {seconds:g} s later")
def step_fails_later(context, seconds):
    context.failed_at = 11.0 + seconds
    assert context.first.record_failure("a", context.failed_at, certain=True)


@then("it avoids the endpoint for {seconds:g} s")
def step_avoids_for(context, seconds):
    (notice,) = context.first.notices(context.failed_at)
    assert notice.span == seconds, notice


@given("a daemon that has seen no failure")
def step_seen_none(context):
    context.now = 10.0
    context.detector = FailureDetector()


@when("a peer reports a failure of the endpoint {seconds:g} s later")
def step_peer_reports(context, seconds):
    context.now += seconds
    context.detector.record_uncertain_failure("a", "10.0.0.2", context.now)


@then("the daemon does not suspect the endpoint")
def step_not_suspect(context):
    assert not context.detector.is_suspect("a", context.now)


@then("the daemon suspects the endpoint and notifies its peers")
def step_suspect(context):
    assert context.detector.is_suspect("a", context.now)
    (notice,) = context.detector.notices(context.now)
    assert notice.endpoint == "a"


class FailureSimulation(RejectionSimulation):
    """Simulate endpoints that fail requests with the given probability."""

    def __init__(self, seed, failing, share):
        self.failed = 0
        self.avoided = []
        self._share = share
        super().__init__(seed, failing)

    def _send(self, number, tried):
        now = self._loop.now()
        daemon = self._daemons[number]
        self.avoided.append(sum(daemon.is_suspect(str(n), now) for n in range(ENDPOINTS)))
        left = [str(n) for n in range(ENDPOINTS) if str(n) not in tried]
        endpoint = self._random.choice([e for e in left if not daemon.is_suspect(e, now)] or left)
        tried.add(endpoint)
        if endpoint not in self._rejecting or self._random.random() >= self._share:
            daemon.record_success(endpoint)
            return
        daemon.record_failure(endpoint, now, certain=False)
        self._send_notices(number)
        if len(tried) == MAX_ATTEMPTS:
            self.failed += 1
            return
        self._loop.call_later(RETRY_DELAY_SECONDS, lambda: self._send(number, tried))

    def _send_notices(self, number):
        super()._send_notices(number)
        failures = self._daemons[number].uncertain_failures(self._loop.now())
        if failures:
            self._loop.call_later(
                NETWORK_DELAY_SECONDS, lambda: self._receive_failures(number, failures)
            )

    def _receive_failures(self, sender, failures):
        for number, daemon in enumerate(self._daemons):
            if number == sender:
                continue
            for endpoint in failures:
                daemon.record_uncertain_failure(endpoint, str(sender), self._loop.now())


@when("{count:d} of the endpoints reset all connections, with seeds {first:d} to {last:d}")
def step_resetting_endpoints(context, count, first, last):
    context.runs = [FailureSimulation(seed, count, 1.0) for seed in range(first, last + 1)]


@when("all endpoints lose 1 response in {count:d}, with seeds {first:d} to {last:d}")
def step_lost_responses(context, count, first, last):
    seeds = range(first, last + 1)
    context.runs = [FailureSimulation(seed, ENDPOINTS, 1 / count) for seed in seeds]


@then("at most {most:d} requests per run fail")
def step_failed_at_most(context, most):
    found = [each.failed for each in context.runs]
    assert all(0 < count <= most for count in found), found


@then("on average at most {most:g} endpoints are avoided")
def step_avoided_at_most(context, most):
    found = [sum(each.avoided) / len(each.avoided) for each in context.runs]
    assert max(found) <= most, found
