"""JSON objects of a cluster's harness: first lines of its processes, and what it writes down."""

from __future__ import annotations

from typing import Any

JsonObject = dict[str, Any]  # its keys depend on who reads it
