"""Two-level forwarding tree for messages to all members of a group."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

__all__ = ["FanoutBranch", "fanout_branches"]

# Groups of up to this many members need no forwarding.
_MAX_DIRECT_HOSTS = 6


@dataclass(frozen=True, slots=True)
class FanoutBranch:
    """A host to send to, and the hosts to which it forwards the message."""

    host: str
    forward_to: tuple[str, ...] = ()


def fanout_branches(hosts: Sequence[str], rng: random.Random) -> Iterator[FanoutBranch]:
    """Yield branches that reach each host once with about sqrt(n) copies per sender.

    Branches are random on each call, so that a dead forwarder does not cut off the same hosts
    every time.
    """
    if len(hosts) <= _MAX_DIRECT_HOSTS:
        yield from (FanoutBranch(host) for host in hosts)
        return
    shuffled = rng.sample(hosts, len(hosts))
    width = math.ceil(math.sqrt(len(shuffled)))
    for start in range(width):
        first, *forward_to = shuffled[start::width]
        yield FanoutBranch(first, tuple(forward_to))
