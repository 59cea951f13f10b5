"""Decisions for a fleet divided into cells: which cells a gateway knows, and which cell a request goes to.

A cell has some tens to hundreds of hosts of one zone. Every gateway has the small table of all cells
(`table`, `change`). From it, without asking other gateways, all gateways compute the same home cells for each
function (`homes`). A gateway has the host lists of a few cells only (`views`), and reaches all other cells
through gateways that have their host lists. This package does no I/O: callers pass in the time, a source of
random numbers, tables and host lists.
"""
