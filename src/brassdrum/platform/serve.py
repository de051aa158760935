"""Run the product's gateway on the platform."""

from __future__ import annotations

import signal

from brassdrum.gateway.daemon import GatewayDaemon
from brassdrum.platform.dialect import PlatformDialect
from brassdrum.platform.settings import read_settings, settings_path
from brassdrum.platform.store import PlatformStore
from brassdrum.telemetry.logs import configure_logging

__all__ = ["serve"]


def serve(level: str) -> int:
    """Serve until the platform stops the process."""
    path = settings_path()
    settings = read_settings(path)
    configure_logging(level, settings.gateway.name)
    daemon = GatewayDaemon(settings.gateway, PlatformStore(settings.store), PlatformDialect())
    daemon.stop_on(signal.SIGTERM, signal.SIGINT)
    daemon.reload_on(signal.SIGHUP, lambda: read_settings(path).gateway)
    daemon.run()
    return 0
