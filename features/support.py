"""Help the steps: wait for a state, start daemons as processes, close what was opened."""

import json
import signal
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor, wait
from pathlib import Path

from brassdrum.caller import Caller

WAIT_SECONDS = 20.0


def eventually(predicate, what, seconds=WAIT_SECONDS):
    """Wait until something holds; fail with its name when it never does."""
    limit = time.monotonic() + seconds
    while not predicate():
        if time.monotonic() > limit:
            raise AssertionError(f"never came true: {what}")
        time.sleep(0.02)


class Stack:
    """Close things in reverse order."""

    def __init__(self):
        self._closers = []

    def push(self, closer):
        """Add something to call at the end."""
        self._closers.append(closer)

    def close(self):
        """Call everything, newest first."""
        while self._closers:
            self._closers.pop()()


class StepThread:
    """A thread that a step starts; it returns its result and writes nothing to the context.

    A thread that outlives its scenario wrote its answer into a later one. So the scenario ends it:
    ``unblock`` wakes it where it may wait for others, and it has to end then.
    """

    def __init__(self, context, function, *arguments, unblock=None):
        self._unblock = unblock
        self._executor = ThreadPoolExecutor(1)
        self.future = self._executor.submit(function, *arguments)
        context.stack.push(self.close)

    @property
    def running(self):
        """Return whether the thread has not ended."""
        return not self.future.done()

    def result(self, seconds=WAIT_SECONDS):
        """Wait for the result of the function."""
        return self.future.result(seconds)

    def close(self):
        """End the thread; raise if it does not end."""
        if self._unblock is not None:
            self._unblock()
        wait([self.future], WAIT_SECONDS)
        assert self.future.done(), "a step's thread outlives its scenario"
        self._executor.shutdown()
        self.future.result()


class StepTimer:
    """Run an action of a step later, in a thread that the scenario ends."""

    def __init__(self, context, seconds, action):
        self._cancelled = threading.Event()
        self._thread = StepThread(context, self._run, seconds, action, unblock=self._cancelled.set)

    def join(self):
        """Wait until the action has run."""
        self._thread.result()

    def _run(self, seconds, action):
        if not self._cancelled.wait(seconds):
            action()


class DaemonProcess:
    """Run one daemon in a process of its own."""

    def __init__(self, site, name):
        self.name = name
        settings = site.daemon_settings(name, 0).model_dump(mode="json")
        self._folder = tempfile.TemporaryDirectory()
        path = Path(self._folder.name) / "settings.json"
        path.write_text(json.dumps(settings))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "brassdrum", "daemon", "--settings", str(path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.url = self.process.stdout.readline().split()[-1]

    def kill(self):
        """End the process without any warning to it."""
        self.process.kill()
        self.process.wait()

    def pause(self):
        """Stop the process as a frozen host would."""
        self.process.send_signal(signal.SIGSTOP)

    def go_on(self):
        """Let a paused process run again."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self):
        """Ask for a graceful shutdown."""
        self.process.terminate()

    def close(self):
        """End the process if it still runs."""
        if self.process.poll() is None:
            self.kill()
        self.process.stdout.close()
        self._folder.cleanup()

    def ready(self, secret):
        """Return whether the daemon is ready."""
        return Caller(self.url, secret).send("GET", "/-/ready", None).status == 200


class Load:
    """Send requests in the background until told to stop, round robin over live daemons."""

    def __init__(self, callers, send, threads=8):
        self.answers = []
        self._callers = callers
        self._send = send
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._executor = ThreadPoolExecutor(threads)
        self._futures = [self._executor.submit(self._run, n) for n in range(threads)]

    def finish(self):
        """Stop and return all answers."""
        self._stop.set()
        for future in self._futures:
            future.result()
        self._executor.shutdown()
        return self.answers

    def _run(self, number):
        count = 0
        while not self._stop.is_set():
            callers = self._callers()
            caller = callers[(number + count) % len(callers)]
            count += 1
            answer = self._send(caller, f"{number}-{count}")
            with self._lock:
                self.answers.append(answer)
