"""Run the product's gateway on the platform."""

from __future__ import annotations

import faulthandler
import signal
import sys
from dataclasses import replace

from brassdrum.clock import SystemClock
from brassdrum.gateway.daemon import GatewayDaemon
from brassdrum.gateway.model import GatewaySettings
from brassdrum.platform.dialect import PlatformDialect
from brassdrum.platform.settings import read_settings, settings_path
from brassdrum.platform.store import PlatformStore
from brassdrum.settings_file import SettingsFile
from brassdrum.telemetry.bounded_logs import configure_bounded_logging

__all__ = ["serve"]

# Lines a second; at 300 bytes a line this stays under 64 KB/s.
_LINES_PER_SECOND = 200


def serve(level: str, **options: str | bool) -> int:
    """Serve until the platform stops the process; ``options`` replace settings of the gateway."""
    # A fault in native code ends the process without a log line.
    if sys.stderr is not None:
        # Frames of threads that run meanwhile cannot be read safely.
        faulthandler.enable(all_threads=False)
    path = settings_path()
    settings = read_settings(path)
    clock = SystemClock()
    handler = configure_bounded_logging(
        level, settings.gateway.name, sys.stdout, clock, _LINES_PER_SECOND
    )
    store = PlatformStore(settings.store)
    daemon = GatewayDaemon(replace(settings.gateway, **options), store, PlatformDialect())
    daemon.stop_on_signals(signal.SIGTERM, signal.SIGINT)

    def reload() -> GatewaySettings:
        return replace(read_settings(path).gateway, **options)

    daemon.reload_on_signal(signal.SIGHUP, reload)
    daemon.reload_on_change(SettingsFile(path).changed, reload)
    daemon.metrics.add_dropped_lines_gauge(handler.dropped)
    daemon.run()
    handler.close()
    return 0
