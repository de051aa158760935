"""Find ports for processes that are started a moment later."""

from __future__ import annotations

import random
import socket

__all__ = ["free_port"]

# Below the range from which systems take the ports of outgoing connections, 32768 on: none of those
# takes a port between its choice and its use.
_FIRST_PORT = 15_000
_LAST_PORT = 32_000
_TRIES = 200
# A daemon that got one port for two of its listeners ended at its start: one of 50 soaks.
_given: set[int] = set()


def free_port() -> int:
    """Return a port that was free a moment ago, for streams and datagrams; no port twice.

    Raises ``OSError`` when all that were tried are taken.
    """
    # Processes that play the same seed side by side must not choose the same ports.
    rng = random.SystemRandom()
    for _ in range(_TRIES):
        port = rng.randrange(_FIRST_PORT, _LAST_PORT)
        if port not in _given and _is_free(port):
            _given.add(port)
            return port
    raise OSError(f"{_TRIES} ports between {_FIRST_PORT} and {_LAST_PORT} are taken; end others.")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("", port))
            except OSError:
                # Taken: another one is tried, and the last failure raises.
                return False
    return True
