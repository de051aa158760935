"""Steps on limiters whose lend messages are late, lost or overtaken, on a manual clock."""

import heapq
import itertools
import random
import statistics
from concurrent.futures import Future

import grpc
from behave import given, then, when

from brassdrum.clock import ManualClock
from brassdrum.errors import LimitExceededError
from features.steps.limit_book_steps import ORGANISATION, ConnectedLimiters

TICK_SECONDS = 0.02
TICKS_PER_RENEWAL = 10
MAX_REQUEST_SECONDS = 0.6
# Callers concentrate on other daemons after this time.
PHASE_SECONDS = 1.5
SETTLED_SECONDS = 4.0


class _TimedOutError(grpc.RpcError):
    """A call whose reply did not arrive in time."""


class LateLendCall:
    """Fake of the Lend call of a peer stub whose messages take time."""

    def __init__(self, limiters, lender):
        self._limiters = limiters
        self._lender = lender

    def __call__(self, request, timeout):
        """Return the reply if it is back in time; else the lender handles the request later."""
        there, back = self._limiters.delays()
        if there is not None and back is not None and there + back <= timeout:
            return self._lender.lend(request)
        if there is not None:
            self._limiters.after(there, lambda: self._lender.lend(request))
        raise _TimedOutError

    def future(self, request, timeout):
        """Return a call that completes when its reply arrives or the timeout passes."""
        call = Future()
        there, back = self._limiters.delays()

        def handle():
            reply = self._lender.lend(request)
            if back is not None and there + back <= timeout:
                self._limiters.after(back, lambda: call.set_result(reply))

        if there is not None:
            self._limiters.after(there, handle)
        if there is None or back is None or there + back > timeout:
            self._limiters.after(timeout, lambda: call.set_exception(_TimedOutError()))
        return call


class _WorldClock(ManualClock):
    """A clock that runs what is due while someone sleeps."""

    def __init__(self):
        super().__init__()
        self.advance_world = self.advance

    def sleep(self, seconds):
        """Let the others go on meanwhile."""
        self.advance_world(seconds)


class LateLimiters(ConnectedLimiters):
    """The limiters of daemons whose lend messages are late or lost."""

    def __init__(self, count, concurrency, late_seconds, lost_fraction, seed):
        clock = _WorldClock()
        super().__init__(count, concurrency, clock)
        clock.advance_world = self.advance
        self.random = random.Random(seed)
        self._late_seconds = late_seconds
        self._lost_fraction = lost_fraction
        self._events = []
        self._numbers = itertools.count()

    def stub(self, address):
        """Return the stub of a daemon, whose address is its name."""
        stub = super().stub(address)
        stub.Lend = LateLendCall(self, self.by_name[address])
        return stub

    def delays(self):
        """Return the delays there and back in seconds; None for a lost message."""
        return [
            (
                None
                if self.random.random() < self._lost_fraction
                else self.random.uniform(0.0, self._late_seconds)
            )
            for _ in range(2)
        ]

    def after(self, seconds, action):
        """Run an action later; at the next moment at the earliest."""
        due = self.clock.monotonic() + seconds
        heapq.heappush(self._events, (due, next(self._numbers), action))

    def advance(self, seconds):
        """Move the clock forward and run what is due, in order."""
        end = self.clock.monotonic() + seconds
        while self._events and self._events[0][0] <= end:
            due, _, action = heapq.heappop(self._events)
            self.clock.advance(due - self.clock.monotonic())
            action()
        self.clock.advance(end - self.clock.monotonic())


def _move_callers(limiters, slots, seconds):
    """Let callers move between the daemons; return the fraction of the usable slots in use."""
    used = usable = 0
    demand_by_name = {}
    for tick in range(round(seconds / TICK_SECONDS)):
        limiters.advance(TICK_SECONDS)
        now = tick * TICK_SECONDS
        if tick % round(PHASE_SECONDS / TICK_SECONDS) == 0:
            demand_by_name = {
                name: limiters.random.choice((0, 1, slots // 2, slots)) for name in limiters.names
            }
        if tick % TICKS_PER_RENEWAL == 0:
            limiters.renew()
        for name, demand in demand_by_name.items():
            if limiters.running(name) < demand and limiters.send(name):
                release = limiters.by_name[name].release
                limiters.after(
                    limiters.random.uniform(TICK_SECONDS, MAX_REQUEST_SECONDS),
                    lambda release=release: release(ORGANISATION, 10, 10),
                )
        if now > SETTLED_SECONDS:
            used += sum(map(limiters.running, limiters.names))
            usable += min(slots, sum(demand_by_name.values()))
    return used / usable


@given(
    "{count:d} daemons that share {slots:d} slots, with lend messages up to {late:f} s late "
    "and {lost:d} in 100 lost"
)
def step_late_daemons(context, count, slots, late, lost):
    context.slots = slots
    context.make_limiters = lambda seed: LateLimiters(count, slots, late, lost / 100, seed)


@when("callers move between them for {seconds:d} seconds, with seeds 1 to {seeds:d}")
def step_move(context, seconds, seeds):
    context.max_by_seed, context.used = {}, []
    for seed in range(1, seeds + 1):
        limiters = context.make_limiters(seed)
        context.used.append(_move_callers(limiters, context.slots, seconds))
        context.max_by_seed[seed] = limiters.max_running


@then("no more than {slots:d} requests ran at once with any seed")
def step_within_limit(context, slots):
    over = {seed: most for seed, most in context.max_by_seed.items() if most > slots}
    assert not over, f"most requests at once by seed: {over}"


@then("on average at least {percent:d} in 100 of the slots that callers want are in use")
def step_used(context, percent):
    used = statistics.mean(context.used)
    assert used >= percent / 100, used


@when("one request reaches each daemon, with seeds 1 to {seeds:d}")
def step_first_requests(context, seeds):
    context.admitted_by_seed = {}
    for seed in range(1, seeds + 1):
        limiters = context.make_limiters(seed)
        context.admitted_by_seed[seed] = [limiters.send(name) for name in limiters.names]


@then("all of them are admitted")
def step_all_admitted(context):
    refused = {seed: each for seed, each in context.admitted_by_seed.items() if not all(each)}
    assert not refused, refused


@when("a request that must start within {seconds:f} s reaches each daemon")
def step_urgent_requests(context, seconds):
    limiters = context.make_limiters(1)
    context.waited_by_name = {}
    for name, limiter in limiters.by_name.items():
        started = limiters.clock.monotonic()
        try:
            limiter.acquire(ORGANISATION, 10, started + seconds)
        except LimitExceededError:
            context.waited_by_name[name] = limiters.clock.monotonic() - started


@then("those that must ask another daemon are refused within {seconds:f} s")
def step_refused_soon(context, seconds):
    assert len(context.waited_by_name) == 2, context.waited_by_name
    assert max(context.waited_by_name.values()) <= seconds, context.waited_by_name
