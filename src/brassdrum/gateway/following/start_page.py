"""The pages from which starting daemons read what others know; performs no I/O."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass

from brassdrum.gateway.model import DaemonAddress

__all__ = ["DAEMONS_PATH", "START_PATH", "DaemonsPage", "StartPage"]

START_PATH = "/start"
DAEMONS_PATH = "/daemons"


@dataclass(frozen=True, slots=True)
class StartPage:
    """What a daemon knows of the store.

    ``age`` is that of its state in seconds, None without one; ``failed_ago`` is the time since its
    last read that failed, None after one that did not; ``busy`` asks to copy from another.
    """

    age: float | None
    reads: int
    failed_ago: float | None = None
    busy: bool = False

    def encode(self) -> bytes:
        """Return the page."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, data: bytes) -> StartPage:
        """Decode a page, or raise ``ValueError``."""
        content = _object(data)
        age, failed_ago = content.get("age"), content.get("failed_ago")
        try:
            return cls(
                None if age is None else max(0.0, float(age)),
                int(content.get("reads", 0)),
                None if failed_ago is None else max(0.0, float(failed_ago)),
                bool(content.get("busy")),
            )
        except TypeError as error:
            raise ValueError(f"cannot decode the peer's start page: {error}") from error


@dataclass(frozen=True, slots=True)
class DaemonsPage:
    """The store's list of daemons as a daemon last read it; ``age`` is None before that."""

    age: float | None
    era: int | None
    addresses_by_name: dict[str, DaemonAddress]

    def encode(self) -> bytes:
        """Return the page."""
        addresses = {
            name: address.encode().decode() for name, address in self.addresses_by_name.items()
        }
        return json.dumps({"age": self.age, "era": self.era, "daemons": addresses}).encode()

    @classmethod
    def decode(cls, data: bytes) -> DaemonsPage:
        """Decode a page, or raise ``ValueError``."""
        content = _object(data)
        age, era = content.get("age"), content.get("era")
        try:
            return cls(
                None if age is None else float(age),
                None if era is None else int(era),
                {
                    name: DaemonAddress.decode(address.encode())
                    for name, address in content["daemons"].items()
                },
            )
        except (AttributeError, KeyError, TypeError) as error:
            raise ValueError(f"cannot decode the peer's list of daemons: {error}") from error


def _object(data: bytes) -> dict:
    content = json.loads(data)
    if not isinstance(content, dict):
        raise ValueError("the peer's page is not a JSON object")
    return content
