"""Steps on one exchange in simulated time."""

import itertools

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.model import DeclaredRequest, EndpointEntry, RouteKind
from brassdrum.gateway.net.upstream import Break, EndpointCall
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.gateway.placing.placement import Placement
from brassdrum.gateway.request.exchange import Exchange
from brassdrum.gateway.request.waiting import WaitingLine
from brassdrum.platform.dialect import PlatformDialect
from features.gateway_world import HOST, SERVICE, route

HARM = 10_000.0
# Predictions against an objective of 1 s.
_TIMELY_MS = 100.0
_LATE_MS = 2_000.0


class Beliefs:
    """Note what is believed of endpoints."""

    def __init__(self):
        self.avoided = set()

    def endpoint_failed(self, endpoint, *, certain, detail):
        """Note a certain failure."""
        if certain:
            self.avoided.add(endpoint)

    def list_age(self):
        """Return no age."""


class Knowledge:
    """Know the endpoints."""

    version = 1

    def __init__(self, entries):
        self._entries = entries

    def usable(self, service):
        """Return all endpoints."""
        return self._entries


class Pool:
    """Note the calls that are sent."""

    def __init__(self):
        self.calls = []

    def call(self, address, owner, request, *, fresh=False):
        """Note a call that stays without an answer."""
        call = EndpointCall(owner, request)
        self.calls.append(call)
        return call


class Connection:
    """Note the answers that a caller gets."""

    def __init__(self):
        self.answers = []

    def answer(self, status, headers, body):
        """Note an answer."""
        self.answers.append(status)


class Host:
    """Give an exchange what a daemon would."""

    def __init__(self):
        self.loop = SimulatedLoop()
        self.dialect = PlatformDialect()
        self.pool = Pool()
        self.table = LoadTable()
        self.beliefs = Beliefs()
        self.entries = [
            EndpointEntry(f"engine-{number}", SERVICE, f"10.0.0.{number}:80", "zone-a", 8, False)
            for number in (1, 2, 3)
        ]
        self.knowledge = Knowledge(self.entries)
        self.harm = 0.0
        self.guard = CrashGuard(self.loop, self.table)
        self.line = WaitingLine(self.loop, lambda seconds: seconds)
        self._numbers = itertools.count()

    def place(self, exchange, need):
        """Place on the next engine that was not tried."""
        entry = next(each for each in self.entries if each.id not in exchange.tried)
        first_ms = _LATE_MS if self.harm else _TIMELY_MS
        return Placement(
            entry, (), (), first_ms, "test", interference_tokens=self.harm, best_first_event_ms=10.0
        )

    def next_number(self):
        """Return the next number."""
        return next(self._numbers)

    def may_wait(self, exchange):
        """Let all wait."""
        return True

    def may_repeat(self, service):
        """Let all repeat."""
        return True

    def budget_left(self, service):
        """Return a full budget."""
        return 10.0

    def load_changed(self):
        """Tell nobody."""

    def answer_broke(self, attempt, witness):
        """Check nothing."""

    def decided(self, event, **values):
        """Log nothing."""

    def ended(self, exchange, outcome, status, detail):
        """Log nothing."""


def begin(context, patience=10.0):
    context.host = Host()
    context.connection = Connection()
    request = DeclaredRequest("a", b"POST", b"/text/x", HOST, [], patience, None, 50_000, 100)
    streams = route("text", RouteKind.STREAM, resumable=True, objective=1.0, max_attempts=3)
    exchange = Exchange(
        context.host, context.connection, request, b"", streams, None, context.host.loop.now()
    )
    exchange.service = SERVICE
    exchange.start()
    context.exchange = exchange
    assert len(context.host.pool.calls) == 1


@given("a request whose first endpoint cannot be reached")
def step_unreachable(context):
    begin(context)
    context.fail = lambda: context.host.pool.calls[0].owner.broken(Break.NOT_SENT, "no way")


@given("a request of {patience:g} s whose first endpoint cannot be reached")
def step_unreachable_brief(context, patience):
    begin(context, patience)
    context.fail = lambda: context.host.pool.calls[0].owner.broken(Break.NOT_SENT, "no way")


@given("a request whose first endpoint answers that it did not run")
def step_not_run(context):
    begin(context)
    headers = [(b"X-Attempt-Id", b"a"), (b"X-Not-Executed", b"1")]
    context.fail = lambda: context.host.pool.calls[0].owner.began(503, headers)


@given("every other placement would harm others")
def step_harm(context):
    context.host.harm = HARM
    context.fail()


@when("{seconds:d} seconds go by")
def step_time(context, seconds):
    context.host.loop.advance(float(seconds))


@then("the request is sent once more")
def step_once_more(context):
    assert len(context.host.pool.calls) == 2, len(context.host.pool.calls)


@then("the request is not sent again")
def step_not_again(context):
    assert len(context.host.pool.calls) == 1, len(context.host.pool.calls)


@then("the caller has one answer")
def step_one_answer(context):
    assert len(context.connection.answers) == 1, context.connection.answers
