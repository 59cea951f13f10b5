"""What gateways report to each other about hosts and functions, and how far they rely on it; no I/O."""
