"""The processes of one played day: started here, ended here by their own ids, and no others."""

import json
import subprocess
import sys
from collections.abc import Generator, Iterable, Mapping, Sequence
from contextlib import suppress
from pathlib import Path
from typing import IO, Any

from gaproute.loop import Loop, Promise
from gaproute.loop.descriptors import HANGUP, READ
from gaproute.scenarios.errors import NotReadyError
from gaproute.units import MILLI, SECOND

# Not 127.0.0.1, from which all connect: a port of a killed process stays free for it.
ANY_ADDRESS = "127.0.0.2:0"
READY_TIME = 20 * SECOND  # for a process to come up, on a crowded machine
EXIT_POLL = 20 * MILLI  # between two looks at whether processes have ended

Routine = Generator[Promise, Any, None]  # what the loop runs as a coroutine
Message = Mapping[str, Any]  # an object of JSON that a stand-in reads


class DayProcess:
    """One process, which is commanded by lines of JSON on its standard input."""

    def __init__(
        self,
        command: Sequence[str],
        settings: Message | None,
        errors: Path,
        *,
        reads_output: bool = True,
        own_session: bool = False,
    ) -> None:
        """`settings`: its first line; `errors`: the file to which its standard error is appended."""
        with open(errors, "ab") as file:
            self.child = subprocess.Popen(
                command,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE if reads_output else None,
                stderr=file,
                start_new_session=own_session,
            )
        if settings is not None:
            self.send(settings)

    @property
    def input(self) -> IO[bytes]:
        """Its standard input."""
        assert self.child.stdin is not None  # it is a pipe, as asked for above
        return self.child.stdin

    def send(self, message: Message) -> None:
        """Writes one command; a dead process gets none."""
        with suppress(BrokenPipeError):
            self.input.write(json.dumps(message).encode() + b"\n")
            self.input.flush()

    def close_input(self) -> None:
        """Ends its input, at which a stand-in ends; what a dead one did not read is lost."""
        with suppress(BrokenPipeError):
            self.input.close()

    def signal(self, number: int) -> None:
        """Sends a signal, unless the process has ended."""
        if self.child.poll() is None:
            self.child.send_signal(number)

    def close(self) -> None:
        """Kills the process if it still runs, and frees what it held here."""
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()
        self.close_input()
        if self.child.stdout is not None:
            self.child.stdout.close()


class DayProcesses:
    """All processes that one day started. `out`: the folder for their standard error."""

    OWN_SESSION = False  # whether each process gets a session of its own

    def __init__(self, loop: Loop, out: Path) -> None:
        self.loop, self.out = loop, out
        self.all: list[DayProcess] = []

    def command(self, module: Sequence[str]) -> list[str]:
        """The command that runs a module of the program with its arguments."""
        return [sys.executable, "-m", *module]

    def start(
        self,
        module: Sequence[str],
        settings: Message | None,
        errors: str,
        *,
        reads_output: bool = True,
        **options: Any,
    ) -> DayProcess:
        """Starts a module with its arguments. `options`: what `command` takes beside them."""
        process = DayProcess(
            self.command(module, **options),
            settings,
            self.out / errors,
            reads_output=reads_output,
            own_session=self.OWN_SESSION,
        )
        self.all.append(process)
        return process

    def start_stand_in(self, kind: str, name: str, settings: Message) -> DayProcess:
        """Starts a stand-in (docs/standins.md); its standard error goes to `NAME.err`."""
        return self.start(["gaproute.standins", kind], settings, f"{name}.err")

    def first_line(self, process: DayProcess, name: str = "a stand-in") -> Promise:
        """A promise of the next line of JSON on its standard output, parsed.

        It fails with `NotReadyError` where the process ends before.
        """
        output = process.child.stdout
        assert output is not None  # the process was started with `reads_output`
        promise, descriptor = Promise(), output.fileno()

        def read_line(events: int) -> None:
            line = output.readline() if events & (READ | HANGUP) else b""
            self.loop.unwatch(descriptor)
            if line:
                promise.set(json.loads(line))
            else:
                promise.fail(NotReadyError(f"{name} did not start; see its .err file"))

        self.loop.watch(descriptor, READ, read_line)
        return promise

    def wait_for_exit(self, processes: Iterable[DayProcess], span: int) -> Routine:
        """A coroutine: until all of them have ended, or `span` ns are over."""
        end = self.loop.now() + span
        while any(process.child.poll() is None for process in processes) and self.loop.now() < end:
            yield self.loop.sleep(EXIT_POLL)

    def close(self) -> None:
        """Ends all of them at once."""
        for process in self.all:
            process.close()
