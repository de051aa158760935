"""Run callers, daemons and neighbours with seeded faults and write down what happened."""

from __future__ import annotations

import json
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from brassdrum.caller import Answer, Caller
from brassdrum.contracts.documents import Urgency
from brassdrum.daemon.main import Daemon
from brassdrum.errors import BrassdrumError
from brassdrum.history.events import Event, EventKind
from brassdrum.http_pool import HttpPool
from brassdrum.logservice.log import HttpLog
from brassdrum.logservice.publish import Publisher
from brassdrum.registry import Registry
from brassdrum.settings import EngineStandinSettings
from brassdrum.standins.engine_model import token_tag
from brassdrum.standins.site import MODEL, SERVICE, Site, SiteShape, sample_contract

__all__ = ["FAULTS", "HistoryPlan", "run_history"]

_CALLERS = 12
_REQUEST_SECONDS = 8.0
_SETTLE_SECONDS = 20.0
_HOLDS_PATH = f"/services/{SERVICE}/holds"
_LOTS_PATH = f"/services/{SERVICE}/lots"
_ENGINE = EngineStandinSettings(
    name="engine", models=[MODEL], speed=10.0, resume_seconds=3.0, tag_tokens=True
)


@dataclass(frozen=True, slots=True)
class HistoryPlan:
    """Say how long to run, with which seed and faults; no names mean all faults."""

    seed: int
    seconds: float = 6.0
    faults: tuple[str, ...] = ()


@dataclass(slots=True)
class _Run:
    """Hold a run's site and its events."""

    plan: HistoryPlan
    site: Site
    secret: str
    contract: object
    started: float
    events: list[Event] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)
    stop: threading.Event = field(default_factory=threading.Event)
    live: list[Daemon] = field(default_factory=list)
    stopping: set[str] = field(default_factory=set)

    def now(self) -> float:
        """Return seconds from the start."""
        return time.monotonic() - self.started

    def note(self, kind: EventKind, actor: str, **fields: object) -> None:
        """Write an event down."""
        event = Event(at=self.now(), kind=kind, actor=actor, **fields)
        with self.lock:
            self.events.append(event)


class _Fault:
    """Begin a fault and end it; each is one override point a method."""

    def begin(self, run: _Run, rng: random.Random) -> None:
        """Let the fault set in."""

    def end(self, run: _Run) -> None:
        """Let the fault pass."""


FAULTS: Registry[type[_Fault]] = Registry("fault")


@FAULTS.register("log down")
class _LogDown(_Fault):
    def begin(self, run: _Run, rng: random.Random) -> None:
        run.site.platform.faults.down = True

    def end(self, run: _Run) -> None:
        run.site.platform.faults.down = False


@FAULTS.register("appends lost")
class _AppendsLost(_Fault):
    def begin(self, run: _Run, rng: random.Random) -> None:
        run.site.platform.faults.lose_append_answers = rng.randrange(1, 12)


@FAULTS.register("appends late")
class _AppendsLate(_Fault):
    def begin(self, run: _Run, rng: random.Random) -> None:
        run.site.platform.faults.delay_appends_seconds = rng.uniform(0.2, 1.0)

    def end(self, run: _Run) -> None:
        run.site.platform.faults.delay_appends_seconds = 0.0


@FAULTS.register("answers lost")
class _AnswersLost(_Fault):
    def begin(self, run: _Run, rng: random.Random) -> None:
        _set_faults(run.site.services[0].url, drop_answer=rng.uniform(0.1, 0.6))

    def end(self, run: _Run) -> None:
        _set_faults(run.site.services[0].url, drop_answer=0.0)


@FAULTS.register("engine garbles")
class _EngineGarbles(_Fault):
    def begin(self, run: _Run, rng: random.Random) -> None:
        engine = rng.choice(run.site.engines)
        _set_faults(engine.url, truncate=0.3, cross=0.05, repeat=0.2)

    def end(self, run: _Run) -> None:
        for engine in run.site.engines:
            _set_faults(engine.url, truncate=0.0, cross=0.0, repeat=0.0)


@FAULTS.register("engine refuses")
class _EngineRefuses(_Fault):
    def begin(self, run: _Run, rng: random.Random) -> None:
        _set_faults(rng.choice(run.site.engines).url, refuse=0.7)

    def end(self, run: _Run) -> None:
        for engine in run.site.engines:
            _set_faults(engine.url, refuse=0.0)


@FAULTS.register("endpoint leaves")
class _EndpointLeaves(_Fault):
    def begin(self, run: _Run, rng: random.Random) -> None:
        name = rng.choice(run.site.engines).settings.name
        run.site.platform.put_host(name, role="endpoint", state="leaving")
        run.note(EventKind.LEAVING, "platform", subject=name)


@FAULTS.register("daemon dies")
class _DaemonDies(_Fault):
    def begin(self, run: _Run, rng: random.Random) -> None:
        with run.lock:
            if len(run.live) < 2:
                return
            daemon = run.live.pop(rng.randrange(len(run.live)))
        daemon.close()
        run.site.daemons.remove(daemon)

    def end(self, run: _Run) -> None:
        _add_daemon(run)


@FAULTS.register("daemon replaced")
class _DaemonReplaced(_Fault):
    def begin(self, run: _Run, rng: random.Random) -> None:
        _add_daemon(run)
        with run.lock:
            daemon = run.live.pop(0)
            run.stopping.add(daemon.settings.name)
        threading.Thread(target=daemon.stop, daemon=True).start()
        run.site.daemons.remove(daemon)


@FAULTS.register("operators race")
class _OperatorsRace(_Fault):
    def begin(self, run: _Run, rng: random.Random) -> None:
        with ThreadPoolExecutor(2) as executor:
            for share in (rng.uniform(1, 9), rng.uniform(1, 9)):
                executor.submit(_publish, run, share)


def run_history(plan: HistoryPlan) -> list[Event]:
    """Return the events of one run; the faults follow from the seed."""
    secret, contract = sample_contract("quilters", Urgency.INTERACTIVE)
    shape = SiteShape(daemons=3, engines=3, engine=_ENGINE, daemon_threads=32, lease_seconds=2.0)
    site = Site(shape)
    try:
        site.start([contract])
        run = _Run(plan, site, secret, contract, time.monotonic(), live=list(site.daemons))
        _drive(run)
        _write_end(run)
        return sorted(run.events, key=lambda event: event.at)
    finally:
        site.close()


def _drive(run: _Run) -> None:
    with ThreadPoolExecutor(_CALLERS + 2) as executor:
        futures = [executor.submit(_call, run, number) for number in range(_CALLERS)]
        futures.append(executor.submit(_inject, run))
        futures.append(executor.submit(_watch_revisions, run))
        time.sleep(run.plan.seconds)
        run.stop.set()
        for future in futures:
            future.result()


def _inject(run: _Run) -> None:
    """Let two faults at a time come and go."""
    rng = random.Random(run.plan.seed)
    names = list(run.plan.faults or FAULTS)
    while not run.stop.is_set():
        faults = [FAULTS.get(name)() for name in rng.sample(names, min(2, len(names)))]
        for fault in faults:
            run.note(EventKind.FAULT, type(fault).__name__)
            fault.begin(run, rng)
        run.stop.wait(rng.uniform(0.3, 1.2))
        for fault in faults:
            fault.end(run)
        run.stop.wait(rng.uniform(0.1, 0.5))


def _call(run: _Run, number: int) -> None:
    rng = random.Random(run.plan.seed * 1000 + number)
    count = 0
    while not run.stop.is_set():
        count += 1
        with run.lock:
            daemon = rng.choice(run.live)
        kind = rng.choice(("stream", "stream", "keyed", "plain", "list"))
        subject = f"{kind}-{number}-{count}"
        if kind == "keyed":
            # Several callers share keys, through whatever daemons are there.
            subject = f"keyed-{rng.randrange(40)}"
        _one(run, rng, daemon, kind, subject)


def _one(run: _Run, rng: random.Random, daemon: Daemon, kind: str, subject: str) -> None:
    caller = Caller(daemon.url, run.secret, _REQUEST_SECONDS + 10.0)
    headers = {"Brassdrum-Timeout": str(_REQUEST_SECONDS), "Effect-Id": subject}
    begin = run.now()
    expected = ""
    if kind == "stream":
        tokens = rng.randrange(1, 40)
        prompt = f"{subject} " + "linen " * rng.randrange(1, 4000)
        expected = _expected(prompt, tokens)
        answer = caller.complete(MODEL, prompt, tokens, headers)
    elif kind == "list":
        answer = caller.send("GET", _LOTS_PATH, None, headers)
    else:
        if kind == "keyed":
            headers["Idempotency-Key"] = subject
        answer = caller.send("POST", _HOLDS_PATH, b"{}", headers)
    _note_answer(run, daemon, subject, answer, begin, expected, kind)


def _note_answer(
    run: _Run,
    daemon: Daemon,
    subject: str,
    answer: Answer,
    begin: float,
    expected: str,
    kind: str,
) -> None:
    name = daemon.settings.name
    run.note(
        EventKind.REQUEST,
        name,
        subject=subject,
        detail=answer.code,
        until=run.now(),
        deadline=begin + _REQUEST_SECONDS,
        ran="" if answer.error is None else str(answer.error.get("ran", "")),
        status=answer.status,
        whole=answer.whole,
        expected=expected,
        got=_text(answer.body) if expected else "",
        planned_stop=name in run.stopping,
        repeatable=kind in ("list", "stream"),
    )


def _expected(prompt: str, tokens: int) -> str:
    tag = token_tag(prompt)
    return "".join(f"w{index}{tag} " for index in range(tokens))


def _text(body: bytes) -> str:
    texts = []
    for line in body.split(b"\n"):
        if line.startswith(b'data: {"id"'):
            texts.append(json.loads(line[6:])["choices"][0]["text"])
    return "".join(texts)


def _watch_revisions(run: _Run) -> None:
    while not run.stop.wait(0.1):
        with run.lock:
            live = list(run.live)
        for daemon in live:
            run.note(EventKind.REVISION, daemon.settings.name, number=daemon.core.control.revision)


def _publish(run: _Run, share: float) -> None:
    contract = run.contract.model_copy(update={"share": share})  # type: ignore[attr-defined]
    try:
        judgement = Publisher(HttpLog(run.site.platform.url, 2.0), "history").publish([contract])
    except BrassdrumError:
        # The log stayed silent: whether it took effect is seen at the end of the log.
        return
    if judgement.accepted:
        run.note(EventKind.ACCEPTED, "operator", number=judgement.offset)


def _add_daemon(run: _Run) -> None:
    with run.lock:
        name = f"daemon-{len(run.events)}-{len(run.live)}"
    daemon = run.site.start_daemon(name)
    limit = time.monotonic() + _SETTLE_SECONDS
    while daemon.not_ready() is not None and time.monotonic() < limit:
        if run.site.platform.faults.down and run.stop.is_set():
            break
        time.sleep(0.02)
    with run.lock:
        run.live.append(daemon)


def _set_faults(url: str, **faults: float) -> None:
    HttpPool(url).call("POST", "/faults", json.dumps(faults).encode())


def _write_end(run: _Run) -> None:
    """Let everything settle, then write down what the neighbours know."""
    site = run.site
    site.platform.faults.down = False
    limit = time.monotonic() + _SETTLE_SECONDS
    while time.monotonic() < limit and not _settled(run):
        time.sleep(0.05)
    for engine in site.engines:
        for held in engine.model.held():
            run.note(
                EventKind.HELD_AT_END,
                engine.settings.name,
                subject=str(held["owner"]),
                number=int(str(held["tokens"])),
            )
        for at in engine.started_at:
            run.events.append(
                Event(
                    at=at - run.started,
                    kind=EventKind.STREAM_STARTED,
                    actor=engine.settings.name,
                )
            )
    for service in site.services:
        for subject, count in service.runs_by_id.items():
            for _ in range(count):
                run.note(EventKind.RUN, "service", subject=subject)
    for daemon in run.live:
        run.note(
            EventKind.REVISION,
            daemon.settings.name,
            number=daemon.core.control.revision,
            detail="end",
        )
    run.note(EventKind.END, "run")


def _settled(run: _Run) -> bool:
    if any(engine.model.held() for engine in run.site.engines):
        return False
    accepted = [event.number for event in run.events if event.kind is EventKind.ACCEPTED]
    newest = max(accepted, default=-1)
    return all(daemon.core.control.revision >= newest for daemon in run.live)
