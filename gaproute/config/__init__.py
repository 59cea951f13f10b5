"""The configuration: line-based, checked by a schema, refused whole with every mistake in one go."""

from gaproute.config.charter import Charter
from gaproute.config.lines import Mistakes
from gaproute.config.moving import NotDurableError, move, write_whole
from gaproute.config.reading import read_charter, read_hosts, read_peers, read_text

__all__ = [
    "Charter",
    "Mistakes",
    "NotDurableError",
    "move",
    "read_charter",
    "read_hosts",
    "read_peers",
    "read_text",
    "write_whole",
]
