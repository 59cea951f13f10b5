"""Decides what gateways report to each other on hosts and functions and how they use it; performs no I/O."""
