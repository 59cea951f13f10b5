"""The adapter of the bench's simulator: `python -m gaproute.benchlink` answers batches of its wire."""
