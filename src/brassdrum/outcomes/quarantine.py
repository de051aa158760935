"""Find requests that end the endpoints that run them; pure decisions, the time is an argument.

What each content was present at is added up over all daemons; ``charging`` says which contents are
the cause. This keeps what is known within bounds, tells it, and says what follows for a request.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum, auto

from brassdrum.outcomes.charging import (
    PROOF_ENDS,
    SOON_SECONDS,
    SUSPECT_WEIGHT,
    Case,
    End,
    charge,
)

__all__ = [
    "QUARANTINE_SECONDS",
    "SETTLE_SECONDS",
    "EndingWord",
    "Quarantine",
    "SeenEnd",
    "Standing",
]

# What other daemons saw at the same end is here after two pauses between datagrams (0.08 s at
# most) and a round trip; a content is charged after all were heard.
SETTLE_SECONDS = 0.25
# A request stays quarantined this long after its last end; callers' series last for seconds to
# minutes. Then one is sent alone again: engines may have been mended.
QUARANTINE_SECONDS = 600.0
# Contents whose last whole answer is remembered, 0.1 MB; those that many ask for are always among
# the last.
_MOST_SERVED = 1024
# What was seen of a content is forgotten after this, so that a mended engine starts from nothing.
_EVIDENCE_SECONDS = 2 * QUARANTINE_SECONDS
# A whole answer is remembered for longer than late words of earlier ends are under way.
_SERVED_KEPT_SECONDS = 10.0
# News are told for several heartbeats, the longest of which is 0.8 s: one lost datagram is borne.
_TOLD_SECONDS = 2.5
# The time on the way of a word; a difference below it is no news.
_SAME_SECONDS = 0.5
# Bounds of what is kept and told: 256 contents of 12 ends take 0.6 MB, 24 told ones of three ends
# 0.9 KB. A flood of new contents is cut to a few less at once.
_MOST_CONTENTS = 256
_CONTENTS_AFTER_FLOOD = 224
# Old ends are looked for this often; a minute's delay would do no harm.
_FORGET_EACH_SECONDS = 1.0
_MOST_ENDS = 12
# Beyond this many contents the ends are charged anew only after this time for each, so that a flood
# of ends leaves the processor to requests; guilty contents are found that much later.
_CHARGED_AT_ONCE = 64
_CHARGE_SECONDS_EACH = 0.0001
_MOST_TOLD = 24


class Standing(Enum):
    """Say how a request is treated for what became of endpoints under it."""

    SOUND = auto()
    SUSPECT = auto()
    UNDECIDED = auto()
    QUARANTINED = auto()


@dataclass(frozen=True, slots=True)
class SeenEnd:
    """Say that an endpoint, named by its key, ended ``age`` seconds ago.

    ``soon`` says that a request with the content was sent there within half a second before it,
    ``lived`` that the endpoint is known to have lived then.
    """

    endpoint: int
    age: float
    soon: bool = False
    lived: bool = True


@dataclass(frozen=True, slots=True)
class EndingWord:
    """Tell at which ends a content was; ``served_age`` is that of its last whole answer."""

    content: str
    ends: tuple[SeenEnd, ...]
    served_age: float | None = None


@dataclass(slots=True)
class _Record(Case):
    changed_at: float = -math.inf

    @property
    def last_end(self) -> float:
        return max((end.at for end in self.end_by_endpoint.values()), default=-math.inf)

    @property
    def worth(self) -> tuple[bool, int, float]:
        """Return what sorts the records that are forgotten last, last."""
        return self.charged, len(self.end_by_endpoint), self.last_end

    def proof_settles_in(self, now: float) -> float:
        """Return after how many seconds a content that is charged counts as quarantined."""
        return max(0.0, self.proven_at + SETTLE_SECONDS - now)

    def others_settle_in(self, now: float, own_ends: Collection[int]) -> float:
        """Return for how many seconds ends under other requests of the content hold one back.

        Whoever saw the first end sends again at once. The others wait for what becomes of that,
        or each of them would end one endpoint more.
        """
        if self.trusted:
            return 0.0
        others = (
            end.at
            for endpoint, end in self.end_by_endpoint.items()
            if end.soon and end.lived and endpoint not in own_ends
        )
        return max(0.0, max(others, default=-math.inf) + SOON_SECONDS - now)

    def drop_until(self, time: float) -> bool:
        """Forget the ends up to a time; return whether there were any."""
        old = [each for each, end in self.end_by_endpoint.items() if end.at <= time]
        for endpoint in old:
            self.forget(endpoint)
        return bool(old)


class Quarantine:
    """Keep by content at which ends it was, and decide which contents are sent on no more."""

    def __init__(self, told_seconds: float = _TOLD_SECONDS) -> None:
        self._told_seconds = told_seconds
        self._by_content: dict[str, _Record] = {}
        self._served_at_by_content: OrderedDict[str, float] = OrderedDict()
        self._forgot_at = -math.inf
        self._stale = False
        self._charge_not_before = -math.inf

    def standing(
        self, content: str, now: float, own_ends: Collection[int] = frozenset()
    ) -> Standing:
        """Return how a request with a content is treated now.

        ``own_ends`` are the keys of the endpoints that this very request was sent to.
        """
        record = self._record(content, now)
        if record is None:
            return Standing.SOUND
        if self.seconds_left(content, now) > 0:
            return Standing.QUARANTINED
        if self.settles_in(content, now, own_ends) > 0:
            return Standing.UNDECIDED
        if record.charged or record.weight(self._unexplained(content)) >= SUSPECT_WEIGHT:
            return Standing.SUSPECT
        return Standing.SOUND

    def settles_in(
        self, content: str, now: float, own_ends: Collection[int] = frozenset()
    ) -> float:
        """Return after how many seconds it is known how a request with a content is treated.

        ``own_ends`` as for ``standing``.
        """
        record = self._record(content, now)
        if record is None:
            return 0.0
        if record.charged:
            return record.proof_settles_in(now)
        return record.others_settle_in(now, own_ends)

    def seconds_left(self, content: str, now: float) -> float:
        """Return for how long a content stays quarantined, 0 if it is not."""
        record = self._record(content, now)
        if record is None or not record.charged or record.proof_settles_in(now) > 0:
            return 0.0
        return max(0.0, record.last_end + QUARANTINE_SECONDS - now)

    def in_force(self, now: float) -> list[str]:
        """Return the contents that are quarantined."""
        return [content for content in self._by_content if self.seconds_left(content, now) > 0]

    def contents(self) -> list[str]:
        """Return the contents of which anything is known."""
        return list(self._by_content)

    def knows(self, content: str) -> bool:
        """Return whether anything is known of a content."""
        return content in self._by_content

    def ended(
        self, content: str, endpoint: int, now: float, *, soon: bool = False, lived: bool = True
    ) -> None:
        """Note that an endpoint, named by a key of 4 bytes, ended while the content was there.

        ``soon`` and ``lived`` as in ``SeenEnd``.
        """
        if self._note(content, SeenEnd(endpoint, 0.0, soon, lived), now):
            self._settle(now)

    def served(self, content: str, now: float) -> bool:
        """Note a whole answer, which clears a content; return whether anything was known of it."""
        self._served_at_by_content[content] = now
        self._served_at_by_content.move_to_end(content)
        if len(self._served_at_by_content) > _MOST_SERVED:
            self._served_at_by_content.popitem(last=False)
        record = self._by_content.get(content)
        if record is None:
            return False
        self._clear(record, now, now)
        self._settle(now)
        return True

    def words(self, now: float) -> tuple[EndingWord, ...]:
        """Return what other daemons are told: what is new, and what is quarantined."""
        self._charge(now)
        if now - self._forgot_at > _FORGET_EACH_SECONDS:
            self._forget(now)
        told = []
        for content, record in self._by_content.items():
            fresh = now - record.changed_at < self._told_seconds
            if not fresh and not record.charged:
                continue
            told.append((not record.charged, -record.changed_at, content))
        return tuple(self.word(content, now) for _, _, content in sorted(told)[:_MOST_TOLD])

    def word(self, content: str, now: float) -> EndingWord:
        """Return what is known of one content."""
        record = self._by_content.get(content, _Record())
        ends = tuple(
            SeenEnd(endpoint, now - end.at, end.soon, end.lived)
            for endpoint, end in record.end_by_endpoint.items()
        )
        known = math.isfinite(record.served_at)
        return EndingWord(content, ends, now - record.served_at if known else None)

    def hear(self, words: Iterable[EndingWord], now: float) -> bool:
        """Take what another daemon, or the store, says; return whether anything was new."""
        news = False
        for word in words:
            served_at = -math.inf if word.served_age is None else now - word.served_age
            record = self._by_content.get(word.content)
            if record is not None and served_at > record.served_at + _SAME_SECONDS:
                self._clear(record, served_at, now)
                news = True
            for end in word.ends:
                if now - end.age > served_at:
                    news |= self._note(word.content, end, now, served_at)
        if news:
            self._settle(now)
        return news

    def _note(self, content: str, seen: SeenEnd, now: float, served_at: float = -math.inf) -> bool:
        """Take one end, and the last whole answer that is known; return whether it is new."""
        record = self._by_content.get(content)
        if record is None:
            own = self._served_at_by_content.get(content, -math.inf)
            record = _Record(served_at=max(own, served_at))
        ended_at = now - seen.age
        known = record.end_by_endpoint.get(seen.endpoint)
        if known is not None:
            return _merge(known, seen, ended_at)
        if ended_at <= record.served_at or ended_at <= now - _EVIDENCE_SECONDS:
            return False
        self._by_content[content] = record
        record.end_by_endpoint[seen.endpoint] = End(ended_at, seen.soon, seen.lived)
        record.changed_at = now
        while len(record.end_by_endpoint) > _MOST_ENDS:
            # The first ends say since when the proof stands; the last ones how long it holds.
            dropped = list(record.end_by_endpoint)[PROOF_ENDS]
            record.forget(dropped)
        return True

    def _clear(self, record: _Record, served_at: float, now: float) -> None:
        record.served_at = served_at
        record.drop_until(served_at)
        record.changed_at = now

    def _settle(self, now: float) -> None:
        """Keep within the bounds; the ends are charged anew when they are asked for."""
        if now - self._forgot_at > _FORGET_EACH_SECONDS:
            self._forget(now)
        if len(self._by_content) > _MOST_CONTENTS:
            self._charge(now)
            by_worth = sorted(self._by_content, key=lambda each: self._by_content[each].worth)
            # More than one goes at a time: to sort for each new one would take 0.5 ms in a flood.
            for content in by_worth[: len(by_worth) - _CONTENTS_AFTER_FLOOD]:
                del self._by_content[content]
        self._stale = True

    def _record(self, content: str, now: float) -> _Record | None:
        """Return what is known of a content, with the ends charged as of now."""
        record = self._by_content.get(content)
        if record is not None:
            self._charge(now)
        return record

    def _forget(self, now: float) -> None:
        self._forgot_at = now
        for content, record in list(self._by_content.items()):
            if record.drop_until(now - _EVIDENCE_SECONDS):
                self._stale = True
            if not record.end_by_endpoint and record.served_at < now - _SERVED_KEPT_SECONDS:
                del self._by_content[content]

    def _charge(self, now: float) -> None:
        """Charge the ends to the fewest contents that explain them, if anything is new.

        With 256 contents of 12 ends it takes 2.6 ms; a failure of many endpoints brings news by
        the hundred, which are charged together.
        """
        if self._stale and now >= self._charge_not_before:
            self._stale = False
            count = len(self._by_content)
            if count > _CHARGED_AT_ONCE:
                self._charge_not_before = now + _CHARGE_SECONDS_EACH * count
            charge(self._by_content)

    def _unexplained(self, content: str) -> set[int]:
        """Return the ends of a content that no other one is charged with."""
        ends = set(self._by_content[content].weight_by_endpoint)
        for other, record in self._by_content.items():
            if other != content and record.charged:
                ends -= record.end_by_endpoint.keys()
        return ends


def _merge(known: End, seen: SeenEnd, ended_at: float) -> bool:
    """Take what else is said of a known end; return whether that is new."""
    # Told ages round and lag: the earliest stays, or a word told to and fro grows younger.
    known.at = min(known.at, ended_at)
    news = (seen.soon and not known.soon) or (seen.lived and not known.lived)
    known.soon |= seen.soon
    known.lived |= seen.lived
    return news
