"""The server for clients that call by JSON-RPC 2.0 over TCP; a header before each message has its length."""
