"""Run the gateway command and print the processor time at each step of its start.

Run by ``brassdrum bench start`` in a process of its own; the steps, and the
modules that were imported before the first request, are printed at the end.
"""

from __future__ import annotations

import sys
import time

_MARKS: list[tuple[str, float, float]] = []
_MODULES: list[str] = []
_BEGAN_AT = time.monotonic()


def _mark(step: str) -> None:
    """Record the end of a step, once."""
    if step == "first request read" and not _MODULES:
        _MODULES.extend(sys.modules)
    if all(step != name for name, _, _ in _MARKS):
        _MARKS.append((step, time.process_time(), time.monotonic() - _BEGAN_AT))


def _run() -> int:
    _mark("interpreter")
    from brassdrum.cli.main import main

    _mark("command line imported")
    from brassdrum.platform import serve as _serve  # noqa: F401

    _mark("gateway imported")
    from brassdrum.gateway.daemon import GatewayDaemon

    run, handle, finished = (
        GatewayDaemon.run,
        GatewayDaemon.handle,
        GatewayDaemon.exchange_finished,
    )

    def marked_run(daemon: GatewayDaemon) -> None:
        _mark("settings read and daemon built")
        # Runs in the first round of the loop, when the listeners are open.
        daemon.loop.post(lambda: _mark("loop running"))
        run(daemon)

    def marked_handle(daemon: GatewayDaemon, *arguments):
        _mark("first request read")
        return handle(daemon, *arguments)

    def marked_finished(daemon: GatewayDaemon, *arguments) -> None:
        finished(daemon, *arguments)
        _mark("first request answered")

    GatewayDaemon.run = marked_run
    GatewayDaemon.handle = marked_handle
    GatewayDaemon.exchange_finished = marked_finished
    code = main(["gateway", *sys.argv[1:]])
    # Imported at the end: the daemon may not need it before its first request.
    import json

    print(json.dumps({"steps": _MARKS, "modules": _MODULES}), file=sys.stderr, flush=True)
    return code


if __name__ == "__main__":
    sys.exit(_run())
