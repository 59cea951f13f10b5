"""The adapter for the bench's simulator: `python -m gaproute.benchlink` answers batches of its protocol."""
