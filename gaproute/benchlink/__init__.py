"""The bench's wire: `python -m gaproute.benchlink` reads batches on stdin and answers on stdout."""
