"""What identifies a request beyond its attempt id, the same at any daemon."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

__all__ = [
    "ALL_CALLERS",
    "CALLER_BITS",
    "MAX_PARTS",
    "PromptPart",
    "RequestTraits",
    "caller_mask",
    "content_fingerprint",
    "prefix_parts",
    "prompt_parts",
]

_DIGEST_BYTES = 8  # negligible collision probability among a million contents
# Bits of a mask of callers: small in datagrams, and sets of callers are merged without a list.
CALLER_BITS = 16
ALL_CALLERS = (1 << CALLER_BITS) - 1
# Bound on the work for one request. Of more parts those with the lowest digests are taken, so that
# requests that share parts agree on which.
MAX_PARTS = 32
_MAX_NAME_LENGTH = 40


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; ``name`` is the caller's, ``digest`` identifies it for one model."""

    name: str
    digest: str

    @property
    def short_name(self) -> str:
        """Return the start of the name; callers choose names, and this bounds log lines."""
        return self.name[:_MAX_NAME_LENGTH]


@dataclass(frozen=True, slots=True)
class RequestTraits:
    """What a request may have in common with others: its whole content and parts of its prompt.

    ``content`` is a digest of 16 hex digits. ``caller`` is a mask with one bit that tells most
    callers apart, or all bits if the caller is unknown.
    """

    content: str
    parts: tuple[PromptPart, ...] = ()
    caller: int = ALL_CALLERS

    @property
    def digests(self) -> tuple[str, ...]:
        """Return the digests of the content and of the parts."""
        return (self.content, *(part.digest for part in self.parts))


def content_fingerprint(caller: str, *parts: bytes) -> str:
    """Return a digest of 16 hex digits of the caller and the method, path and body.

    The attempt id is left out, since it differs for each retry by the caller.
    """
    return _digest(caller.encode(), *parts)


def prompt_parts(model: str, names: Iterable[str]) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt for a model, in the order of their digests."""
    parts = {PromptPart(name, _digest(model.encode(), name.encode())) for name in names}
    return tuple(sorted(parts, key=lambda part: part.digest)[:MAX_PARTS])


def prefix_parts(model: str, block_hashes: Sequence[int]) -> tuple[PromptPart, ...]:
    """Return prefixes of a prompt for a model, given the hash of the text up to each block's end.

    Their lengths are powers of two, so that of a prefix that prompts share more than half is found.
    """
    lengths = [1 << bit for bit in range(len(block_hashes).bit_length())]
    names = {
        f"prefix-{length}-{block_hashes[length - 1]:016x}"
        for length in lengths
        if length <= len(block_hashes)
    }
    return prompt_parts(model, names)


def caller_mask(caller: str) -> int:
    """Return a mask with one bit set, by which most callers differ."""
    digest = hashlib.blake2b(caller.encode(), digest_size=1).digest()
    return 1 << digest[0] % CALLER_BITS


def _digest(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.hexdigest()
