"""JSON objects that stand-ins exchange and record, where no `msgspec.Struct` gives their form."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

JsonObject = dict[str, Any]  # its keys depend on the kind of message: see docs/standins.md
# Writes an object as a line on the stand-in's standard output, for whoever started the process.
WriteLine = Callable[[Mapping[str, object]], object]
