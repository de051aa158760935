"""Model an engine that batches continuously: queue, places, passes and memory."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.model import EngineModel
from brassdrum.gateway.net.loop import Timer
from brassdrum.gateway.placing.costs import decode_pass_ms

__all__ = ["EngineRun", "SimulatedEngine"]

_PAIRS_PER_UNIT = 1e6
# Without streams a pass reads this many chunks; short enough that new work waits 70 ms at most.
_CHUNKS_WITHOUT_STREAMS = 8


@dataclass(slots=True, eq=False)
class _Part:
    run: EngineRun
    left: int
    ms_per_token: float


@dataclass(slots=True, eq=False)
class EngineRun:
    """Hold one request at an engine; ``helpers`` read even parts of its prompt.

    ``unused_since`` is when the run got its slot, or wrote the last event that was used.
    """

    prompt_tokens: int
    events: int
    on_event: Callable[[int], None]
    on_end: Callable[[], None]
    helpers: list[SimulatedEngine] = field(default_factory=list)
    stored: dict[str, int] = field(default_factory=dict)
    on_refused: Callable[[], None] = lambda: None
    unread: int = 0
    written: int = 0
    cancelled: bool = False
    refused: bool = False
    read_tokens: int = 0
    unused_since: float = 0.0

    @property
    def reads(self) -> bool:
        """Return whether a part of the prompt is still to be read."""
        return self.unread > 0


@dataclass(slots=True)
class _Silence:
    """What a silent engine does when it goes on: the pass it was in, and what came meanwhile."""

    seconds: float
    pass_seconds_left: float = 0.0
    stopped: Callable[[], None] | None = None
    arrived: list[EngineRun] = field(default_factory=list)
    closed: list[EngineRun] = field(default_factory=list)


class SimulatedEngine:
    """Serve runs in passes; parts for other engines are read first, newest before older.

    With a ``queue_limit`` it refuses requests beyond its slots and that many more as not run.
    """

    def __init__(
        self, loop: SimulatedLoop, name: str, model: EngineModel, queue_limit: int | None = None
    ) -> None:
        self.name = name
        self.queued = 0
        self.refused = 0
        # Slot seconds after the last used event of runs that did not bring the end of an answer,
        # and prompt tokens read for runs that brought no event.
        self.unused_slot_seconds = 0.0
        self.unused_prompt_tokens = 0
        # Requests per second that it takes from all daemons together.
        self.rate_limit: float | None = None
        self.cold_until = -math.inf
        # How many times as long its passes take as those of its model.
        self.slowdown = 1.0
        self.arrivals: list[float] = []
        self._loop = loop
        self._model = model
        self._queue_limit = queue_limit
        self._queue: deque[EngineRun] = deque()
        self._running: list[EngineRun] = []
        self._helping: list[_Part] = []
        self._own: list[_Part] = []
        self._stored: dict[EngineRun, int] = {}
        self._busy = False
        self._pass_timer: Timer | None = None
        self._silence: _Silence | None = None

    @property
    def held(self) -> int:
        """Return the number of requests in slots and in the queue."""
        return len(self._running) + len(self._queue)

    def fall_silent(self, seconds: float) -> None:
        """Do no work and send nothing for some seconds, or for good if these are infinite."""
        if self._silence is not None:
            raise RuntimeError(f"{self.name} is silent already")
        self._silence = _Silence(seconds)
        timer = self._pass_timer
        if self._busy and timer is not None:
            # The timer of an idle engine has fired already.
            self._silence.pass_seconds_left = timer.when - self._loop.now()
            self._silence.stopped = timer.callback
            timer.cancel()
        if seconds < math.inf:
            self._loop.call_later(seconds, self._go_on)

    def submit(self, run: EngineRun) -> None:
        """Queue a request for a place; ``queued`` counts those that find none free."""
        if self._silence is not None:
            self._silence.arrived.append(run)
            return
        self._take(run)

    def cancel(self, run: EngineRun) -> None:
        """Drop a request wherever it is; a silent engine does so when it goes on."""
        run.cancelled = True
        if self._silence is None:
            self._drop_run(run)
            return
        self._silence.closed.append(run)
        if self._silence.seconds == math.inf and run in self._running:
            self._count_unused(run)

    def help(self, run: EngineRun, tokens: int, ms_per_token: float, stored: int) -> None:
        """Read a part of another engine's prompt, before all that is there."""
        self._stored[run] = stored
        self._helping.insert(0, _Part(run, tokens, ms_per_token))
        self._wake()

    def drop(self, run: EngineRun) -> None:
        """Forget the part and the memory of another engine's request."""
        self._stored.pop(run, None)
        self._helping = [part for part in self._helping if part.run is not run]

    def _take(self, run: EngineRun) -> None:
        if self._queue_limit is not None and self.held >= self._model.slots + self._queue_limit:
            self.refused += 1
            run.refused = True
            run.on_refused()
            return
        self.queued += self.held >= self._model.slots
        self._queue.append(run)
        self._wake()

    def _go_on(self) -> None:
        """Go on where the work stopped, then take what has come meanwhile."""
        silence, self._silence = self._silence, None
        assert silence is not None
        for run in silence.closed:
            self._drop_run(run)
        if silence.stopped is not None:
            self._pass_timer = self._loop.call_later(silence.pass_seconds_left, silence.stopped)
        for run in silence.arrived:
            if not run.cancelled:
                self._take(run)

    def _drop_run(self, run: EngineRun) -> None:
        if run in self._queue:
            self._queue.remove(run)
        if run in self._running:
            self._count_unused(run)
        self._leave(run)

    def _count_unused(self, run: EngineRun) -> None:
        self.unused_slot_seconds += self._loop.now() - run.unused_since
        if not run.written:
            self.unused_prompt_tokens += run.read_tokens

    def _wake(self) -> None:
        if not self._busy:
            self._busy = True
            self._pass_timer = self._loop.call_later(0.0, self._pass)

    def _leave(self, run: EngineRun) -> None:
        if run not in self._running:
            return
        self._running.remove(run)
        self._own = [part for part in self._own if part.run is not run]
        for helper in run.helpers:
            helper.drop(run)

    def _memory(self) -> int:
        own = sum(run.prompt_tokens - sum(run.stored.values()) for run in self._running)
        return own + sum(self._stored.values())

    def _admit(self) -> None:
        while self._queue and len(self._running) < self._model.slots:
            run = self._queue[0]
            own = run.prompt_tokens - sum(run.stored.values())
            if self._running and self._memory() + own > self._model.memory_tokens:
                return
            self._queue.popleft()
            self._running.append(run)
            run.unused_since = self._loop.now()
            self._share(run)

    def _share(self, run: EngineRun) -> None:
        members = 1 + len(run.helpers)
        tokens = max(1, run.prompt_tokens // members)
        pairs = run.prompt_tokens**2 / 2 / members / _PAIRS_PER_UNIT
        ms_per_token = (
            1 / self._model.prefill_tokens_per_ms
            + pairs * self._model.ms_per_million_token_pairs / tokens
        )
        run.unread = members
        self._own.append(_Part(run, tokens, ms_per_token))
        for helper in run.helpers:
            helper.help(run, tokens, ms_per_token, run.stored.get(helper.name, 0))

    def _pass(self) -> None:
        self._admit()
        writing = sum(1 for run in self._running if not run.reads)
        chunks = self._model.steps_per_pass if writing else _CHUNKS_WITHOUT_STREAMS
        seconds = self._read(chunks * self._model.chunk_tokens) / 1000
        writers = [run for run in self._running if not run.reads]
        if writers:
            context = sum(run.prompt_tokens for run in writers)
            seconds += decode_pass_ms(self._model, len(writers), context) / 1000
        if not seconds:
            self._busy = False
            return
        self._pass_timer = self._loop.call_later(
            seconds * self.slowdown, lambda: self._passed(writers)
        )

    def _read(self, budget: int) -> float:
        took = 0.0
        for part in [*self._helping, *self._own]:
            tokens = min(part.left, budget)
            part.left -= tokens
            part.run.read_tokens += tokens
            budget -= tokens
            took += tokens * part.ms_per_token
            if part.left == 0:
                part.run.unread -= 1
        self._helping = [part for part in self._helping if part.left]
        self._own = [part for part in self._own if part.left]
        return took

    def _passed(self, writers: list[EngineRun]) -> None:
        for run in writers:
            if run.cancelled:
                continue
            run.written += 1
            run.unused_since = self._loop.now()
            run.on_event(run.written)
            if run.written >= run.events and not run.cancelled:
                self._leave(run)
                run.on_end()
        self._pass()
