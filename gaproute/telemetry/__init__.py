"""Counters, recent events and structured logs."""
