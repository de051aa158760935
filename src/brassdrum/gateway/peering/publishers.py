"""Keep which daemons tell the work of a group, how new their word is and who is silent."""

from __future__ import annotations

from dataclasses import dataclass

from brassdrum.gateway.following.suspicion import FailureNotice, unexpired_notices
from brassdrum.gateway.peering.peer_messages import Digest, Sender

__all__ = ["Publishers", "Taken"]


@dataclass(frozen=True, slots=True)
class Taken:
    """Say what a digest is: ``first`` of its publisher, or of an incarnation that ``began``."""

    first: bool
    began: bool


@dataclass(slots=True)
class _Publisher:
    sender: Sender
    daemons: int
    failing: tuple[FailureNotice, ...]
    heard: float


class Publishers:
    """Order digests by publisher; earlier incarnations and overtaken ones count no more."""

    def __init__(self) -> None:
        self._publisher_by_host: dict[str, _Publisher] = {}

    @property
    def hosts(self) -> list[str]:
        """Return the hosts of live publishers."""
        return list(self._publisher_by_host)

    @property
    def daemons(self) -> int:
        """Return how many live daemons all groups together have."""
        return sum(each.daemons for each in self._publisher_by_host.values())

    def take(self, digest: Digest, now: float) -> Taken | None:
        """Note a digest; return None for one that is no news."""
        sender = digest.sender
        host = sender.address.host
        known = self._publisher_by_host.get(host)
        if known is not None:
            earlier = (known.sender.incarnation, known.sender.sequence)
            if (sender.incarnation, sender.sequence) <= earlier:
                return None
        began = known is not None and sender.incarnation > known.sender.incarnation
        self._publisher_by_host[host] = _Publisher(
            sender, digest.daemons, digest.belief.failing, now
        )
        return Taken(known is None, began)

    def failing(self, now: float) -> list[FailureNotice]:
        """Return which endpoints the daemons of other groups avoid for what they met."""
        others = self._publisher_by_host.values()
        return [
            word for each in others for word in unexpired_notices(each.failing, now - each.heard)
        ]

    def name(self, host: str) -> str | None:
        """Return the name of the publisher on a host."""
        known = self._publisher_by_host.get(host)
        return None if known is None else known.sender.name

    def zones(self) -> set[str]:
        """Return the zones that a publisher speaks for."""
        return {each.sender.address.zone for each in self._publisher_by_host.values()}

    def before(self, name: str) -> int:
        """Return how many live publishers come before a daemon by name."""
        return sum(
            1
            for each in self._publisher_by_host.values()
            if each.sender.name < name and not each.sender.leaving
        )

    def live(self) -> int:
        """Return the number of publishers that do not leave."""
        return sum(1 for each in self._publisher_by_host.values() if not each.sender.leaving)

    def forget(self, host: str) -> Sender | None:
        """Drop a publisher and return who it was."""
        known = self._publisher_by_host.pop(host, None)
        return None if known is None else known.sender

    def drop_silent(self, now: float, silence: float) -> list[Sender]:
        """Drop and return publishers that were silent for a number of seconds."""
        silent = [h for h, each in self._publisher_by_host.items() if now - each.heard > silence]
        return [self._publisher_by_host.pop(host).sender for host in silent]
