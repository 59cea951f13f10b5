"""Commands on standard input: a JSON object a line, for as long as the input lasts."""

from __future__ import annotations

import os
from collections.abc import Callable

import msgspec

from gaproute.loop import Loop
from gaproute.loop.descriptors import HANGUP, READ
from gaproute.standins.json_objects import JsonObject

READ_SIZE = 65536  # bytes


class CommandInput:
    """Reads the descriptor from now on: `on_command(command)` for each line, `on_end()` at its end."""

    def __init__(
        self,
        loop: Loop,
        descriptor: int,
        on_command: Callable[[JsonObject], object],
        on_end: Callable[[], object],
    ) -> None:
        self._descriptor, self._on_command, self._on_end = descriptor, on_command, on_end
        self._buffer = b""
        loop.watch(descriptor, READ, self._ready)

    def _ready(self, events: int) -> None:
        data = os.read(self._descriptor, READ_SIZE) if events & (READ | HANGUP) else b""
        if not data:
            self._on_end()
            return
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            if line:
                self._on_command(msgspec.json.decode(line))
