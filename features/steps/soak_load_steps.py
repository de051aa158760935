"""Steps on the soak's evacuated zones, cold replicas and slow readers."""

import hashlib
import http.client
import os
import socket
from pathlib import Path

from behave import given, then, when

from brassdrum.platform.standin import Replica, Store
from brassdrum.platform.store import PlatformStore
from brassdrum.soak.connections import (
    ConnectionOwners,
    addresses_of,
    local_address,
    peer_address,
)
from brassdrum.soak.plan import draw_plan
from brassdrum.soak.proxy import Proxy
from brassdrum.soak.replicas import ZONES
from features.support import eventually


@then("the earlier faults of seed {seed:d} for {seconds:d} seconds have the digest {digest}")
def step_earlier_faults(context, seed, seconds, digest):
    added = (
        *("evacuate", "turn_cold", "read_slowly", "pause_replicas", "endless"),
        *("crash_unframed", "leave_in_sleep", "odd_entry"),
        *("refuse_in_pause", "reload_in_pause", "revoke_in_pause", "terminate_in_pause"),
    )
    earlier = [fault for fault in draw_plan(seed, float(seconds)) if fault.kind not in added]
    assert hashlib.sha256(repr(earlier).encode()).hexdigest().startswith(digest), earlier


@then(
    "each evacuation of {count:d} seeds lasts over {bound:d} seconds and ends before a run of "
    "{seconds:d} seconds does"
)
def step_evacuations(context, count, bound, seconds):
    plans = [draw_plan(seed, float(seconds)) for seed in range(count)]
    found = [fault for plan in plans for fault in plan if fault.kind == "evacuate"]
    assert len(found) > count / 2, len(found)
    assert all(fault.seconds > bound for fault in found), found
    assert all(fault.at + fault.seconds < seconds for fault in found), found


@given("a store and a replica of the second zone that turned cold for {seconds:d} seconds")
def step_cold_replica(context, seconds):
    context.store = Store()
    context.stack.push(context.store.close)
    context.replica = Replica("replica-1", [], [], set(), lambda: 1.0)
    context.stack.push(context.replica.close)
    context.replica.zone = ZONES[1]
    context.replica.turn_cold(seconds)
    context.store.list_replica(context.replica, draining=False)
    context.reader = PlatformStore(context.store.address)


@when('the store accepts that "{zone}" is evacuated')
def step_accept_evacuation(context, zone):
    context.store.evacuate(zone)


@when('the store drops that "{zone}" is evacuated')
def step_drop_evacuation(context, zone):
    context.store.take_back(zone)


@then('a daemon reads from the store that "{zone}" is evacuated')
def step_read_evacuation(context, zone):
    assert context.reader.operator_records().evacuated_zones == {zone}


@then("a daemon reads from the store that no zone is evacuated")
def step_read_no_evacuation(context):
    assert context.reader.operator_records().evacuated_zones == frozenset()


@then('it reads that the replica in "{zone}" is cold')
def step_read_cold(context, zone):
    (record,) = context.reader.endpoints().records
    entry = context.reader.decode_endpoint(record)
    assert entry.zone == zone
    assert entry.cold_seconds > 0, entry


@then("the replica's answers say that it is cold")
def step_say_cold(context):
    connection = http.client.HTTPConnection(context.replica.own_address)
    context.stack.push(connection.close)
    headers = {"X-Attempt-Id": "a", "X-Expect-Replica": "replica-1"}
    connection.request("GET", "/check/a", headers=headers)
    response = connection.getresponse()
    assert int(response.headers["X-Cold-Remaining"]) > 0, response.headers


@then("a proxy passes on nothing that came during a silent cut")
def step_silent_cut(context):
    server = socket.create_server(("127.0.0.1", 0))
    context.stack.push(server.close)
    owners = ConnectionOwners(lambda: [os.getpid()])
    proxy = Proxy(f"127.0.0.1:{server.getsockname()[1]}", owners=owners)
    context.stack.push(proxy.close)
    host, port = proxy.address.split(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(b"before")
        accepted, _ = server.accept()
        context.stack.push(accepted.close)
        assert accepted.recv(100) == b"before"
        proxy.cut_off(os.getpid(), "silent", addresses_of(os.getpid()))
        connection.sendall(b"held up")
        # The proxy must have read it, or its reset would discard it in any case.
        eventually(lambda: unread_bytes(connection) == 0, "the proxy read what it holds up")
        proxy.end_cuts()
        try:
            assert accepted.recv(100) == b""
        except ConnectionResetError:
            pass


def unread_bytes(connection):
    """Return how many bytes the other end of a connection has not read, as the kernel says."""
    own, other = local_address(connection), peer_address(connection)
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    (queues,) = [fields[4] for fields in rows if (fields[1], fields[2]) == (other, own)]
    return int(queues.partition(":")[2], 16)
