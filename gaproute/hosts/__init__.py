"""Everything that goes out to hosts: relays, load orders, probes; and what their answers prove."""
