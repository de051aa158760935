"""Part the hosts of a group into branches, so that no daemon sends to all; pure decisions."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

__all__ = ["FanoutBranch", "fanout_branches"]

# Groups of up to this many other daemons are told directly.
_MAX_DIRECT_HOSTS = 6


@dataclass(frozen=True, slots=True)
class FanoutBranch:
    """Name a host to send to, and those that it sends on to."""

    host: str
    forward_to: tuple[str, ...] = ()


def fanout_branches(hosts: Sequence[str], rng: random.Random) -> Iterator[FanoutBranch]:
    """Return whom to send to, so that each host gets one copy and nobody sends many.

    With 38 hosts the sender and each branch send 6 or 7 copies in place of 38. Branches are drawn
    anew each time: one that is dead costs its hosts a single message.
    """
    if len(hosts) <= _MAX_DIRECT_HOSTS:
        yield from (FanoutBranch(host) for host in hosts)
        return
    shuffled = rng.sample(hosts, len(hosts))
    width = math.ceil(math.sqrt(len(shuffled)))
    for start in range(width):
        first, *onward = shuffled[start::width]
        yield FanoutBranch(first, tuple(onward))
