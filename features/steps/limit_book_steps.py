"""Steps on the limit books of several daemons, joined in memory, under a clock of the test."""

from concurrent.futures import Future

from behave import given, then, when

from brassdrum.admission.lending import MembershipView
from brassdrum.clock import ManualClock
from brassdrum.daemon.limits import DistributedLimiter
from brassdrum.errors import LimitExceededError
from brassdrum.standins.site import sample_contract
from brassdrum.telemetry.control_cost import ControlCost

ORGANISATION = "quilters"
TICK = 0.05
TICKS_A_RENEWAL = 4
TICKS_A_REQUEST = 3
SETTLED_SECONDS = 4.0


class LendCall:
    """Stand in for a peer's call to lend."""

    def __init__(self, book):
        self._book = book

    def __call__(self, request, timeout):
        """Return slices for a borrower."""
        return self._book.lend(request)

    def future(self, request, timeout):
        """Return a call that is answered already."""
        call = Future()
        call.set_result(self._book.lend(request))
        return call


class PeerStandin:
    """Stand in for the stub of one daemon."""

    def __init__(self, book):
        self.Lend = LendCall(book)


class Books:
    """Join the limit books of daemons that all hear each other."""

    def __init__(self, count, concurrency):
        self.clock = ManualClock()
        self.names = [f"daemon-{number}" for number in range(1, count + 1)]
        _, contract = sample_contract(ORGANISATION, concurrency=concurrency)
        self.by_name = {}
        for name in self.names:
            book = DistributedLimiter(
                name,
                self.clock,
                self,
                lambda: MembershipView(self.names, self.names),
                lambda daemon: daemon,
                ControlCost(),
            )
            book.configure([contract])
            self.by_name[name] = book
        self.most = 0

    def stub(self, address):
        """Return the stub of a daemon; its name is its address."""
        return PeerStandin(self.by_name[address])

    def running(self, name):
        """Return how many requests run at a daemon."""
        return self.by_name[name].in_flight(ORGANISATION)

    def send(self, name):
        """Return whether a daemon takes one more request."""
        try:
            self.by_name[name].acquire(ORGANISATION, 10)
        except LimitExceededError:
            return False
        self.most = max(self.most, sum(map(self.running, self.names)))
        return True

    def renew(self):
        """Let each daemon ask for its next term."""
        for book in self.by_name.values():
            book.renew_slices()


@given("{count:d} daemons share a limit of {places:d} concurrent requests")
def step_books(context, count, places):
    context.books = Books(count, places)


@when("ten times as many callers come to each of them for {seconds:d} seconds")
def step_overload(context, seconds):
    books = context.books
    ends = []
    context.least = dict.fromkeys(books.names, 1000)
    for tick in range(round(seconds / TICK)):
        books.clock.advance(TICK)
        for name in [name for due, name in ends if due <= tick]:
            books.by_name[name].release(ORGANISATION, 10, 10)
        ends = [each for each in ends if each[0] > tick]
        if tick % TICKS_A_RENEWAL == 0:
            books.renew()
        for name in books.names:
            for _ in range(100):
                if books.send(name):
                    ends.append((tick + TICKS_A_REQUEST, name))
            if tick * TICK > SETTLED_SECONDS:
                context.least[name] = min(context.least[name], books.running(name))


@then("each daemon ran {places:d} requests or more at once all the while after the first 4 seconds")
def step_each(context, places):
    assert min(context.least.values()) >= places, context.least


@then("never more than {places:d} ran in all")
def step_never_more(context, places):
    assert context.books.most <= places, context.books.most


@when("{count:d} requests run at each of the first three")
def step_run(context, count):
    books = context.books
    for _ in range(30):
        books.clock.advance(TICK * TICKS_A_RENEWAL)
        for name in books.names[:3]:
            while books.running(name) < count and books.send(name):
                pass
        books.renew()
    assert [books.running(name) for name in books.names] == [count] * 3 + [0]


@when("{count:d} callers come to the fourth in one moment")
def step_moment(context, count):
    context.served = [context.books.send(context.books.names[3]) for _ in range(count)]


@then("none of them is refused")
def step_none_refused(context):
    refused = context.served.count(False)
    assert not refused, f"{refused} of {len(context.served)} refused"
