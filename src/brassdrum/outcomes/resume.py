"""Signed tokens that let any daemon resume a stream."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, ValidationError

from brassdrum.errors import ResumeRefusedError
from brassdrum.settings import ResumeKey

__all__ = ["ResumeTicket", "ResumeTokens"]


class ResumeTicket(BaseModel):
    """Payload of a resume token; ``deadline`` is in seconds since the epoch."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    organisation: str
    request: str
    endpoint: str
    stream: str
    model: str
    chat: bool
    deadline: float


@dataclass(frozen=True, slots=True)
class _TokenParts:
    key_id: str
    payload: bytes
    signature: bytes


class ResumeTokens:
    """Sign and verify tokens; the first key signs and all keys verify, to allow key rotation."""

    def __init__(self, keys: Sequence[ResumeKey]) -> None:
        self._signing_key = keys[0]
        self._key_by_id = {key.id: key for key in keys}

    def sign(self, ticket: ResumeTicket) -> str:
        """Return the signed token for a ticket."""
        payload = base64.urlsafe_b64encode(ticket.model_dump_json().encode()).rstrip(b"=")
        signature = _signature(self._signing_key, payload)
        return f"{self._signing_key.id}.{payload.decode()}.{signature.hex()}"

    def verify(self, token: str, organisation: str, now: float) -> ResumeTicket:
        """Return the ticket, or raise ``ResumeRefusedError``; ``now`` is in epoch seconds."""
        parts = _parse_token(token)
        key = self._key_by_id.get(parts.key_id)
        if key is None or not hmac.compare_digest(_signature(key, parts.payload), parts.signature):
            raise ResumeRefusedError("The resume token has an unknown key or an invalid signature.")
        padding = b"=" * (-len(parts.payload) % 4)
        try:
            ticket = ResumeTicket.model_validate_json(
                base64.urlsafe_b64decode(parts.payload + padding)
            )
        except (ValidationError, binascii.Error) as error:
            raise ResumeRefusedError("The resume token has an invalid payload.") from error
        if ticket.organisation != organisation:
            raise ResumeRefusedError("The resume token belongs to another organisation.")
        if ticket.deadline <= now:
            raise ResumeRefusedError("The deadline of the request has passed.")
        return ticket


def _signature(key: ResumeKey, payload: bytes) -> bytes:
    return hmac.new(key.secret.encode(), payload, hashlib.sha256).digest()


def _parse_token(token: str) -> _TokenParts:
    fields = token.split(".")
    try:
        key_id, payload, signature = fields
        return _TokenParts(key_id, payload.encode("ascii"), bytes.fromhex(signature))
    except ValueError as error:
        raise ResumeRefusedError("The resume token is malformed.") from error
