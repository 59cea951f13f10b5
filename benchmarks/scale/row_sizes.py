"""Sizes and factors that the rows of the budget share; what is assumed is said."""

from benchmarks.scale import size

KEEP_ALIVE = 10  # seconds; a function is forgotten four of them after its last call
FUNCTIONS_KNOWN = min(size.FUNCTIONS, 4 * KEEP_ALIVE * size.CALLS_A_GATEWAY)  # each call of another function
BYTES_TO_MB = 1 / (1 << 20)
BYTES_TO_KB = 1 / (1 << 10)
SECONDS_TO_MINUTES = 1 / 60
HOSTS = size.HOSTS_AT_20
HOST_CHANGES_A_SECOND = 2 * (size.RESTARTS + size.MACHINE_FAILURES) / size.DAY  # gone, and back
DEMAND_LIFE = 120  # seconds that received demand counts
MEMBERS_CAP = 4_096  # gateways that membership has room for
LEASES = 100  # held by them at a time
CELLS_OF_FLEET = 490  # at 256 hosts each
HOSTS_OF_CELL = 256
CELLS_KNOWN = 5  # by a gateway; as each names fewer hosts than these by its table, more than a view holds
KNOWN_CHANGES_A_SECOND = size.CHANGES_A_SECOND * CELLS_KNOWN / CELLS_OF_FLEET  # of hosts of cells known
MS_TO_US = 1_000

CONNECTIONS = size.HOSTS_AT_20  # open to hosts, were each host reached by each gateway itself
PROBES_A_SECOND = HOSTS / 0.7  # of each host every 700 ms, as where reports come by probe only

PATH, CONTROL, CELLS, RAFT = "path", "control", "cells", "raft"
WHOLE_LIST = "every gateway holds the whole list"
