"""The client of hosts that take commands as JSON Lines, many at once on a connection."""
