"""The platform's gateway process: JSON-RPC for clients, lines of JSON for hosts, hosts by a change log."""
