"""Hold the endpoints of the configuration in force with their state, clients and indexes."""

from __future__ import annotations

import bisect
import random
from collections.abc import Callable, Iterable

from brassdrum.admission.limits import DemandMeter
from brassdrum.admission.work import LengthBand, Work, is_service_target, service_target
from brassdrum.clock import Clock
from brassdrum.contracts.documents import Configuration, Endpoint, EndpointKind
from brassdrum.contracts.documents import Policy as PolicySettings
from brassdrum.endpoints.engine import EngineClient
from brassdrum.endpoints.service import ServiceClient
from brassdrum.routing.estimate import ModelEstimate
from brassdrum.routing.policies import POLICIES, Policy, RoutingContext
from brassdrum.routing.prefix import PrefixIndex
from brassdrum.routing.state import EndpointState, PeerLoad

__all__ = ["Fleet"]

_LONG_HALF_LIFE = 10.0
_DEFAULT_PREFILL_RATE = 20_000.0
_SERVICE_POLICY = "least_outstanding"


class Fleet:
    """Know every endpoint; changed only under the dispatcher's lock."""

    def __init__(
        self,
        clock: Clock,
        zone: str,
        policy: str | None = None,
        on_call: Callable[[int], None] | None = None,
    ) -> None:
        self._on_call = on_call
        self._clock = clock
        self._zone = zone
        self._policy_override = policy
        self._random = random.Random()
        self._started = clock.monotonic()
        self._settings = PolicySettings()
        self._policies_by_target: dict[str, Policy] = {}
        self.states_by_name: dict[str, EndpointState] = {}
        self.states_by_target: dict[str, list[EndpointState]] = {}
        self.engines_by_name: dict[str, EngineClient] = {}
        self.services_by_name: dict[str, ServiceClient] = {}
        self.estimates_by_model: dict[str, ModelEstimate] = {}
        self._endpoints_by_peer: dict[str, set[str]] = {}
        self.prefixes = PrefixIndex()
        self.peers_long_load = 0.0
        self._long_work = DemandMeter(self._started, _LONG_HALF_LIFE)

    def configure(self, configuration: Configuration) -> None:
        """Take over a new configuration; endpoints that stay keep their state."""
        self._settings = configuration.policy
        known = self.states_by_name
        self.states_by_name = {}
        for endpoint in configuration.endpoints:
            self.states_by_name[endpoint.name] = self._state(endpoint, known.get(endpoint.name))
        for name in known.keys() - self.states_by_name.keys():
            self.prefixes.remove_endpoint(name)
        self._index(configuration.endpoints)
        for model in configuration.models:
            if model.name not in self.estimates_by_model:
                self.estimates_by_model[model.name] = ModelEstimate.from_model(model)

    def choose(self, work: Work) -> EndpointState | None:
        """Return the endpoint for work, or None while all that are fit are full."""
        candidates = self.states_by_target.get(work.target, [])
        if not candidates:
            return None
        estimate = self.estimates_by_model.get(work.target)
        context = RoutingContext(
            now=self._clock.monotonic(),
            zone=self._zone,
            random=self._random,
            settings=self._settings,
            long_load=self.long_load() + self.peers_long_load,
            prefill_rate=_DEFAULT_PREFILL_RATE if estimate is None else estimate.prefill_rate,
            prefix_blocks=self.prefixes.expected_prefix_blocks(work.blocks) if work.blocks else {},
        )
        return self._policy(work.target).choose(work, candidates, context)

    def note_arrival(self, work: Work) -> None:
        """Learn how many engines the long prompts keep busy; it moves the pools' border."""
        estimate = self.estimates_by_model.get(work.target)
        if estimate is None or work.band is not LengthBand.LONG:
            return
        now = self._clock.monotonic()
        self._long_work.add(estimate.prefill_seconds(work.prompt_tokens), now)

    def long_load(self) -> float:
        """Return the engines' worth of long prefill that arrives at this daemon."""
        return self._long_work.rates(self._clock.monotonic())[1]

    def take_peer_load(self, daemon: str, endpoint: str, load: PeerLoad) -> None:
        """Note what another daemon has in flight at an endpoint."""
        state = self.states_by_name.get(endpoint)
        if state is None:
            return
        state.peers_by_daemon[daemon] = load
        self._endpoints_by_peer.setdefault(daemon, set()).add(endpoint)

    def drop_peer_loads(self, daemon: str, still_loaded: set[str]) -> None:
        """Forget a daemon's loads at endpoints where it has nothing in flight any more."""
        loaded = self._endpoints_by_peer.get(daemon, set())
        for endpoint in loaded - still_loaded:
            loaded.discard(endpoint)
            state = self.states_by_name.get(endpoint)
            if state is not None:
                state.peers_by_daemon.pop(daemon, None)

    def largest_memory(self, target: str) -> int:
        """Return the memory of the largest engine for a target, in tokens."""
        states = self.states_by_target.get(target, [])
        return max((state.endpoint.kv_tokens for state in states), default=0)

    def leaving(self) -> list[str]:
        """Return the names of leaving endpoints."""
        return [name for name, state in self.states_by_name.items() if state.leaving]

    def failing(self, now: float) -> list[str]:
        """Return the names of endpoints whose breaker is open."""
        return [
            name for name, state in self.states_by_name.items() if not state.breaker.allows(now)
        ]

    def _state(self, endpoint: Endpoint, known: EndpointState | None) -> EndpointState:
        if known is not None and known.endpoint.url == endpoint.url:
            known.endpoint = endpoint
            return known
        if endpoint.kind is EndpointKind.ENGINE:
            self.engines_by_name[endpoint.name] = EngineClient(
                endpoint.name, endpoint.url, self._on_call
            )
        else:
            self.services_by_name[endpoint.name] = ServiceClient(endpoint.name, endpoint.url)
        now = self._clock.monotonic()
        # What is there when the daemon starts has been serving others: no slow start.
        first = not self.states_by_target
        return EndpointState(endpoint, float("-inf") if first else now)

    def _index(self, endpoints: Iterable[Endpoint]) -> None:
        by_target: dict[str, list[EndpointState]] = {}
        for endpoint in endpoints:
            state = self.states_by_name[endpoint.name]
            targets = list(endpoint.models)
            if endpoint.service is not None:
                targets.append(service_target(endpoint.service))
            for target in targets:
                bisect.insort(
                    by_target.setdefault(target, []), state, key=lambda item: item.endpoint.name
                )
        self.states_by_target = by_target

    def _policy(self, target: str) -> Policy:
        policy = self._policies_by_target.get(target)
        if policy is None:
            name = self._policy_override or self._settings.name
            if is_service_target(target):
                name = _SERVICE_POLICY
            policy = self._policies_by_target[target] = POLICIES.get(name)()
        return policy
