"""Many gateways' decisions on one simulated clock, against stand-in hosts: no sockets and no protocol.

| module | what it does |
| --- | --- |
| `clock`, `world`, `terms` | the clock, the fleet with its messages and counts, its routing settings |
| `hosts`, `gateways`, `traffic` | stand-in hosts, gateways on the simulated clock, requests |
| `faults` | what goes wrong in a play |
| `measures`, `evenness` | how evenly hosts are loaded, and tables of plays |
| `follow`, `split_choice` | which points decided, and the policy's choice in parts |
| `oracles`, `candidates`, `smoothed`, `variants` | policies to compare, by name |
| `costs` | what a fleet costs its hosts |
| `warming_hosts`, `warming_gateways` | hosts that fall over while they warm up, and their gateways |
| `cold_days`, `cold_cases`, `cold_play`, `cold_results` | the plays of `benchmarks/cold.py` |
"""
