"""Steps for responses that break off inside their head, or have no length."""

import contextlib
import socket

from behave import given, then

from brassdrum.clock import SystemClock
from brassdrum.deferred_http import ExchangeFailedError
from brassdrum.endpoints.service import ServiceClient, ServiceRequest
from brassdrum.errors import EndpointFailedError, PlatformUnavailableError
from brassdrum.http_pool import HttpPool
from brassdrum.platform.store import PlatformStore
from features.raw_endpoint import RawEndpoint
from features.support import StepThread

STATUS = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 20\r\n"
SENT_BY_PLACE = {
    "in its status line": STATUS[:12],
    "after its status line": STATUS,
    "in the name of a header": STATUS + b"Content-Ty",
    "in the value of a header": STATUS + b"Content-Type: text/pl",
    "after a header": STATUS + b"Content-Type: text/plain\r\n",
    "in the value of its length": STATUS + LENGTH[:17],
    "after its length": STATUS + LENGTH,
    "before the blank line": STATUS + LENGTH + b"\r",
    "in the head after an interim one": b"HTTP/1.1 103 Early Hints\r\n\r\n" + STATUS,
}
UNFRAMED = STATUS + b"Content-Type: text/plain\r\nConnection: close\r\n\r\nhalf of"


@given("a server that closes its connection {place}")
def step_server(context, place):
    context.endpoint = RawEndpoint(lambda head: [SENT_BY_PLACE[place]])
    context.stack.push(context.endpoint.close)


def call_service(url):
    client = ServiceClient("endpoint", url, SystemClock(), list)
    return client.call(ServiceRequest("GET", "/lots", b"", {}, 5.0))


def read_store(url):
    return PlatformStore(url.removeprefix("http://")).endpoints()


def read_page(url):
    return HttpPool(url).call("GET", "/knowledge")


READER_BY_NAME = {"service": call_service, "store": read_store, "peer": read_page}


@then("a {reader:w} reports that it got no whole response")
def step_refused(context, reader):
    try:
        response = READER_BY_NAME[reader](context.endpoint.url)
    except (EndpointFailedError, PlatformUnavailableError, ExchangeFailedError):
        return
    raise AssertionError(f"taken for a whole response: {response}")


class UnframedService:
    """A service that answers one request, and ends with it or goes on."""

    def __init__(self, context, goes_on):
        self._goes_on = goes_on
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        StepThread(context, self._serve, unblock=self.close)

    def _serve(self):
        try:
            connection, _ = self._listener.accept()
        except OSError:
            return
        connection.recv(65536)
        connection.sendall(UNFRAMED)
        if not self._goes_on:
            self._listener.close()
        connection.close()

    def close(self):
        """Wake the thread, and close the listener."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


@given("a service that answers without a length and then {state}")
def step_unframed(context, state):
    context.service = UnframedService(context, state == "goes on")


@then("its response is {verdict:w}")
def step_verdict(context, verdict):
    try:
        response = call_service(context.service.url)
    except EndpointFailedError:
        assert verdict == "refused"
        return
    assert verdict == "whole" and response.body == b"half of", response
