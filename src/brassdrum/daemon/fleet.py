"""Registry of the configured endpoints with their state, clients and indexes."""

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

_LONG_LOAD_HALF_LIFE_SECONDS = 10.0
_DEFAULT_PREFILL_TOKENS_PER_SECOND = 20_000.0
_SERVICE_POLICY = "least_outstanding"


class Fleet:
    """Endpoints of the current configuration. Must be modified under the dispatcher's lock."""

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
        self._started_at = clock.monotonic()
        self._settings = PolicySettings()
        self._policies_by_target: dict[str, Policy] = {}
        self.states_by_name: dict[str, EndpointState] = {}
        self.states_by_target: dict[str, list[EndpointState]] = {}
        self.engines_by_name: dict[str, EngineClient] = {}
        self.services_by_name: dict[str, ServiceClient] = {}
        self.estimates_by_model: dict[str, ModelEstimate] = {}
        self._loaded_endpoints_by_peer: dict[str, set[str]] = {}
        self.prefixes = PrefixIndex()
        self.peers_long_load = 0.0
        self._long_prefill_meter = DemandMeter(self._started_at, _LONG_LOAD_HALF_LIFE_SECONDS)

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration; endpoints with an unchanged URL keep their state."""
        self._settings = configuration.policy
        known = self.states_by_name
        self.states_by_name = {}
        for endpoint in configuration.endpoints:
            self.states_by_name[endpoint.name] = self._get_or_create_state(
                endpoint, known.get(endpoint.name)
            )
        for name in known.keys() - self.states_by_name.keys():
            self.prefixes.remove_endpoint(name)
        self._index_by_target(configuration.endpoints)
        for model in configuration.models:
            if model.name not in self.estimates_by_model:
                self.estimates_by_model[model.name] = ModelEstimate.from_model(model)

    def choose(self, work: Work) -> EndpointState | None:
        """Return the endpoint for a work item, or None if all eligible ones are full.

        One that has refused requests recently is chosen only if no other one is eligible.
        """
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
            prefill_rate=(
                _DEFAULT_PREFILL_TOKENS_PER_SECOND if estimate is None else estimate.prefill_rate
            ),
            prefix_blocks=self.prefixes.expected_prefix_blocks(work.blocks) if work.blocks else {},
        )
        policy = self._policy_for(work.target)
        preferred = [each for each in candidates if not each.refusals.is_active(context.now)]
        if preferred and len(preferred) < len(candidates):
            chosen = policy.choose(work, preferred, context)
            if chosen is not None:
                return chosen
        return policy.choose(work, candidates, context)

    def record_arrival(self, work: Work) -> None:
        """Add a long prompt to the load that sets the boundary between pools; ignore others."""
        estimate = self.estimates_by_model.get(work.target)
        if estimate is None or work.band is not LengthBand.LONG:
            return
        now = self._clock.monotonic()
        self._long_prefill_meter.add(estimate.prefill_seconds(work.prompt_tokens), now)

    def long_load(self) -> float:
        """Return the number of engines needed for the long prompts that arrive at this daemon."""
        return self._long_prefill_meter.rates(self._clock.monotonic())[1]

    def set_peer_load(self, daemon: str, endpoint: str, load: PeerLoad) -> None:
        """Set the load that another daemon has in flight on an endpoint."""
        state = self.states_by_name.get(endpoint)
        if state is None:
            return
        state.peers_by_daemon[daemon] = load
        self._loaded_endpoints_by_peer.setdefault(daemon, set()).add(endpoint)

    def drop_stale_peer_loads(self, daemon: str, still_loaded: set[str]) -> None:
        """Remove a daemon's loads on endpoints that are not in ``still_loaded``."""
        loaded = self._loaded_endpoints_by_peer.get(daemon, set())
        for endpoint in loaded - still_loaded:
            loaded.discard(endpoint)
            state = self.states_by_name.get(endpoint)
            if state is not None:
                state.peers_by_daemon.pop(daemon, None)

    def max_kv_tokens(self, target: str) -> int:
        """Return the capacity of the largest engine for a target in KV cache tokens."""
        states = self.states_by_target.get(target, [])
        return max((state.endpoint.kv_tokens for state in states), default=0)

    def leaving(self) -> list[str]:
        """Return the names of endpoints that are leaving."""
        return [name for name, state in self.states_by_name.items() if state.leaving]

    def failing(self, now: float) -> list[str]:
        """Return the names of endpoints whose circuit breaker is open."""
        return [
            name for name, state in self.states_by_name.items() if not state.breaker.allows(now)
        ]

    def _get_or_create_state(
        self, endpoint: Endpoint, known: EndpointState | None
    ) -> EndpointState:
        if known is not None and known.endpoint.url == endpoint.url:
            known.endpoint = endpoint
            return known
        name, url = endpoint.name, endpoint.url
        if endpoint.kind is EndpointKind.ENGINE:
            self.engines_by_name[name] = EngineClient(
                name, url, self._clock, lambda: self._other_urls(name), self._on_call
            )
        else:
            self.services_by_name[name] = ServiceClient(
                name, url, self._clock, lambda: self._other_urls(name)
            )
        now = self._clock.monotonic()
        # Endpoints of the first configuration are in service already and need no slow start.
        first = not self.states_by_target
        return EndpointState(endpoint, float("-inf") if first else now)

    def _other_urls(self, name: str) -> list[str]:
        """Return the URLs of all endpoints but one; may be called from any thread."""
        states = list(self.states_by_name.values())
        return [each.endpoint.url for each in states if each.endpoint.name != name]

    def _index_by_target(self, endpoints: Iterable[Endpoint]) -> None:
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

    def _policy_for(self, target: str) -> Policy:
        policy = self._policies_by_target.get(target)
        if policy is None:
            name = self._policy_override or self._settings.name
            if is_service_target(target):
                name = _SERVICE_POLICY
            policy = self._policies_by_target[target] = POLICIES.get(name)()
        return policy
