"""The front for JSON-RPC 2.0 over TCP, where a header with its length goes before each message."""
