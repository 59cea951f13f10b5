"""The platform's gateway process: JSON-RPC to clients, JSON lines to hosts, host list from a change log."""
