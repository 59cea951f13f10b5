"""One gateway of the platform: JSON-RPC for clients, lines of JSON for hosts, the change log for the list."""
