"""The type of the JSON objects served at the operators' address."""

from typing import Any

JsonObject = dict[str, Any]  # plain data that JSON can encode
