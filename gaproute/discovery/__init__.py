"""Where the list of hosts comes from."""
from gaproute.discovery.listing import FileWatch, Listing

__all__ = ["FileWatch", "Listing"]
