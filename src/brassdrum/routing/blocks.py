"""Prefix hashes of prompt blocks, in the form that engines publish."""

from __future__ import annotations

import xxhash

__all__ = ["BLOCK_CHARACTERS", "block_hashes"]

BLOCK_CHARACTERS = 2048


def block_hashes(text: str) -> list[int]:
    """Return one hash per whole block, each over the text up to the end of that block."""
    hasher = xxhash.xxh3_64()
    hashes = []
    for start in range(0, len(text) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        hasher.update(text[start : start + BLOCK_CHARACTERS].encode("utf-8", "surrogatepass"))
        hashes.append(hasher.intdigest())
    return hashes
