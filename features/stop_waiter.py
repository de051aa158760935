"""A process that waits for the stop signal several times, for the scenarios of planned stops."""

import signal
import sys
import threading
import time

from brassdrum.cli.signals import StopSignals


def _run_busy_thread():
    """Compete for the interpreter lock like the other threads of a daemon."""
    while True:
        sum(range(2000))
        time.sleep(0.0005)


def main(rounds):
    """Print a line before each wait for the signal."""
    for _ in range(3):
        threading.Thread(target=_run_busy_thread, daemon=True).start()
    for _ in range(rounds):
        signals = StopSignals()
        print("waits", flush=True)
        signals.wait()
    # The interpreter removes its handlers at exit, when the last signals may still arrive.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)


if __name__ == "__main__":
    main(int(sys.argv[1]))
