"""What gateways tell each other of what they saw, and how far it is believed."""
