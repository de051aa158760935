"""Keep the record of this daemon in the store's list, and find others by that list.

The list is read only where no peer answers, and a record that is there already is not written
again: the aggregator of the zone tells its members which records the store has.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from concurrent.futures import Future
from typing import Protocol

from brassdrum.errors import BrassdrumError
from brassdrum.gateway.following.start_page import DAEMONS_PATH, DaemonsPage
from brassdrum.gateway.model import ControlStore, DaemonAddress
from brassdrum.gateway.net.loop import Timers
from brassdrum.telemetry import log_events

__all__ = ["Registration", "RegistrationPeers"]

_logger = logging.getLogger(__name__)
# How long seeds and known peers have to answer before the store's list is read.
_SEED_SECONDS = 0.25
# When a daemon that has peers looks for its record: after the selection of the aggregator, which
# takes 0.5 s, and spread, so that one list serves many.
_LOOK_SECONDS = (0.75, 1.75)
# An older list of the aggregator is read again; it bounds the lists that are read to one each time.
_MAX_LIST_AGE_SECONDS = 10.0
_ASK_SECONDS = 0.5
_MAX_QUESTIONS = 4
# A list from before the start may show a record that another daemon of this name has replaced; by
# then it has been read again.
_SECOND_LOOK_SECONDS = 15.0
# Delay after a failed call; peers' lists carry the address meanwhile.
_RETRY_SECONDS = 2.0
# Mean delay before the record is looked for after the store was restored from a backup.
_RESTORED_SECONDS = 0.5


class RegistrationPeers(Protocol):
    """The peers of a daemon that registers."""

    @property
    def rank(self) -> int:
        """Return the position of this daemon in the order of reads."""

    @property
    def report_target(self) -> str | None:
        """Return the host of the aggregator, or None if this daemon is one."""

    def forward_targets(self) -> list[DaemonAddress]:
        """Return the daemons that were heard and are not about to stop."""

    def add_addresses(self, addresses: list[DaemonAddress]) -> None:
        """Add the addresses of daemons that registered in the store."""


Submit = Callable[[Callable[[], object], Callable[[Future], None]], None]


class Registration:
    """Register this daemon; ``store_failing`` tells whether the last read of the store failed."""

    def __init__(
        self,
        loop: Timers,
        store: ControlStore,
        name: str,
        address: DaemonAddress,
        rng: random.Random,
        submit: Submit,
        fetch: Callable[[str, str], bytes],
        store_failing: Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._store = store
        self._name = name
        self._address = address
        self._random = rng
        self._submit = submit
        self._fetch = fetch
        self._store_failing = store_failing
        self._peers: RegistrationPeers | None = None
        self._addresses_by_name: dict[str, DaemonAddress] = {}
        self._listed_at: float | None = None
        self._listed_era: int | None = None
        self._reading = False
        self._writing = False
        # Raised by each new search for the record, which ends earlier ones.
        self._search = 0

    def start(self, peers: RegistrationPeers, *, has_seeds: bool) -> None:
        """Find other daemons and register; without seeds, the store is asked at once."""
        self._peers = peers
        if has_seeds:
            self._loop.call_later(_SEED_SECONDS, self._seeds_had_time)
        else:
            self._read_list()

    def look_again(self) -> None:
        """Look for the record after the store was restored from a backup that may lack it."""
        self._listed_at = None
        delay = _RESTORED_SECONDS * self._random.uniform(0.6, 1.4)
        self._loop.call_later(delay, self._look)

    def page(self) -> bytes:
        """Return the list for peers; one that is too old is read again meanwhile."""
        age = None if self._listed_at is None else self._loop.now() - self._listed_at
        if (age is None or age > _MAX_LIST_AGE_SECONDS) and not self._store_failing():
            self._read_list()
        return DaemonsPage(age, self._listed_era, self._addresses_by_name).encode()

    def _seeds_had_time(self) -> None:
        assert self._peers is not None
        if self._peers.forward_targets():
            self._loop.call_later(self._random.uniform(*_LOOK_SECONDS), self._look)
        else:
            self._read_list()

    def _look(self) -> None:
        """Begin a new search for the own record."""
        self._search += 1
        self._ask(self._search, 1, second_look=True)

    def _ask(self, search: int, question: int, *, second_look: bool) -> None:
        assert self._peers is not None
        if search != self._search:
            return
        host = self._peers.report_target
        if host is None:
            self._read_list()
            return
        self._submit(
            lambda: DaemonsPage.decode(self._fetch(host, DAEMONS_PATH)),
            lambda future: self._asked(search, question, second_look, future),
        )

    def _asked(
        self, search: int, question: int, second_look: bool, future: Future[DaemonsPage]
    ) -> None:
        if search != self._search:
            return
        if future.exception() is not None:
            # The aggregator is of the previous release, or has just stopped.
            self._write()
            return
        page: DaemonsPage = future.result()
        era = self._store.era
        outdated = era is not None and (page.era is None or page.era < era)
        if page.age is None or page.age > _MAX_LIST_AGE_SECONDS or outdated:
            if question >= _MAX_QUESTIONS and not self._waits_for_store():
                self._write()
                return
            self._loop.call_later(
                _ASK_SECONDS if question < _MAX_QUESTIONS else _RETRY_SECONDS,
                lambda: self._ask(search, question + 1, second_look=second_look),
            )
            return
        if page.addresses_by_name.get(self._name) != self._address:
            self._write()
        elif second_look:
            self._loop.call_later(
                _SECOND_LOOK_SECONDS, lambda: self._ask(search, 1, second_look=False)
            )

    def _read_list(self) -> None:
        if not self._reading:
            self._reading = True
            self._request_list()

    def _request_list(self) -> None:
        # A list that was asked for before a restore is not one of the restored store.
        asked_at, era = self._loop.now(), self._store.era
        self._submit(self._store.daemons, lambda future: self._list_read(asked_at, era, future))

    def _list_read(
        self, asked_at: float, era: int | None, future: Future[dict[str, DaemonAddress]]
    ) -> None:
        if self._failed(future, self._request_list):
            return
        self._reading = False
        assert self._peers is not None
        self._addresses_by_name = dict(future.result())
        self._listed_at, self._listed_era = asked_at, era
        self._peers.add_addresses(list(self._addresses_by_name.values()))
        if self._addresses_by_name.get(self._name) != self._address:
            self._write()

    def _write(self) -> None:
        if not self._writing:
            self._writing = True
            self._request_write()

    def _request_write(self) -> None:
        self._submit(lambda: self._store.announce(self._name, self._address), self._written)

    def _written(self, future: Future[None]) -> None:
        if self._failed(future, self._request_write):
            return
        self._writing = False
        self._addresses_by_name[self._name] = self._address
        assert self._peers is not None
        if not self._peers.forward_targets():
            # Two daemons that read the list before either had written would not find each other.
            self._read_list()

    def _failed(self, future: Future, again: Callable[[], None]) -> bool:
        """Return whether a call has failed, and repeat it later in that case."""
        error = future.exception()
        if error is None:
            return False
        if not isinstance(error, BrassdrumError):
            raise error
        log_events.NOT_ANNOUNCED.write(_logger, error=error.message)
        self._loop.call_later(_RETRY_SECONDS, lambda: self._repeat(again))
        return True

    def _repeat(self, again: Callable[[], None]) -> None:
        """Repeat a call, unless another daemon is trying to reach the store."""
        if self._waits_for_store():
            self._loop.call_later(_RETRY_SECONDS, lambda: self._repeat(again))
            return
        again()

    def _waits_for_store(self) -> bool:
        """Return whether the store is away and another daemon tries to reach it."""
        assert self._peers is not None
        return self._store_failing() and self._peers.rank > 0
