"""The configuration: line-based, checked by a schema, refused whole with every mistake in one go."""

from gaproute.config.configuration import Configuration
from gaproute.config.files import read_configuration, read_hosts, read_peers, read_text
from gaproute.config.migration import NotDurableError, move, write_whole
from gaproute.config.parsing import ConfigurationError

__all__ = [
    "Configuration",
    "ConfigurationError",
    "NotDurableError",
    "move",
    "read_configuration",
    "read_hosts",
    "read_peers",
    "read_text",
    "write_whole",
]
