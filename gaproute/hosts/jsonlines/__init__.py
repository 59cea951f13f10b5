"""Hosts that take commands as lines of JSON, many on one connection."""
