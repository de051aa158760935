"""Wait to be told to stop, a number of times; a process for the scenarios of planned stops."""

import signal
import sys
import threading
import time

from brassdrum.cli.signals import StopSignals


def _work():
    """Compete for the interpreter as the other threads of a daemon do."""
    while True:
        sum(range(2000))
        time.sleep(0.0005)


def main(rounds):
    """Print a line before each wait."""
    for _ in range(3):
        threading.Thread(target=_work, daemon=True).start()
    for _ in range(rounds):
        signals = StopSignals()
        print("waits", flush=True)
        signals.wait()
    # The interpreter takes handlers away while it ends; the last signals may come then.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)


if __name__ == "__main__":
    main(int(sys.argv[1]))
