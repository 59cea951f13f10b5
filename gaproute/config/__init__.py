"""The operator's configuration, checked by a schema; an invalid file is rejected with all its mistakes."""

from gaproute.config.configuration import Configuration
from gaproute.config.durable import write_file_atomically
from gaproute.config.errors import ConfigurationError, Mistake, NotDurableError
from gaproute.config.files import read_configuration, read_hosts, read_peers, read_text
from gaproute.config.migration import migrate

__all__ = [
    "Configuration",
    "ConfigurationError",
    "Mistake",
    "NotDurableError",
    "migrate",
    "read_configuration",
    "read_hosts",
    "read_peers",
    "read_text",
    "write_file_atomically",
]
