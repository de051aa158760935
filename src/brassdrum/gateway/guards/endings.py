"""Find out whether an endpoint's process has ended when an answer of it breaks off."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass

from brassdrum.gateway.model import EndpointEntry
from brassdrum.gateway.net.loop import EventLoop, Timer
from brassdrum.gateway.net.transport import Transport
from brassdrum.outcomes.charging import SOON_SECONDS

__all__ = ["EndingChecks", "LostRequest", "Witness"]

# A host without the process refuses a connection within a round trip, 1 to 5 ms between zones; one
# that says nothing for this long has lost power or is cut off, which is no proof of an ending.
_CHECK_SECONDS = 0.3
# The streams of one endpoint break within milliseconds of each other; one check serves them all.
_ENDED_KEPT_SECONDS = 2.0
_MOST_ENDED = 64
# A request that is sent in the moment of an end meets a kept connection whose end is not read yet;
# it breaks within a way to the endpoint and back, 1 to 3 ms.
_LEAST_HELD_SECONDS = 0.005


@dataclass(frozen=True, slots=True)
class LostRequest:
    """Name a request whose answer broke off, and when it was sent.

    ``reached`` says that the endpoint is proven to have lived then: it took a new connection, or
    began to answer.
    """

    request: str
    content: str
    began: bool
    reached: bool
    sent_at: float


@dataclass(frozen=True, slots=True)
class Witness:
    """Name a request that an endpoint had when its answer broke; ``began`` if it had begun.

    ``lived`` says that the endpoint is known to have lived when the request was sent, ``soon`` that
    it ended within a moment after that.
    """

    request: str
    content: str
    began: bool
    lived: bool
    soon: bool = False


class EndingChecks:
    """Open one connection to an endpoint whose answer broke: a refusal proves that it has ended."""

    def __init__(
        self, loop: EventLoop, on_ended: Callable[[EndpointEntry, list[Witness]], None]
    ) -> None:
        self._loop = loop
        self._on_ended = on_ended
        self._witnesses_by_endpoint: dict[str, list[Witness]] = {}
        self._broke_at_by_endpoint: dict[str, float] = {}
        self._ended_at_by_endpoint: dict[str, float] = {}

    def answer_broke(self, entry: EndpointEntry, request: LostRequest) -> None:
        """Take that the answer to a request broke off without the endpoint saying why."""
        broke_at = self._first_sign(entry.id)
        held = broke_at - request.sent_at
        lived = request.reached or held >= _LEAST_HELD_SECONDS
        witness = Witness(
            request.request, request.content, request.began, lived, held < SOON_SECONDS
        )
        ended_at = self._ended_at_by_endpoint.get(entry.id)
        if ended_at is not None and self._loop.now() - ended_at < _ENDED_KEPT_SECONDS:
            self._on_ended(entry, [witness])
            return
        witnesses = self._witnesses_by_endpoint.get(entry.id)
        if witnesses is not None:
            witnesses.append(witness)
            return
        self._witnesses_by_endpoint[entry.id] = [witness]
        _Check(self._loop, entry.address, lambda refused: self._checked(entry, refused))

    def _first_sign(self, endpoint: str) -> float:
        """Return when the first answer of the endpoint broke in this moment."""
        now = self._loop.now()
        broke_at = self._broke_at_by_endpoint.get(endpoint)
        if broke_at is not None and now - broke_at < _ENDED_KEPT_SECONDS:
            return broke_at
        self._broke_at_by_endpoint[endpoint] = now
        while len(self._broke_at_by_endpoint) > _MOST_ENDED:
            del self._broke_at_by_endpoint[next(iter(self._broke_at_by_endpoint))]
        return now

    def _checked(self, entry: EndpointEntry, refused: bool) -> None:
        witnesses = self._witnesses_by_endpoint.pop(entry.id)
        if not refused:
            return
        self._ended_at_by_endpoint[entry.id] = self._loop.now()
        while len(self._ended_at_by_endpoint) > _MOST_ENDED:
            del self._ended_at_by_endpoint[next(iter(self._ended_at_by_endpoint))]
        self._on_ended(entry, witnesses)


class _Check:
    """Open a connection, say whether it was refused, and close it."""

    def __init__(self, loop: EventLoop, address: str, done: Callable[[bool], None]) -> None:
        self._done: Callable[[bool], None] | None = done
        self._transport: Transport | None = None
        self._timer: Timer | None = None
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        code = sock.connect_ex((host, int(port)))
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            loop.post(lambda: self._finish(code == errno.ECONNREFUSED))
            return
        self._timer = loop.call_later(_CHECK_SECONDS, lambda: self._finish(False))
        self._transport = Transport(loop, sock, self, connecting=True)

    def connection_made(self) -> None:
        """Learn that the endpoint takes connections."""
        self._finish(False)

    def data_received(self, data: bytes) -> None:
        """Take bytes that nobody asked for: the endpoint lives."""
        self._finish(False)

    def connection_lost(self, error: OSError) -> None:
        """Learn that there is no connection, and why."""
        self._finish(error.errno == errno.ECONNREFUSED)

    def _finish(self, refused: bool) -> None:
        done, self._done = self._done, None
        if done is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
        done(refused)
