"""Small faults that are planted in the source one at a time; the checks must find each of them by name.

An edit replaces a little text in the source of a function. Where the text is missing `planted` raises an
error: a fault that changes nothing would count as found by any violation.
"""

import __future__

import inspect
import textwrap
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import CodeType, FunctionType
from typing import NamedTuple

from gaproute.errors import GaprouteError
from gaproute.simulation.raft_group.setup import RunKind


class EditError(GaprouteError):
    """The text that an edit replaces is not in the source of its function."""


class Edit(NamedTuple):
    """In the source of `function`, `original` is replaced by `replacement`."""

    function: Callable[..., object]  # as read from its module or class
    original: str
    replacement: str

    def compiled(self, fault: str) -> CodeType:
        """The function's code after the edit. Raises EditError; `fault`: the name of the planted fault."""
        function = self.function
        source = textwrap.dedent(inspect.getsource(function))
        if self.original not in source:
            raise EditError(
                f"planting {fault!r}: the source of {function.__qualname__} has no {self.original!r}"
            )
        changed = source.replace(self.original, self.replacement)
        flags = __future__.annotations.compiler_flag
        names: dict[str, FunctionType] = {}
        exec(compile(changed, f"<{fault}>", "exec", flags=flags), function.__globals__, names)
        return names[function.__name__].__code__


class PlantedFault(NamedTuple):
    """`found_by`: names of the checks that may find it. `seed`: where it is found soonest, a hint."""

    name: str
    found_by: tuple[str, ...]
    edits: tuple[Edit, ...]
    seed: int
    nodes: int = 3
    kind: RunKind = RunKind.COMMON


@contextmanager
def planted(fault: PlantedFault) -> Iterator[None]:
    """The fault is in the code inside this block. Raises EditError."""
    before: list[tuple[Callable[..., object], CodeType]] = []
    try:
        for edit in fault.edits:
            code = edit.compiled(fault.name)
            before.append((edit.function, edit.function.__code__))
            edit.function.__code__ = code
        yield
    finally:
        for function, code in reversed(before):
            function.__code__ = code
