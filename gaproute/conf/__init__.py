"""The configuration: line-based, checked by a schema, refused whole with every mistake in one go."""
from gaproute.conf.charter import Charter, Mistakes, read_charter, read_hosts, read_peers

__all__ = ["Charter", "Mistakes", "read_charter", "read_hosts", "read_peers"]
