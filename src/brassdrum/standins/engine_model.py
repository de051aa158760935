"""Model an engine: continuous batching, prefill that slows with length, memory, prefix cache."""

from __future__ import annotations

import threading
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field

import xxhash

from brassdrum.routing.blocks import BLOCK_CHARACTERS
from brassdrum.settings import EngineStandinSettings

__all__ = ["EngineModel", "EngineStream", "MemoryFullError", "Reservation", "token_tag"]

_CHARACTERS_PER_TOKEN = 4
_BLOCK_TOKENS = BLOCK_CHARACTERS // _CHARACTERS_PER_TOKEN
_SLOWDOWN_TOKENS = 200_000
_REPORTS_KEPT = 400
_EVENTS_KEPT = 20_000
_IDLE_SECONDS = 0.02


def token_tag(prompt: str) -> str:
    """Return what marks the tokens of one prompt, so that a checker knows whose they are."""
    return f"-{xxhash.xxh3_64_hexdigest(prompt.encode())[:8]}"


class MemoryFullError(Exception):
    """Tell that the tokens asked for do not fit."""


@dataclass(slots=True)
class Reservation:
    """Hold memory for an owner until a time."""

    id: str
    owner: str
    tokens: int
    expires: float


@dataclass(slots=True)
class EngineStream:
    """Hold one request: what is left to prefill, the tokens made and who reads them."""

    id: str
    owner: str
    prompt_tokens: int
    answer_tokens: int
    priority: int
    blocks: list[int]
    created: float
    prefill_left: float = 0.0
    held_tokens: int = 0
    reservation: str | None = None
    tokens: list[str] = field(default_factory=list)
    done: bool = False
    cancelled: bool = False
    reader: int = 0
    abandoned_at: float | None = None
    prefill_started: bool = False
    tag: str = ""

    @property
    def decoding(self) -> bool:
        """Return whether the prefill is over and tokens are being made."""
        return self.prefill_started and self.prefill_left <= 0 and not self.done


class EngineModel:
    """Advance all streams step by step in a thread; every state is under one lock."""

    def __init__(self, settings: EngineStandinSettings) -> None:
        self.settings = settings
        self.changed = threading.Condition()
        self.streams_by_id: dict[str, EngineStream] = {}
        self.reservations_by_id: dict[str, Reservation] = {}
        self.events: deque[tuple[int, float, str, int]] = deque(maxlen=_EVENTS_KEPT)
        self.prefill_tokens_done = 0
        self.prefix_tokens_hit = 0
        self._event_number = 0
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._waiting: list[EngineStream] = []
        self._running: list[EngineStream] = []
        self._reports: deque[tuple[float, dict[str, object]]] = deque(maxlen=_REPORTS_KEPT)
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name=settings.name, daemon=True)

    def start(self) -> None:
        """Begin to step."""
        self._thread.start()

    def stop(self) -> None:
        """End the steps."""
        with self.changed:
            self._stopping = True
            self.changed.notify_all()

    def submit(self, stream: EngineStream) -> None:
        """Queue a stream, or raise ``MemoryFullError`` when it can never fit."""
        with self.changed:
            if stream.reservation is None:
                if stream.prompt_tokens + stream.answer_tokens > self.settings.kv_tokens:
                    raise MemoryFullError("the prompt is longer than the engine's memory")
                stream.held_tokens = stream.prompt_tokens + stream.answer_tokens
            elif stream.reservation not in self.reservations_by_id:
                raise MemoryFullError("the reservation is unknown or has lapsed")
            self.streams_by_id[stream.id] = stream
            self._waiting.append(stream)
            self.changed.notify_all()

    def cancel(self, stream_id: str) -> bool:
        """End a stream and free its memory; repeating it does no harm."""
        with self.changed:
            stream = self.streams_by_id.pop(stream_id, None)
            if stream is None:
                return False
            stream.cancelled = True
            stream.done = True
            self._remove(stream)
            self.changed.notify_all()
            return True

    def reserve(self, reservation: Reservation) -> None:
        """Hold memory, or raise ``MemoryFullError``; a known id is renewed."""
        with self.changed:
            known = self.reservations_by_id.get(reservation.id)
            held = 0 if known is None else known.tokens
            if self._held() - held + reservation.tokens > self.settings.kv_tokens:
                raise MemoryFullError("the engine's memory is in use")
            self.reservations_by_id[reservation.id] = reservation

    def release(self, reservation_id: str) -> None:
        """Free a reservation; repeating it does no harm."""
        with self.changed:
            self.reservations_by_id.pop(reservation_id, None)
            self.changed.notify_all()

    def report(self) -> dict[str, object]:
        """Return the load as it was some time ago."""
        limit = time.monotonic() - self.settings.report_lag_seconds
        with self.changed:
            chosen: dict[str, object] = self._snapshot()
            for at, report in reversed(self._reports):
                if at <= limit:
                    chosen = report
                    break
            return chosen

    def held(self) -> list[dict[str, object]]:
        """Return who holds how much memory now."""
        with self.changed:
            streams = [
                {"kind": "stream", "id": s.id, "owner": s.owner, "tokens": s.held_tokens}
                for s in self.streams_by_id.values()
                if not s.done
            ]
            reserved = [
                {"kind": "reservation", "id": r.id, "owner": r.owner, "tokens": r.tokens}
                for r in self.reservations_by_id.values()
            ]
            return streams + reserved

    def _run(self) -> None:
        while True:
            with self.changed:
                if self._stopping:
                    return
                self._expire()
                self._admit()
                seconds, finished = self._plan()
                self._reports.append((time.monotonic(), self._snapshot()))
                if seconds == 0.0:
                    self.changed.wait(_IDLE_SECONDS)
                    continue
            time.sleep(seconds / self.settings.speed)
            with self.changed:
                self._advance(finished)
                self.changed.notify_all()

    def _admit(self) -> None:
        self._waiting.sort(key=lambda stream: (stream.priority, stream.created))
        for stream in list(self._waiting):
            if len(self._running) >= self.settings.max_streams:
                return
            if self._held_by_running() + stream.held_tokens > self.settings.kv_tokens:
                return
            self._waiting.remove(stream)
            self._running.append(stream)
            cached = self._cached_tokens(stream)
            self.prefix_tokens_hit += cached
            stream.prefill_left = max(1.0, stream.prompt_tokens - cached)
            stream.prefill_started = True

    def _plan(self) -> tuple[float, list[EngineStream]]:
        if not self._running:
            return 0.0, []
        seconds = self.settings.step_seconds
        budget = float(self.settings.chunk_tokens)
        finished = []
        prefilling = [stream for stream in self._running if stream.prefill_left > 0]
        for stream in sorted(prefilling, key=lambda item: (item.priority, item.created)):
            if budget <= 0:
                break
            tokens = min(budget, stream.prefill_left)
            done = stream.prompt_tokens - stream.prefill_left
            slowdown = 1.0 + done / _SLOWDOWN_TOKENS
            seconds += tokens * slowdown / self.settings.prefill_tokens_per_second
            budget -= tokens
            stream.prefill_left -= tokens
            self.prefill_tokens_done += int(tokens)
            if stream.prefill_left <= 0:
                finished.append(stream)
        return max(seconds, 1e-6), finished

    def _advance(self, finished: list[EngineStream]) -> None:
        for stream in finished:
            self._remember(stream.blocks)
        for stream in list(self._running):
            if not stream.decoding:
                continue
            stream.tokens.append(f"w{len(stream.tokens)}{stream.tag} ")
            if len(stream.tokens) >= stream.answer_tokens:
                stream.done = True
                self._running.remove(stream)

    def _remove(self, stream: EngineStream) -> None:
        if stream in self._waiting:
            self._waiting.remove(stream)
        if stream in self._running:
            self._running.remove(stream)

    def _expire(self) -> None:
        now = time.monotonic()
        for reservation in list(self.reservations_by_id.values()):
            if reservation.expires < now:
                del self.reservations_by_id[reservation.id]
        for stream in list(self.streams_by_id.values()):
            if stream.abandoned_at is None:
                continue
            if now - stream.abandoned_at < self.settings.resume_seconds:
                continue
            del self.streams_by_id[stream.id]
            stream.cancelled = stream.done = True
            self._remove(stream)

    def _held_by_running(self) -> int:
        streams = sum(stream.held_tokens for stream in self._running)
        return streams + sum(item.tokens for item in self.reservations_by_id.values())

    def _held(self) -> int:
        waiting = sum(stream.held_tokens for stream in self._waiting)
        return self._held_by_running() + waiting

    def _snapshot(self) -> dict[str, object]:
        prefilling = [stream for stream in self._running if stream.prefill_left > 0]
        return {
            "at": time.time(),
            "streams": len(self._running),
            "waiting": len(self._waiting),
            "queued_tokens": int(
                sum(stream.prefill_left for stream in prefilling)
                + sum(stream.prompt_tokens for stream in self._waiting)
            ),
            "kv_tokens_held": self._held(),
            "kv_tokens": self.settings.kv_tokens,
        }

    def _cached_tokens(self, stream: EngineStream) -> int:
        count = 0
        for block in stream.blocks:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += 1
        return count * _BLOCK_TOKENS

    def _remember(self, blocks: list[int]) -> None:
        room = max(0, self.settings.kv_tokens - self._held_by_running()) // _BLOCK_TOKENS
        for block in blocks:
            if block not in self._cache:
                self._event("stored", block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > room:
            block, _ = self._cache.popitem(last=False)
            self._event("removed", block)

    def _event(self, kind: str, block: int) -> None:
        self._event_number += 1
        self.events.append((self._event_number, time.monotonic(), kind, block))
