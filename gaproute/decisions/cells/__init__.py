"""Decisions for a fleet divided into cells: which cells a gateway knows, and which cell a request goes to.

A cell is some tens to hundreds of hosts of one zone. Every gateway has the small table of all cells (`table`,
`change`) and computes from it, alone, the same home cells of each function (`homes`). It has the host lists
of a few cells only (`views`) and reaches all others through the gateways that know them. No I/O here: time
and random numbers are handed in, tables and host lists come through methods.
"""
