"""Counters, recent events and structured logs of a gateway."""
