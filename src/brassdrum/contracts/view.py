"""Immutable view of the accepted documents, indexed for the request path."""

from __future__ import annotations

from dataclasses import dataclass

from brassdrum.contracts.documents import Configuration, Contract, Model, Service
from brassdrum.contracts.fold import ControlFold
from brassdrum.contracts.keys import KeyIndex

__all__ = ["FleetView"]


@dataclass(frozen=True, slots=True)
class FleetView:
    """Immutable snapshot of the accepted documents at one revision."""

    revision: int
    configuration: Configuration
    contracts_by_organisation: dict[str, Contract]
    models_by_name: dict[str, Model]
    services_by_name: dict[str, Service]
    keys: KeyIndex

    @classmethod
    def from_fold(cls, fold: ControlFold) -> FleetView | None:
        """Return a snapshot of a fold's state, or None before the first configuration."""
        configuration = fold.configuration()
        if configuration is None:
            return None
        contracts = fold.contracts()
        return cls(
            revision=fold.revision,
            configuration=configuration,
            contracts_by_organisation={contract.organisation: contract for contract in contracts},
            models_by_name={model.name: model for model in configuration.models},
            services_by_name={service.name: service for service in configuration.services},
            keys=KeyIndex(contracts),
        )
