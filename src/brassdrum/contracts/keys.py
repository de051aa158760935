"""Generate, hash and verify API keys."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass

from brassdrum.contracts.documents import ApiKey, Contract

__all__ = ["KeyIndex", "KeyOwner", "hash_key", "make_key", "parse_key_id"]

_KEY_PREFIX = "bd"


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """Organisation and id of a verified API key."""

    organisation: str
    key_id: str


def hash_key(secret: str, salt: str) -> str:
    """Return the salted hash of a key.

    Keys are random and long, so a slow password hash isn't needed.
    """
    return hashlib.sha256(f"{salt}:{secret}".encode()).hexdigest()


def make_key(key_id: str) -> tuple[str, ApiKey]:
    """Return a new random key and its hashed entry for the contract."""
    secret = f"{_KEY_PREFIX}_{key_id}_{secrets.token_urlsafe(24)}"
    salt = secrets.token_hex(16)
    return secret, ApiKey(id=key_id, salt=salt, hash=hash_key(secret, salt))


def parse_key_id(secret: str) -> str | None:
    """Return the key id embedded in a key, or None if the key is malformed."""
    parts = secret.split("_", 2)
    if len(parts) != 3 or parts[0] != _KEY_PREFIX:
        return None
    return parts[1]


class KeyIndex:
    """Index of the API keys of all contracts by key id."""

    def __init__(self, contracts: list[Contract]) -> None:
        self._by_id: dict[str, list[tuple[str, ApiKey]]] = {}
        for contract in contracts:
            for key in contract.keys:
                self._by_id.setdefault(key.id, []).append((contract.organisation, key))

    def find(self, secret: str) -> KeyOwner | None:
        """Return the owner of a key, comparing hashes in constant time."""
        found = None
        for organisation, key in self._by_id.get(parse_key_id(secret) or "", []):
            if hmac.compare_digest(hash_key(secret, key.salt), key.hash):
                found = KeyOwner(organisation, key.id)
        return found
