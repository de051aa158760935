"""Steps on the limiters of several daemons, connected in memory and with a manual clock."""

from concurrent.futures import Future

from behave import given, then, when

from brassdrum.admission.lending import MembershipView
from brassdrum.clock import ManualClock
from brassdrum.daemon.limits import DistributedLimiter
from brassdrum.errors import LimitExceededError
from brassdrum.standins.site import sample_contract
from brassdrum.telemetry.control_cost import ControlCost

ORGANISATION = "quilters"
TICK_SECONDS = 0.05
TICKS_PER_RENEWAL = 4
TICKS_PER_REQUEST = 3
SETTLED_SECONDS = 4.0


class FakeLendCall:
    """Fake of the Lend call of a peer stub."""

    def __init__(self, limiter):
        self._limiter = limiter

    def __call__(self, request, timeout):
        """Return the reply of the lender."""
        return self._limiter.lend(request)

    def future(self, request, timeout):
        """Return a completed call."""
        call = Future()
        call.set_result(self._limiter.lend(request))
        return call


class FakePeerStub:
    """Fake of the peer stub of one daemon."""

    def __init__(self, limiter):
        self.Lend = FakeLendCall(limiter)


class ConnectedLimiters:
    """The limiters of daemons that can all reach each other."""

    def __init__(self, count, concurrency, clock=None):
        self.clock = clock or ManualClock()
        self.names = [f"daemon-{number}" for number in range(1, count + 1)]
        _, contract = sample_contract(ORGANISATION, concurrency=concurrency)
        self.by_name = {}
        for name in self.names:
            limiter = DistributedLimiter(
                name,
                self.clock,
                self,
                lambda: MembershipView(self.names, self.names),
                lambda daemon: daemon,
                ControlCost(),
            )
            limiter.configure([contract])
            self.by_name[name] = limiter
        self.max_running = 0

    def stub(self, address):
        """Return the stub of a daemon, whose address is its name."""
        return FakePeerStub(self.by_name[address])

    def running(self, name):
        """Return the number of requests in flight on a daemon."""
        return self.by_name[name].in_flight(ORGANISATION)

    def send(self, name):
        """Send a request to a daemon; return whether it was admitted."""
        try:
            self.by_name[name].acquire(ORGANISATION, 10)
        except LimitExceededError:
            return False
        self.max_running = max(self.max_running, sum(map(self.running, self.names)))
        return True

    def renew(self):
        """Renew the slices of all daemons."""
        for limiter in self.by_name.values():
            limiter.renew_slices()


@given("{count:d} daemons share a limit of {slots:d} concurrent requests")
def step_limiters(context, count, slots):
    context.limiters = ConnectedLimiters(count, slots)


@when("each daemon receives ten times as many requests for {seconds:d} seconds")
def step_overload(context, seconds):
    limiters = context.limiters
    completions = []
    context.min_running = dict.fromkeys(limiters.names, 1000)
    for tick in range(round(seconds / TICK_SECONDS)):
        limiters.clock.advance(TICK_SECONDS)
        for name in [name for due, name in completions if due <= tick]:
            limiters.by_name[name].release(ORGANISATION, 10, 10)
        completions = [each for each in completions if each[0] > tick]
        if tick % TICKS_PER_RENEWAL == 0:
            limiters.renew()
        for name in limiters.names:
            for _ in range(100):
                if limiters.send(name):
                    completions.append((tick + TICKS_PER_REQUEST, name))
            if tick * TICK_SECONDS > SETTLED_SECONDS:
                context.min_running[name] = min(context.min_running[name], limiters.running(name))


@then("each daemon ran at least {slots:d} requests at all times after the first 4 seconds")
def step_min_running(context, slots):
    assert min(context.min_running.values()) >= slots, context.min_running


@then("no more than {slots:d} requests ran in total at any time")
def step_max_running(context, slots):
    assert context.limiters.max_running <= slots, context.limiters.max_running


@when("{count:d} requests run on each of the first three")
def step_run(context, count):
    limiters = context.limiters
    for _ in range(30):
        limiters.clock.advance(TICK_SECONDS * TICKS_PER_RENEWAL)
        for name in limiters.names[:3]:
            while limiters.running(name) < count and limiters.send(name):
                pass
        limiters.renew()
    assert [limiters.running(name) for name in limiters.names] == [count] * 3 + [0]


@when("{count:d} requests reach the fourth at the same time")
def step_burst(context, count):
    context.admitted = [context.limiters.send(context.limiters.names[3]) for _ in range(count)]


@then("none of them is refused")
def step_none_refused(context):
    refused = context.admitted.count(False)
    assert not refused, f"{refused} of {len(context.admitted)} refused"
