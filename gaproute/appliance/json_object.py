"""The type of what operators read at the operators' address."""

from typing import Any

JsonObject = dict[str, Any]  # plain data for JSON
