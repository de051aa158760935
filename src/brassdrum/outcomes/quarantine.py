"""Find requests that end the endpoints that run them; pure decisions, the time is an argument.

An endpoint that ends takes all its requests with it, and only one of them may be the cause. What
each content was present at is added up over all daemons, and the ends are charged to the fewest
contents that explain them: the one with most ends first, then the one with most of what is left.
Where many endpoints end in one moment, only a content that was at half of them may be the cause.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

__all__ = [
    "QUARANTINE_SECONDS",
    "SETTLE_SECONDS",
    "EndingWord",
    "Quarantine",
    "SeenEnd",
    "Standing",
]

# The operator's contract takes three ends for proof; until then the request is sent on.
_PROOF_ENDS = 3
# From here on a request is sent alone where it can be: its end then costs nobody else a stream, and
# those who were beside it before are cleared.
_SUSPECT_ENDS = 2
# Two contents that were at the same ends are told apart by the next one; beyond this many both are
# charged. Streams are spread over a dozen engines: to be at five ends of another is one in 20,000.
_CERTAIN_ENDS = 5
# Endpoints that end within this of each other end in one moment: daemons see one failure within
# 0.02 s. From this many on a host, a rack or a network is the cause, unless a content was at half.
_MOMENT_SECONDS = 0.05
_MANY_ENDS = 3
# What other daemons saw at the same end is here after two pauses between datagrams (0.08 s at
# most) and a round trip; a content is charged after all were heard.
SETTLE_SECONDS = 0.25
# A request stays quarantined this long after its last end; callers' series last for seconds to
# minutes. Then one is sent alone again: engines may have been mended.
QUARANTINE_SECONDS = 600.0
# What was seen of a content is forgotten after this, so that a mended engine starts from nothing.
_EVIDENCE_SECONDS = 2 * QUARANTINE_SECONDS
# A whole answer is remembered for longer than late words of earlier ends are under way.
_SERVED_KEPT_SECONDS = 10.0
# News are told for several heartbeats, the longest of which is 0.8 s: one lost datagram is borne.
_TOLD_SECONDS = 2.5
# The time on the way of a word; a difference below it is no news.
_SAME_SECONDS = 0.5
# Bounds of what is kept and told: 256 contents of 8 ends take 0.4 MB, 24 told ones of three ends
# 0.8 KB. A flood of new contents is cut to a few less at once.
_MOST_CONTENTS = 256
_CONTENTS_AFTER_FLOOD = 224
# Old ends are looked for this often; a minute's delay would do no harm.
_FORGET_EACH_SECONDS = 1.0
_MOST_ENDS = 8
_MOST_TOLD = 24


class Standing(Enum):
    """Say how a request is treated for what became of endpoints under it."""

    SOUND = auto()
    SUSPECT = auto()
    UNDECIDED = auto()
    QUARANTINED = auto()


@dataclass(frozen=True, slots=True)
class SeenEnd:
    """Say that an endpoint, named by its key, ended ``age`` seconds ago."""

    endpoint: int
    age: float


@dataclass(frozen=True, slots=True)
class EndingWord:
    """Tell at which ends a content was; ``served_age`` is that of its last whole answer."""

    content: str
    ends: tuple[SeenEnd, ...]
    served_age: float | None = None


@dataclass(slots=True)
class _Record:
    ended_at_by_endpoint: dict[int, float] = field(default_factory=dict)
    served_at: float = -math.inf
    changed_at: float = -math.inf
    charged: bool = False
    counted: set[int] = field(default_factory=set)

    @property
    def last_end(self) -> float:
        return max(self.ended_at_by_endpoint.values(), default=-math.inf)

    @property
    def proven_at(self) -> float:
        """Return when the content was at enough ends, or infinity."""
        times = sorted(self.ended_at_by_endpoint[endpoint] for endpoint in self.counted)
        return times[_PROOF_ENDS - 1] if len(times) >= _PROOF_ENDS else math.inf

    @property
    def worth(self) -> tuple[bool, int, float]:
        """Return what sorts the records that are forgotten last, last."""
        return self.charged, len(self.ended_at_by_endpoint), self.last_end

    def drop_until(self, time: float) -> bool:
        """Forget the ends up to a time; return whether there were any."""
        old = [each for each, ended_at in self.ended_at_by_endpoint.items() if ended_at <= time]
        for endpoint in old:
            del self.ended_at_by_endpoint[endpoint]
            self.counted.discard(endpoint)
        return bool(old)


class Quarantine:
    """Keep by content at which ends it was, and decide which contents are sent on no more."""

    def __init__(self, told_seconds: float = _TOLD_SECONDS) -> None:
        self._told_seconds = told_seconds
        self._by_content: dict[str, _Record] = {}
        self._forgot_at = -math.inf
        self._stale = False

    def standing(self, content: str, now: float) -> Standing:
        """Return how a request with a content is treated now."""
        record = self._record(content)
        if record is None:
            return Standing.SOUND
        if self.seconds_left(content, now) > 0:
            return Standing.QUARANTINED
        if self.settles_in(content, now) > 0:
            return Standing.UNDECIDED
        if record.charged or len(self._unexplained(content)) >= _SUSPECT_ENDS:
            return Standing.SUSPECT
        return Standing.SOUND

    def settles_in(self, content: str, now: float) -> float:
        """Return after how many seconds it is decided whether a content is quarantined."""
        record = self._record(content)
        if record is None or not record.charged:
            return 0.0
        return max(0.0, record.proven_at + SETTLE_SECONDS - now)

    def seconds_left(self, content: str, now: float) -> float:
        """Return for how long a content stays quarantined, 0 if it is not."""
        record = self._record(content)
        if record is None or not record.charged or self.settles_in(content, now) > 0:
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

    def ended(self, content: str, endpoint: int, now: float) -> None:
        """Note that an endpoint, named by a key of 4 bytes, ended while the content was there."""
        if self._note(content, endpoint, now, now):
            self._settle(now)

    def served(self, content: str, now: float) -> bool:
        """Note a whole answer, which clears a content; return whether anything was known of it."""
        record = self._by_content.get(content)
        if record is None:
            return False
        self._clear(record, now, now)
        self._settle(now)
        return True

    def words(self, now: float) -> tuple[EndingWord, ...]:
        """Return what other daemons are told: what is new, and what is quarantined."""
        self._charge()
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
            SeenEnd(endpoint, now - at) for endpoint, at in record.ended_at_by_endpoint.items()
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
                    news |= self._note(word.content, end.endpoint, now - end.age, now)
        if news:
            self._settle(now)
        return news

    def _note(self, content: str, endpoint: int, ended_at: float, now: float) -> bool:
        """Take one end; return whether it is new."""
        record = self._by_content.get(content, _Record())
        known = record.ended_at_by_endpoint.get(endpoint)
        if known is not None:
            # Told ages round and lag: the earliest stays, or a word told to and fro grows younger.
            record.ended_at_by_endpoint[endpoint] = min(known, ended_at)
            return False
        if ended_at <= record.served_at or ended_at <= now - _EVIDENCE_SECONDS:
            return False
        self._by_content[content] = record
        record.ended_at_by_endpoint[endpoint] = ended_at
        record.changed_at = now
        while len(record.ended_at_by_endpoint) > _MOST_ENDS:
            # The first ends say since when the proof stands; the last ones how long it holds.
            dropped = list(record.ended_at_by_endpoint)[_PROOF_ENDS]
            del record.ended_at_by_endpoint[dropped]
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
            self._charge()
            by_worth = sorted(self._by_content, key=lambda each: self._by_content[each].worth)
            # More than one goes at a time: to sort for each new one would take 0.5 ms in a flood.
            for content in by_worth[: len(by_worth) - _CONTENTS_AFTER_FLOOD]:
                del self._by_content[content]
        self._stale = True

    def _record(self, content: str) -> _Record | None:
        """Return what is known of a content, with the ends charged as of now."""
        record = self._by_content.get(content)
        if record is not None:
            self._charge()
        return record

    def _forget(self, now: float) -> None:
        self._forgot_at = now
        for content, record in list(self._by_content.items()):
            if record.drop_until(now - _EVIDENCE_SECONDS):
                self._stale = True
            if not record.ended_at_by_endpoint and record.served_at < now - _SERVED_KEPT_SECONDS:
                del self._by_content[content]

    def _charge(self) -> None:
        """Charge the ends to the fewest contents that explain them, if anything is new.

        With 256 contents of 8 ends it takes some ms; a failure of many endpoints brings news by
        the hundred, which are charged together.
        """
        if not self._stale:
            return
        self._stale = False
        self._count()
        left = {}
        for content, record in self._by_content.items():
            record.charged = False
            if len(record.counted) >= _PROOF_ENDS:
                left[content] = set(record.counted)
        while True:
            most = max((len(ends) for ends in left.values()), default=0)
            if most < _PROOF_ENDS:
                return
            foremost = {content: ends for content, ends in left.items() if len(ends) == most}
            clear = [
                content
                for content, ends in foremost.items()
                if most >= _CERTAIN_ENDS or not _shared(content, ends, foremost)
            ]
            if not clear:
                return
            for content in clear:
                self._by_content[content].charged = True
            explained = set().union(*(left.pop(content) for content in clear))
            left = {content: ends - explained for content, ends in left.items()}

    def _count(self) -> None:
        """Find the ends that speak against each content: not those of many endpoints at once."""
        ended_at: dict[int, float] = {}
        for record in self._by_content.values():
            for endpoint, at in record.ended_at_by_endpoint.items():
                ended_at[endpoint] = min(at, ended_at.get(endpoint, math.inf))
        times = sorted(ended_at.values())
        for record in self._by_content.values():
            record.counted = set()
            if len(record.ended_at_by_endpoint) < _SUSPECT_ENDS:
                continue
            own = [ended_at[endpoint] for endpoint in record.ended_at_by_endpoint]
            for endpoint in record.ended_at_by_endpoint:
                first = ended_at[endpoint] - _MOMENT_SECONDS
                last = ended_at[endpoint] + _MOMENT_SECONDS
                count = bisect_right(times, last) - bisect_left(times, first)
                share = sum(first <= at <= last for at in own)
                if count < _MANY_ENDS or 2 * share >= count:
                    record.counted.add(endpoint)

    def _unexplained(self, content: str) -> set[int]:
        """Return the ends of a content that no other one is charged with."""
        ends = set(self._by_content[content].counted)
        for other, record in self._by_content.items():
            if other != content and record.charged:
                ends -= record.ended_at_by_endpoint.keys()
        return ends


def _shared(content: str, ends: set[int], foremost: dict[str, set[int]]) -> bool:
    """Return whether another content with as many ends was at one of these."""
    return any(other != content and ends & theirs for other, theirs in foremost.items())
