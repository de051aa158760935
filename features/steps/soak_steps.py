"""Steps on the soak, its checks and its proxy."""

import contextlib
import functools
import os
import socket
import tempfile
from dataclasses import replace
from pathlib import Path

from behave import given, then, when

from brassdrum.soak.actions import ACTIONS
from brassdrum.soak.checks import judge
from brassdrum.soak.connections import ConnectionOwners
from brassdrum.soak.history import CutOff, History
from brassdrum.soak.plan import FAULT_KINDS, PlannedFault, draw_plan
from brassdrum.soak.processes import DaemonProcess
from brassdrum.soak.proxy import Proxy
from brassdrum.soak.run import EndsBy, Soak, SoakSize
from brassdrum.standins.ports import free_port
from features.soak_histories import HISTORIES, arrival, result, run
from features.support import StepThread

SMALL = {"daemons": 2, "replicas": 3, "callers": 4}


# Limits the output, so that the result of the feature stays visible.
MOST_WARNINGS = 80
LONGEST_WARNING = 300


def daemon_warnings(folder):
    """Return the last warnings of all daemons but those on single requests, and tracebacks.

    Their logs are removed with the run, and a broken promise may not show again.
    """
    warnings, others = [], []
    for log in sorted(folder.glob("*.log")):
        for line in log.read_text(errors="replace").splitlines():
            if not line.startswith("{"):
                others.append(line)
            elif '"level":"info"' not in line and '"request"' not in line:
                warnings.append(line)
    last = [*others[-MOST_WARNINGS:], *sorted(warnings)[-MOST_WARNINGS:]]
    return [line[:LONGEST_WARNING] for line in last]


def run_soak(context, seed, seconds, plant="", size=SMALL):
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, SoakSize(**size, seconds=seconds), Path(folder), plant)
        context.report = soak.run()
        context.warnings = daemon_warnings(Path(folder)) if context.report.violations else []
    context.soaked = soak.history
    context.found = context.report.violations


@when(
    "the soak runs seed {seed:d} for {seconds:g} seconds with requests that end replicas by a part"
)
def step_soak_by_part(context, seed, seconds):
    run_soak(context, seed, seconds, size={"ends_by": EndsBy.PART})


@then("the plan of seed {seed:d} is the same twice and another one for seed {other:d}")
def step_plan(context, seed, other):
    assert draw_plan(seed, 20) == draw_plan(seed, 20)
    assert draw_plan(seed, 20) != draw_plan(other, 20)


@then("every kind of fault has an action")
def step_actions(context):
    assert list(FAULT_KINDS) == list(ACTIONS)


@when("the soak runs seed {seed:d} for {seconds:d} seconds")
def step_run(context, seed, seconds):
    run_soak(context, seed, float(seconds))


@when("the soak runs seed {seed:d} for {seconds:d} seconds at its usual size")
def step_run_usual(context, seed, seconds):
    run_soak(context, seed, float(seconds), size={})


@when('the soak runs seed {seed:d} for {seconds:d} seconds with "{plant}" planted')
def step_run_planted(context, seed, seconds, plant):
    run_soak(context, seed, float(seconds), plant)


@then("callers were served and no promise was broken")
def step_kept(context):
    assert context.report.served > 0
    assert context.found == [], "\n".join([str(context.found), *context.warnings])


@then("no request that ends replicas was sent")
def step_none_ending(context):
    assert context.soaked.results
    assert not any(result.kind == "ending" for result in context.soaked.results)


@then("no promise is called broken")
def step_none_broken(context):
    assert context.found == [], context.found


@then('"{promise}" is called broken')
def step_broken(context, promise):
    assert promise in {violation.promise for violation in context.found}, context.found


@then('"{promise}" is kept')
def step_not_broken(context, promise):
    assert promise not in {violation.promise for violation in context.found}, context.found


@given("a cut-off daemon that refused its callers while the only other one was down")
def step_other_down(context):
    history = HISTORIES["a cut-off daemon refused its callers"]
    served = [each for each in history.results if each.daemon == "daemon-2"]
    refused = [
        replace(each, sent_at=each.sent_at + 2, ended_at=each.ended_at + 2)
        for each in history.results
        if each.daemon == "daemon-1"
    ]
    context.found = judge(
        History(
            served + refused,
            history.runs,
            cuts=[CutOff(frozenset({"daemon-1"}), 0.0, 8.0)],
            disturbed_by_daemon={"daemon-2": [(5.0, 8.0)]},
            organisation_by_key={"key-1": "org-1"},
        )
    )


@given("the log of a daemon with an error, one with a cut line and one after a kill")
def step_daemon_log(context):
    folder = tempfile.TemporaryDirectory()
    context.stack.push(folder.cleanup)
    log = Path(folder.name, "daemon-1.log")
    error = '{"level":"error","event":"event handler failed"'
    lines = [
        '{"level":"warning","event":"store lost"}',
        error + ""","exception":"Traceback\\nKeyError: 'a'"}""",
        error + ',"exception":"Traceback',
        # A kill ends a line without a line feed, and the next start goes on behind it.
        '{"level":"warning","ev' + error + "}",
    ]
    log.write_text("\n".join(lines))
    context.daemon = DaemonProcess("daemon-1", "127.0.0.1", Path("boot.json"), log, (1, 2))


@then("the three errors are found and no other line")
def step_found_errors(context):
    whole, *cut = context.daemon.logged_errors()
    assert whole == "event handler failed: KeyError: 'a'", whole
    assert len(cut) == 2, cut
    assert all("event handler failed" in each for each in cut), cut


@given("a history in which {what}")
def step_history(context, what):
    history = HISTORIES[what]
    history.organisation_by_key = {"key-1": "org-1"}
    context.found = judge(history)
    clean = History([result()], [run()], organisation_by_key={"key-1": "org-1"})
    assert judge(clean) == []


DISTURBED = {
    "was started again just now": {"daemon-2": [(2.9, 6.5)]},
    "nothing disturbed": {"daemon-3": [(2.9, 6.5)]},
}


@given("a leaving endpoint that got a forwarded request from a daemon that {sender}")
def step_forwarded(context, sender):
    history = History(
        [result(), result(sent_at=3.0, request="b")],
        [run(), run(at=3.0, request="b")],
        [
            arrival(0.0),
            arrival(3.0, request="b", daemon="daemon-2"),
        ],
        said_leaving_at_by_replica={"replica-1": -1.0},
        organisation_by_key={"key-1": "org-1"},
        disturbed_by_daemon=DISTURBED[sender],
    )
    context.found = judge(history)


class EndingSoak(Soak):
    """A soak whose replica ``ending`` ends while another one is started."""

    ending = None

    def add_replica(self):
        """Let ``ending`` end first."""
        ending, self.ending = self.ending, None
        if ending is not None:
            self.replica_ends(ending)
        return super().add_replica()

    def close(self):
        """End the replicas and the store."""
        for link in self.links.values():
            link.close()
        for replica in self.replicas:
            replica.close()
        self.store.close()


@given("a soak with {count:d} replicas")
def step_soak_with_replicas(context, count):
    folder = tempfile.TemporaryDirectory()
    context.stack.push(folder.cleanup)
    context.soak = EndingSoak(3, SoakSize(replicas=count), Path(folder.name))
    context.stack.push(context.soak.close)
    for _ in range(count):
        context.soak.add_replica()


@when("each of {count:d} replicas in turn crashes")
def step_crash_in_turn(context, count):
    for choice in range(count):
        ACTIONS.get("crash")(
            context.soak, PlannedFault(0.0, "crash", seconds=0.1, choice=choice, variant=0)
        )


@then("two of its replicas are in each zone")
def step_zones(context):
    zones = sorted(replica.zone for replica in context.soak.replicas)
    assert zones == ["zone-a", "zone-a", "zone-b", "zone-b"], zones


@given("a soak whose first replica ends while another one is started")
def step_ending_soak(context):
    folder = tempfile.TemporaryDirectory()
    context.stack.push(folder.cleanup)
    context.soak = EndingSoak(3, SoakSize(**SMALL), Path(folder.name))
    context.stack.push(context.soak.close)
    for _ in range(SMALL["replicas"]):
        context.soak.add_replica()
    context.soak.ending = context.soak.replicas[0]


@when('"{kind}" strikes its first replica')
def step_strike(context, kind):
    ACTIONS.get(kind)(
        context.soak, PlannedFault(at=0.0, kind=kind, seconds=0.1, choice=0, variant=0)
    )


@then("the soak has as many replicas as before")
def step_as_many(context):
    assert len(context.soak.replicas) == SMALL["replicas"], context.soak.replicas


@given("a daemon whose caller's request reached a leaving endpoint as its {which} send")
def step_sends(context, which):
    replicas = {"last": ("replica-2", "replica-1"), "first": ("replica-1", "replica-2")}[which]
    sends = [arrival(number / 10, replica=replica) for number, replica in enumerate(replicas)]
    history = History(
        [result(), result(sent_at=3.0, request="b")],
        [run(), run(at=3.0, request="b")],
        [*sends, arrival(3.0, request="b")],
        said_leaving_at_by_replica={"replica-1": -1.0},
        organisation_by_key={"key-1": "org-1"},
    )
    context.found = judge(history)


@then("a proxy names this process for its connections, and none for those of others")
def step_process(context):
    for processes, named in (([os.getpid()], os.getpid()), ([os.getppid()], None)):
        server = socket.create_server(("127.0.0.1", 0))
        context.stack.push(server.close)
        address = f"127.0.0.1:{server.getsockname()[1]}"
        proxy = Proxy(address, owners=ConnectionOwners(functools.partial(list, processes)))
        context.stack.push(proxy.close)
        host, port = proxy.address.split(":")
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(b"one")
            accepted, _ = server.accept()
            assert accepted.recv(3) == b"one"
            assert proxy.process_behind(accepted) == named
            accepted.close()


def connect_from(source, address):
    """Return a connection from a local address that closed connections may have."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    connection.bind(source)
    connection.connect(address)
    return connection


@then("it is named also where {count:d} closed connections had the same ports")
def step_same_ports(context, count):
    servers = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
    earlier, target = servers
    for server in servers:
        context.stack.push(server.close)
    address = f"127.0.0.1:{target.getsockname()[1]}"
    proxy = Proxy(address, owners=ConnectionOwners(lambda: [os.getpid()]))
    context.stack.push(proxy.close)
    host, port = proxy.address.split(":")
    for _ in range(count):
        with connect_from(("127.0.0.1", 0), earlier.getsockname()) as closed:
            source = closed.getsockname()
        earlier.accept()[0].close()
        with connect_from(source, (host, int(port))) as connection:
            connection.sendall(b"one")
            accepted, _ = target.accept()
            assert accepted.recv(3) == b"one"
            assert proxy.process_behind(accepted) == os.getpid()
            accepted.close()


@then("a proxy passes, resets, silences and holds back answers")
def step_proxy(context):
    server = socket.create_server(("127.0.0.1", 0))
    context.stack.push(server.close)
    received = []
    StepThread(
        context, echo, context, server, received, unblock=lambda: server.shutdown(socket.SHUT_RDWR)
    )
    proxy = Proxy(f"127.0.0.1:{server.getsockname()[1]}")
    context.stack.push(proxy.close)
    assert exchange(proxy, b"one") == b"one"
    proxy.set_mode("one_way")
    assert exchange(proxy, b"two") is None
    assert b"two" in received
    proxy.set_mode("silent")
    assert exchange(proxy, b"three") is None
    assert b"three" not in received
    proxy.set_mode("reset")
    assert exchange(proxy, b"four") == b""
    proxy.set_mode("pass")
    assert exchange(proxy, b"five") == b"five"


def echo(context, server, received):
    while True:
        try:
            connection, _ = server.accept()
        except OSError:
            return
        StepThread(
            context, echo_one, connection, received, unblock=functools.partial(abort, connection)
        )


def abort(connection):
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


def echo_one(connection, received):
    try:
        while data := connection.recv(100):
            received.append(data)
            connection.sendall(data)
    except OSError:
        return


def exchange(proxy, data):
    """Return the answer; None when none comes, nothing when the connection was reset."""
    host, port = proxy.address.split(":")
    try:
        with socket.create_connection((host, int(port)), timeout=0.5) as connection:
            connection.sendall(data)
            return connection.recv(100)
    except TimeoutError:
        return None
    except OSError:
        return b""


@then("{count:d} ports that are chosen one after the other differ")
def step_ports_differ(context, count):
    assert len({free_port() for _ in range(count)}) == count
