"""Plays of a fleet of cells on a simulated clock: many gateways, hosts that keep copies, and counts."""
