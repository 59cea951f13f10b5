"""Everything that goes out to hosts: attempts, load orders and probes, and what their answers prove."""
