"""Decisions on connections of clients and on restarts, without I/O: clock and randomness are handed in."""
