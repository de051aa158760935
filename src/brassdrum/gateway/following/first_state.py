"""Obtain the first state of a starting daemon: from a peer if one answers, or from the store.

Where many daemons start at once, few of them read the store.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from concurrent.futures import Future
from typing import Protocol

from brassdrum.gateway.following.start_page import START_PATH, StartPage
from brassdrum.gateway.model import DaemonAddress
from brassdrum.gateway.net.loop import Timers

__all__ = ["CopyLimit", "FirstState", "StartPeers", "retry_seconds"]

# How long the first read waits for a peer to answer; a live one does so in 2 ms.
_SEED_SECONDS = 0.03
# How long it waits where a peer has answered that has no state yet either.
_PEER_SECONDS = 0.25
_STEP_SECONDS = 0.01
# Interval between questions to peers without a state.
_ASK_SECONDS = 0.03
# Seeds that start a little later are found by further probes; heartbeats are 0.8 s apart.
_PROBE_SECONDS = 0.05
# A peer whose last read failed this recently shows that the store is unavailable.
_RECENT_FAILURE_SECONDS = 2.0
# Starting daemons that copy from one peer in a second: 40 copies of 6 KB take 0.2 s at 10 Mbit/s.
_MAX_COPIES_PER_SECOND = 40
# Delay after a failed read for the first daemon in order; failed calls are billed too.
_READ_RETRY_SECONDS = 0.35
# Further delay for each daemon before this one in order. The others listen to the first one, and
# try themselves in case only its way to the store is cut off.
_RETRY_SECONDS_PER_RANK = 2.0
_MAX_RETRY_SECONDS = 30.0


def retry_seconds(rank: int) -> float:
    """Return the delay after a failed read of the daemon at a position in the order of reads."""
    return min(_MAX_RETRY_SECONDS, _READ_RETRY_SECONDS + _RETRY_SECONDS_PER_RANK * rank)


class StartPeers(Protocol):
    """The peers of a starting daemon."""

    @property
    def own_host(self) -> str:
        """Return the host of this daemon."""

    @property
    def rank(self) -> int:
        """Return the position of this daemon in the order of reads."""

    def probe_silent_seeds(self) -> None:
        """Probe the seeds that have not replied yet."""

    def forward_targets(self) -> list[DaemonAddress]:
        """Return the daemons that were heard and are not about to stop."""


Submit = Callable[[Callable[[], object], Callable[[Future], None]], None]


class FirstState:
    """Decide when a starting daemon reads the store, and ask peers meanwhile.

    ``fetch`` blocks and returns a page of a host. ``pull`` copies the state of a host, given when
    it was read and how often. ``is_urgent`` tells whether requests wait for the state.
    """

    def __init__(
        self,
        loop: Timers,
        peers: StartPeers,
        rng: random.Random,
        submit: Submit,
        fetch: Callable[[str, str], bytes],
        pull: Callable[[str, float, int], None],
        is_urgent: Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._random = rng
        self._submit = submit
        self._fetch = fetch
        self._pull = pull
        self._is_urgent = is_urgent
        self._began_at = loop.now()
        self._asking = False
        self._questions = 0
        self._busy_peers = 0
        self._ask_not_before = 0.0
        self._probe_not_before = 0.0
        self._peers_cannot_help = False
        self._read_not_before = 0.0
        self._done = False

    def start(self) -> None:
        """Begin to ask peers."""
        self._began_at = self._loop.now()
        self._step()

    def finish(self) -> None:
        """Stop asking, since a state is known."""
        self._done = True

    def may_read(self) -> bool:
        """Return whether the store may be read for the first time now."""
        now = self._loop.now()
        if self._done:
            return True
        if now < self._read_not_before:
            return False
        waited = now - self._began_at
        if self._peers_cannot_help or self._is_urgent() or waited >= _PEER_SECONDS:
            return True
        # Of daemons without a state that hear each other, the first by host reads.
        hosts = [each.host for each in self._peers.forward_targets()]
        return waited >= _SEED_SECONDS and all(self._peers.own_host < host for host in hosts)

    def _step(self) -> None:
        if self._done:
            return
        now = self._loop.now()
        if now >= self._probe_not_before and now - self._began_at < _PEER_SECONDS:
            self._probe_not_before = now + _PROBE_SECONDS
            self._peers.probe_silent_seeds()
        targets = self._peers.forward_targets()
        if targets and not self._asking and now >= self._ask_not_before:
            host = self._choose(targets)
            self._asking = True
            self._submit(
                lambda: StartPage.decode(self._fetch(host, START_PATH)),
                lambda future: self._asked(host, now, future),
            )
        self._loop.call_later(_STEP_SECONDS, self._step)

    def _choose(self, targets: list[DaemonAddress]) -> str:
        """Return the first peer by host, which reads the store, and a random one by turns."""
        self._questions += 1
        if self._questions % 2:
            return min(each.host for each in targets)
        return self._random.choice(targets).host

    def _asked(self, host: str, asked_at: float, future: Future[StartPage]) -> None:
        self._asking = False
        now = self._loop.now()
        self._ask_not_before = now + _ASK_SECONDS
        if self._done:
            return
        if future.exception() is not None:
            # A daemon of the previous release has no such page; the store tells more.
            self._peers_cannot_help = True
            return
        page: StartPage = future.result()
        if page.busy:
            self._peers_cannot_help = self._peers_cannot_help or self._busy_peers > 0
            self._busy_peers += 1
            # Another peer is asked at once.
            self._ask_not_before = now
        elif page.age is not None:
            # The page may have been on the way for long; it was written after the question.
            self._pull(host, asked_at - page.age, page.reads)
        elif page.failed_ago is not None and page.failed_ago < _RECENT_FAILURE_SECONDS:
            # Until one of them has read the store, the others ask it.
            self._ask_not_before = now + _READ_RETRY_SECONDS
            self._read_not_before = now + retry_seconds(self._peers.rank) - page.failed_ago


class CopyLimit:
    """Bound the daemons that copy the state of this one, so that they don't saturate its link."""

    def __init__(self) -> None:
        self._second = -1
        self._copies = 0

    def admit(self, now: float) -> bool:
        """Return whether one more daemon may copy at this time."""
        if int(now) != self._second:
            self._second, self._copies = int(now), 0
        self._copies += 1
        return self._copies <= _MAX_COPIES_PER_SECOND
