"""Say which process of this host a TCP connection belongs to."""

from __future__ import annotations

import contextlib
import os
import socket
import struct
import threading
import time
from collections.abc import Callable, Collection
from pathlib import Path

__all__ = ["ConnectionOwners", "addresses_of", "local_address", "peer_address"]

_TCP_TABLE = Path("/proc/net/tcp")
_ANSWER_BYTES = 4096
# Numbers and layouts of ``sock_diag(7)`` and ``netlink(7)``.
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_REQUEST = 1
_ANY_STATE = 0xFFFFFFFF
_NO_COOKIE = 0xFFFFFFFF
_HEADER = struct.Struct("=IHHII")
_INODE = struct.Struct("=I")
# Behind the header, four bytes, the two ends, and four numbers.
_INODE_OFFSET = _HEADER.size + 4 + 48 + 16


class ConnectionOwners:
    """Know which of some processes has a connection.

    Whoever asks while the open files are read waits for the next reading, which then serves all
    who wait: reading those of tens of processes takes many ms.
    """

    def __init__(self, processes: Callable[[], Collection[int]]) -> None:
        self._processes = processes
        self._lock = threading.Lock()
        self._read_at = float("-inf")
        self._process_by_link: dict[str, int] = {}

    def process_at_other_end(self, accepted: socket.socket) -> int | None:
        """Return which process has the other end of a connection, None if none has it."""
        link = _link_of_other_end(accepted)
        if not link:
            return None
        asked_at = time.monotonic()
        with self._lock:
            if self._read_at <= asked_at:
                self._read_at = time.monotonic()
                self._process_by_link = {
                    link: process for process in self._processes() for link in _links_of(process)
                }
            return self._process_by_link.get(link)


def addresses_of(process: int) -> set[str]:
    """Return the local addresses of a process's TCP connections, as the kernel writes them."""
    links = _links_of(process)
    rows = [line.split() for line in _TCP_TABLE.read_text().splitlines()[1:]]
    return {fields[1] for fields in rows if _link(fields) in links}


def _link_of_other_end(accepted: socket.socket) -> str:
    """Return what the other end of a connection is as an open file; empty if it has gone.

    Asks the kernel for this one connection, as ``sock_diag(7)`` says: the table of all of them
    takes many ms to read, in which no connection is accepted.
    """
    try:
        (host, port), (own_host, own_port) = accepted.getpeername(), accepted.getsockname()
    except OSError:
        return ""
    hosts = socket.inet_aton(host), socket.inet_aton(own_host)
    ends = struct.pack("!HH4s12x4s12x", port, own_port, *hosts)
    family = struct.pack("=BBxxI", socket.AF_INET, socket.IPPROTO_TCP, _ANY_STATE)
    question = family + ends + struct.pack("=III", 0, _NO_COOKIE, _NO_COOKIE)
    length = _HEADER.size + len(question)
    header = _HEADER.pack(length, _SOCK_DIAG_BY_FAMILY, _REQUEST, 0, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG) as kernel:
        kernel.send(header + question)
        answer = kernel.recv(_ANSWER_BYTES)
    kind = _HEADER.unpack_from(answer)[1]
    if kind != _SOCK_DIAG_BY_FAMILY:
        return ""
    return f"socket:[{_INODE.unpack_from(answer, _INODE_OFFSET)[0]}]"


def _links_of(process: int) -> set[str]:
    """Return what the open files of a process are; nothing if it has ended."""
    links = set()
    with contextlib.suppress(OSError):
        for each in Path(f"/proc/{process}/fd").iterdir():
            # A file may be closed while the others are read.
            with contextlib.suppress(OSError):
                links.add(os.readlink(each))
    return links


def _link(fields: list[str]) -> str:
    """Return what a row of the table of connections is as an open file."""
    return f"socket:[{fields[9]}]"


def local_address(connection: socket.socket) -> str:
    """Return the address of this end, as the kernel writes it."""
    return _address_text(connection.getsockname())


def peer_address(connection: socket.socket) -> str:
    """Return the address of the other end, as the kernel writes it; empty if it has gone."""
    try:
        return _address_text(connection.getpeername())
    except OSError:
        return ""


def _address_text(address: tuple[str, int]) -> str:
    host, port = address
    return f"{int.from_bytes(socket.inet_aton(host), 'little'):08X}:{port:04X}"
