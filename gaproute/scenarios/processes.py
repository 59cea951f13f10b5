"""The children of one played day: started here, ended here by their own ids, and no others."""

import json
import subprocess
import sys

from gaproute.loop import Promise
from gaproute.loop.descriptors import HANGUP, READ

MILLI, SECOND = 1_000_000, 1_000_000_000
# not 127.0.0.1, from which all connect: a port of a killed process stays free for it
ANYWHERE = "127.0.0.2:0"
READY_TIME = 20 * SECOND  # for a process to come up, on a crowded machine


class NotReadyError(RuntimeError):
    """What the day is played with did not come up: no word on what it plays."""


class DayProcess:
    """One child: its command lines go to its standard input. `own_session`: in a session of its own."""

    def __init__(self, command, first, errors, reads_output=True, own_session=False):
        self.errors = open(errors, "ab")
        self.child = subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE if reads_output else None,
            stderr=self.errors,
            start_new_session=own_session,
        )
        if first is not None:
            self.send(first)

    def send(self, told):
        try:
            self.child.stdin.write(json.dumps(told).encode() + b"\n")
            self.child.stdin.flush()
        except BrokenPipeError:
            pass

    def close_input(self):
        """The end of its input; what a dead one did not read is lost."""
        try:
            self.child.stdin.close()
        except BrokenPipeError:
            pass

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def close(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()
        self.close_input()
        if self.child.stdout is not None:
            self.child.stdout.close()
        self.errors.close()


class DayProcesses:
    """All that one day started. `command(words, **manner)`: how a module of the program becomes a command."""

    OWN_SESSION = False

    def __init__(self, loop, out):
        self.loop, self.out, self.all = loop, out, []

    def command(self, words):
        return [sys.executable, "-m", *words]

    def start(self, words, told, errors, reads_output=True, **manner):
        """`words`: the module and its arguments; `told`: its first line, as JSON."""
        process = DayProcess(
            self.command(words, **manner), told, self.out / errors, reads_output, self.OWN_SESSION
        )
        self.all.append(process)
        return process

    def start_stand_in(self, kind, name, told):
        return self.start(["gaproute.standins", kind], told, f"{name}.err")

    def first_line(self, process, name="a stand-in"):
        """A promise of the first line that it tells on its standard output, read from JSON."""
        promise, fd = Promise(), process.child.stdout.fileno()

        def ready(events):
            line = process.child.stdout.readline() if events & (READ | HANGUP) else b""
            self.loop.unwatch(fd)
            if line:
                promise.set(json.loads(line))
            else:
                promise.fail(NotReadyError(f"{name} did not start; see its .err file"))

        self.loop.watch(fd, READ, ready)
        return promise

    def wait_for_exit(self, processes, span):
        """A coroutine: until all of them have ended, or the span is over."""
        end = self.loop.now() + span
        while any(process.child.poll() is None for process in processes) and self.loop.now() < end:
            yield self.loop.sleep(20 * MILLI)

    def close(self):
        for process in self.all:
            process.close()
