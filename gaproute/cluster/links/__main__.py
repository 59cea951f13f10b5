"""`python -m gaproute.cluster.links`: a link emulator that is driven by lines of JSON.

It reads commands on standard input and answers on standard output (`codec.py`); it ends when its input
does. Several may run at the same ports: the kernel shares connections and senders of datagrams among them. A
command that cannot be carried out is answered with an error and changes nothing; a first line like that ends
the process with exit code 2.
"""

from __future__ import annotations

import gc
import json
import os
import resource
import sys

from gaproute.cluster.links.codec import decode_command, decode_start, encode_answer
from gaproute.cluster.links.emulator import LinkEmulator
from gaproute.cluster.links.errors import LinkCommandError
from gaproute.cluster.links.messages import Answer, CommandFailed, Ready
from gaproute.loop import Loop
from gaproute.loop.descriptors import READ

STDIN = 0
READ_SIZE = 1 << 20  # bytes
EXIT_NOT_STARTED = 2


class CommandReader:
    """Reads commands from standard input; makes the emulator of the first one."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.emulator: LinkEmulator | None = None
        self._unread = bytearray()
        loop.on_error = self._callback_failed
        loop.watch(STDIN, READ, self._ready)

    def close(self) -> None:
        """Closes the emulator, if there is one."""
        if self.emulator is not None:
            self.emulator.close()

    def _ready(self, events: int) -> None:
        data = os.read(STDIN, READ_SIZE)
        if not data:
            self.loop.stop()
        self._unread += data
        while (end := self._unread.find(b"\n")) >= 0:
            line = bytes(self._unread[:end])
            del self._unread[: end + 1]
            self._handle(line)

    def _handle(self, line: bytes) -> None:
        if self.emulator is None:
            self.emulator = LinkEmulator(self.loop, decode_start(line))
            answer(Ready())
            return
        try:
            counts = self.emulator.execute(decode_command(line))
        except LinkCommandError as error:
            answer(failure(error))
            return
        if counts is not None:
            answer(counts)

    def _callback_failed(self, error: BaseException) -> None:
        if self.emulator is None:
            answer(failure(error))
            sys.exit(EXIT_NOT_STARTED)
        print(failure(error).reason, file=sys.stderr, flush=True)


def failure(error: BaseException) -> CommandFailed:
    """Makes the answer for an error."""
    return CommandFailed(f"{type(error).__name__}: {error}")


def answer(content: Answer) -> None:
    """Writes an answer as one line to standard output."""
    sys.stdout.write(json.dumps(encode_answer(content)) + "\n")
    sys.stdout.flush()


def main() -> None:
    """Runs until standard input ends."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))  # two descriptors for each connection
    gc.disable()  # a full collection stops it for 25 ms at 4,000 connections; `StreamRelay` unties circles
    loop = Loop()
    reader = CommandReader(loop)
    loop.run()
    reader.close()


if __name__ == "__main__":
    main()
