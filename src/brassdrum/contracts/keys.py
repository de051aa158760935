"""Hash, make and check API keys."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass

from brassdrum.contracts.documents import ApiKey, Contract

__all__ = ["KeyIndex", "KeyOwner", "hash_key", "make_key", "split_key"]

_PREFIX = "bd"


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """Tell whose key a caller presented."""

    organisation: str
    key_id: str


def hash_key(secret: str, salt: str) -> str:
    """Return the salted hash of a key; keys are random, so one round suffices."""
    return hashlib.sha256(f"{salt}:{secret}".encode()).hexdigest()


def make_key(key_id: str) -> tuple[str, ApiKey]:
    """Return a new key to hand to the caller, and its form for the contract."""
    secret = f"{_PREFIX}_{key_id}_{secrets.token_urlsafe(24)}"
    salt = secrets.token_hex(16)
    return secret, ApiKey(id=key_id, salt=salt, hash=hash_key(secret, salt))


def split_key(secret: str) -> str | None:
    """Return the id inside a key, or None when it has none."""
    parts = secret.split("_", 2)
    if len(parts) != 3 or parts[0] != _PREFIX:
        return None
    return parts[1]


class KeyIndex:
    """Find the organisation of an API key."""

    def __init__(self, contracts: list[Contract]) -> None:
        self._by_id: dict[str, list[tuple[str, ApiKey]]] = {}
        for contract in contracts:
            for key in contract.keys:
                self._by_id.setdefault(key.id, []).append((contract.organisation, key))

    def find(self, secret: str) -> KeyOwner | None:
        """Return the owner of a key, comparing hashes in constant time."""
        found = None
        for organisation, key in self._by_id.get(split_key(secret) or "", []):
            if hmac.compare_digest(hash_key(secret, key.salt), key.hash):
                found = KeyOwner(organisation, key.id)
        return found
