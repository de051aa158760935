"""Max-min fair shares of slots."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

__all__ = ["max_min_shares"]

Key = TypeVar("Key", bound=Hashable)


def max_min_shares(demand_by_key: Mapping[Key, int], slots: int) -> dict[Key, float]:
    """Return the share of each demand: nobody gets more than asked, and the rest is split evenly.

    The shares add up to the slots, or to the demand if that is less.
    """
    share_by_key: dict[Key, float] = {}
    left = float(slots)
    ranked = sorted(demand_by_key.items(), key=lambda item: item[1])
    for number, (key, demand) in enumerate(ranked):
        share_by_key[key] = min(float(demand), left / (len(ranked) - number))
        left -= share_by_key[key]
    return share_by_key
