"""Run a whole small site in one process: platform, engines, service and daemons."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from brassdrum.contracts.documents import (
    ApiKey,
    Configuration,
    Contract,
    ContractLimits,
    Endpoint,
    EndpointKind,
    Model,
    Policy,
    Repeatable,
    Service,
    ServiceCall,
    Urgency,
)
from brassdrum.contracts.keys import make_key
from brassdrum.daemon.main import Daemon
from brassdrum.errors import NotReadyError
from brassdrum.logservice.log import HttpLog
from brassdrum.logservice.publish import Publisher
from brassdrum.settings import (
    DaemonSettings,
    EngineStandinSettings,
    PlatformSettings,
    PlatformStandinSettings,
    ResumeKey,
    ServiceStandinSettings,
    ShutdownSettings,
)
from brassdrum.standins.engine import EngineStandin
from brassdrum.standins.platform import PlatformStandin
from brassdrum.standins.service import ServiceStandin

__all__ = ["MODEL", "SERVICE", "Site", "SiteShape", "sample_contract"]

MODEL = "sample-70b"
SERVICE = "remnants"
_ZONES = ("zone-a", "zone-b", "zone-c")
_READY_SECONDS = 15.0
_POLL_SECONDS = 0.02
_RESUME_SECRET = "embedded-stand-in-secret"
_DAEMON_THREADS = 128


@dataclass(frozen=True, slots=True)
class SiteShape:
    """Say how large a site is and how its engines behave."""

    daemons: int = 3
    engines: int = 4
    services: int = 1
    zones: int = 3
    engine: EngineStandinSettings = field(
        default_factory=lambda: EngineStandinSettings(name="engine", models=[MODEL], speed=4.0)
    )
    policy: Policy = field(default_factory=Policy)
    policy_name: str | None = None
    notice_seconds: float = 0.2
    lease_seconds: float = 10.0
    daemon_threads: int = _DAEMON_THREADS
    model: Model = field(default_factory=lambda: Model(name=MODEL, context_tokens=2_000_000))


def sample_contract(
    organisation: str, urgency: Urgency = Urgency.STANDARD, **limits: float
) -> tuple[str, Contract]:
    """Return an API key and a roomy contract for an organisation."""
    secret, key = make_key("sample")
    numbers = {
        "requests_per_second": 1000.0,
        "tokens_per_second": 10_000_000.0,
        "concurrency": 1000,
        "longest_prompt": 1_000_000,
        "longest_answer": 4096,
    }
    contract = Contract(
        format=1,
        kind="contract",
        organisation=organisation,
        keys=[ApiKey.model_validate(key.model_dump())],
        models=[MODEL],
        services=[SERVICE],
        limits=ContractLimits.model_validate(numbers | limits),
        urgency=urgency,
        repeatable=Repeatable(models=[MODEL]),
    )
    return secret, contract


class Site:
    """Start every part on loopback with ports of its own."""

    def __init__(self, shape: SiteShape) -> None:
        self.shape = shape
        self.platform = PlatformStandin(PlatformStandinSettings())
        self.engines = [
            EngineStandin(shape.engine.model_copy(update={"name": f"engine-{n}", "seed": n}))
            for n in range(1, shape.engines + 1)
        ]
        self.services = [
            ServiceStandin(ServiceStandinSettings(name=f"remnants-{n}"))
            for n in range(1, shape.services + 1)
        ]
        self.daemons: list[Daemon] = []

    def start(self, contracts: list[Contract]) -> None:
        """Start all parts, publish and wait until every daemon is ready."""
        self.platform.start()
        for standin in [*self.engines, *self.services]:
            standin.start()
        for number in range(1, self.shape.daemons + 1):
            self._add_daemon(f"daemon-{number}")
        for daemon in self.daemons:
            daemon.start()
        self.publish([self.configuration(), *contracts])
        self.wait_ready()

    def start_daemon(self, name: str) -> Daemon:
        """Start one more daemon and put it on the host list."""
        daemon = self._add_daemon(name)
        daemon.start()
        return daemon

    def _add_daemon(self, name: str) -> Daemon:
        number = len(self.daemons)
        daemon = Daemon(self.daemon_settings(name, number), policy=self.shape.policy_name)
        self.daemons.append(daemon)
        self.platform.put_host(
            name,
            role="daemon",
            state="live",
            http_address=daemon.url.removeprefix("http://"),
            peer_address=daemon.peer_address,
        )
        return daemon

    def daemon_settings(self, name: str, number: int) -> DaemonSettings:
        """Return the settings of one daemon."""
        return DaemonSettings(
            name=name,
            zone=_ZONES[number % self.shape.zones],
            platform=PlatformSettings(url=self.platform.url),
            threads=self.shape.daemon_threads,
            gossip_seconds=0.2,
            poll_seconds=0.5,
            lease_seconds=self.shape.lease_seconds,
            resume_keys=[ResumeKey(id="k1", secret=_RESUME_SECRET)],
            shutdown=ShutdownSettings(notice_seconds=self.shape.notice_seconds, drain_seconds=60),
        )

    def configuration(self) -> Configuration:
        """Return the configuration that describes this site."""
        endpoints = [
            Endpoint(
                name=engine.settings.name,
                kind=EndpointKind.ENGINE,
                url=engine.url,
                zone=_ZONES[number % self.shape.zones],
                models=[MODEL],
                kv_tokens=engine.settings.kv_tokens,
                max_streams=engine.settings.max_streams,
                checks_fences=engine.settings.checks_fences,
            )
            for number, engine in enumerate(self.engines)
        ]
        for number, service in enumerate(self.services, start=1):
            endpoints.append(
                Endpoint(
                    name=f"remnants-{number}",
                    kind=EndpointKind.SERVICE,
                    url=service.url,
                    zone=_ZONES[0],
                    service=SERVICE,
                )
            )
        calls = [
            ServiceCall(method="GET", path="/lots", repeatable=True),
            ServiceCall(method="POST", path="/holds", repeatable=False),
        ]
        speed = self.shape.engine.speed * self.shape.engine.prefill_tokens_per_second
        model = self.shape.model.model_copy(update={"prefill_tokens_per_second": speed})
        return Configuration(
            format=1,
            kind="configuration",
            models=[model],
            services=[Service(name=SERVICE, calls=calls)],
            endpoints=endpoints,
            policy=self.shape.policy,
        )

    def publish(self, documents: list[Configuration | Contract]) -> int:
        """Publish documents and return their revision."""
        judgement = Publisher(HttpLog(self.platform.url, 5.0), "site").publish(documents)
        if not judgement.accepted:
            raise NotReadyError(f"The site's documents were refused: {judgement.reason}")
        return judgement.offset

    def wait_ready(self) -> None:
        """Wait until every daemon is ready, or raise ``NotReadyError``."""
        limit = time.monotonic() + _READY_SECONDS
        while True:
            reasons = [daemon.not_ready() for daemon in self.daemons]
            if not any(reasons):
                return
            if time.monotonic() > limit:
                raise NotReadyError(f"The site did not become ready: {reasons}")
            time.sleep(_POLL_SECONDS)

    def close(self) -> None:
        """Stop everything at once."""
        neighbours = [*self.engines, *self.services, self.platform]
        for parts in (self.daemons, neighbours):
            with ThreadPoolExecutor(max(1, len(parts))) as executor:
                list(executor.map(lambda part: part.close(), parts))
