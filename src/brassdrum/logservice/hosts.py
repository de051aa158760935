"""Client of the platform's list of live and leaving hosts, which may be out of date."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from brassdrum.errors import PlatformUnavailableError
from brassdrum.http_pool import ConnectFailedError, ExchangeFailedError, HttpPool

__all__ = ["Host", "HostList", "HttpHostList"]


@dataclass(frozen=True, slots=True)
class Host:
    """An entry of the host list; the addresses are set for daemons only."""

    name: str
    role: str
    leaving: bool
    http_address: str = ""
    peer_address: str = ""


class HostList(Protocol):
    """Source of the host list."""

    def read(self) -> list[Host]:
        """Return all hosts; raise ``PlatformUnavailableError`` if the list cannot be read."""


class HttpHostList:
    """Reads the host list over HTTP."""

    def __init__(
        self, url: str, timeout: float, on_call: Callable[[int], None] | None = None
    ) -> None:
        self._pool = HttpPool(url, timeout, on_call)

    def read(self) -> list[Host]:
        """Return all hosts; raise ``PlatformUnavailableError`` if the list cannot be read."""
        try:
            status, body = self._pool.call("GET", "/v1/hosts")
        except (ConnectFailedError, ExchangeFailedError) as error:
            raise PlatformUnavailableError(f"Request for the host list failed: {error}.") from error
        if status != 200:
            raise PlatformUnavailableError(f"The host list service returned status {status}.")
        try:
            return [_parse_host(item) for item in json.loads(body)["hosts"]]
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformUnavailableError(
                f"The host list response is malformed: {error}."
            ) from error


def _parse_host(item: dict[str, str]) -> Host:
    return Host(
        name=str(item["name"]),
        role=str(item["role"]),
        leaving=item.get("state") == "leaving",
        http_address=str(item.get("http_address", "")),
        peer_address=str(item.get("peer_address", "")),
    )
