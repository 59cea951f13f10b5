"""Decides on the reuse of connections to hosts and on their share of descriptors; performs no I/O."""
