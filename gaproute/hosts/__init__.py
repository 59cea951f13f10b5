"""Everything that goes out to hosts: relays, load orders, probes; and what their answers prove."""
from gaproute.hosts.fleet import Hosts, Row

__all__ = ["Hosts", "Row"]
