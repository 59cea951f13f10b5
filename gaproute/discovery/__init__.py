"""Where the list of hosts comes from."""
