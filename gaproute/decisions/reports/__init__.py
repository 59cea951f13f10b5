"""What gateways tell each other of what they observed, and how far it is believed; no I/O."""
