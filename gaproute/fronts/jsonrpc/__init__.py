"""Clients that call by JSON-RPC 2.0 over TCP, each message behind a head with its length."""
