"""Decisions on connections to hosts, without I/O: their reuse, and their share of descriptors."""
