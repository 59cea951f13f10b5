"""The size that the operators gave, as named constants, and what is assumed where they gave none."""

GATEWAYS = 16_000
INSTANCES = 2_500_000  # of functions, standing
FUNCTIONS = 390_000
CALLS = 3_100_000  # a second, in all
COLD_START = 440  # ms, the 99th percentile
REGIONS = 5
ZONES = 13
CHANGES = 46_000  # a day
CHANGE_WITHIN = 3  # seconds until a change counts everywhere
CONTROL_MACHINES = 35
MACHINE_FAILURES = 27  # a day
RESTARTS = 2_400  # a day

# What control may take of one gateway.
CONTROL_CPU = 0.018  # of a core
CONTROL_MEMORY = 32  # MB
CONTROL_BYTES = 4  # KB a second

# Assumed: the operators gave the number of instances, not of hosts.
INSTANCES_A_HOST = (20, 50, 100)
HOSTS_AT_20, HOSTS_AT_50, HOSTS_AT_100 = (INSTANCES // each for each in INSTANCES_A_HOST)
# Assumed: what decisions on calls may take of a gateway, which the control budget does not count.
CALLS_CPU = 1.0  # of a core

# What follows.
DAY = 86_400  # seconds
CALLS_A_GATEWAY = CALLS / GATEWAYS  # a second
CHANGES_A_SECOND = CHANGES / DAY
CALLS_MS = CALLS_CPU * 1_000  # of processor time a second
CONTROL_MS = CONTROL_CPU * 1_000  # of processor time a second
