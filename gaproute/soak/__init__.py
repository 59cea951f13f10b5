"""Soak: one platform gateway as a real process under hostile peers, judged from what the peers saw.

| module | what it does |
| --- | --- |
| `plan` | draws a soak from its seed: limits, faults of clients, hosts and change log, signals |
| `addresses`, `deployment`, `messages` | the addresses, the configuration and the clients' messages |
| `gateway_process` | starts, signals and measures the gateway process |
| `hosts`, `change_log` | the hosts and the change log, in a process of their own |
| `usual_clients` | clients that follow the protocol and note what becomes of each request |
| `client_connection` | one connection of such a client |
| `hostile_clients` | clients that break the protocol or exhaust limits, a process for each kind |
| `departing_clients` | clients that leave before their answer and send the same id again |
| `verdict` | compares what the peers saw with the rules and the limits |
| `soak` | plays a plan |

All traffic is on loopback, and every process ends with its plan. Times are seconds of the
monotonic clock, which all processes of a machine share.
"""
