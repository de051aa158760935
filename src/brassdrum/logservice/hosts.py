"""Read the platform's list of live and leaving hosts, which lags."""

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
    """Describe one host; daemons carry addresses, endpoints their name."""

    name: str
    role: str
    leaving: bool
    http_address: str = ""
    peer_address: str = ""


class HostList(Protocol):
    """List hosts."""

    def read(self) -> list[Host]:
        """Return all hosts, or raise ``PlatformUnavailableError``; a failure is no empty list."""


class HttpHostList:
    """Reach the host list by HTTP."""

    def __init__(
        self, url: str, timeout: float, on_call: Callable[[int], None] | None = None
    ) -> None:
        self._pool = HttpPool(url, timeout, on_call)

    def read(self) -> list[Host]:
        """Return all hosts, or raise ``PlatformUnavailableError``."""
        try:
            status, body = self._pool.call("GET", "/v1/hosts")
        except (ConnectFailedError, ExchangeFailedError) as error:
            raise PlatformUnavailableError(f"The host list did not answer: {error}.") from error
        if status != 200:
            raise PlatformUnavailableError(f"The host list answered with status {status}.")
        try:
            return [_parse(item) for item in json.loads(body)["hosts"]]
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformUnavailableError(f"The host list sent no list: {error}.") from error


def _parse(item: dict[str, str]) -> Host:
    return Host(
        name=str(item["name"]),
        role=str(item["role"]),
        leaving=item.get("state") == "leaving",
        http_address=str(item.get("http_address", "")),
        peer_address=str(item.get("peer_address", "")),
    )
