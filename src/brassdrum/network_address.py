"""Check network addresses that other programs name; no side effects."""

from __future__ import annotations

import re
import socket

__all__ = ["is_host", "split_address"]

_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)
_MAX_PORT = 65535


def is_host(text: str) -> bool:
    """Return whether a text is an IPv4 address of four decimal octets."""
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True


def split_address(text: str) -> tuple[str, int]:
    """Return the host and port of an address of the form HOST:PORT.

    Raises ``ValueError`` unless the host is an IPv4 address and the port from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    if not is_host(host) or _PORT.fullmatch(port) is None or not 1 <= int(port) <= _MAX_PORT:
        raise ValueError(f"{text[:60]!r} is no IPv4 address with a port from 1 to {_MAX_PORT}")
    return host, int(port)
