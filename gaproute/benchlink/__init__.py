"""Adapts the decisions to the bench's simulator: `python -m gaproute.benchlink` answers batches of lines."""
