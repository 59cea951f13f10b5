"""The configuration: line-based, checked by a schema, refused whole with every mistake in one go."""
from gaproute.conf.charter import Charter, Mistakes, read_charter, read_hosts, read_peers, read_text
from gaproute.conf.moving import move, write_whole

__all__ = ["Charter", "Mistakes", "move", "read_charter", "read_hosts", "read_peers", "read_text",
           "write_whole"]
