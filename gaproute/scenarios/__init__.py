"""Scripted days on loopback: gateways, hosts, a model store and clients as processes, with faults, judged.

| module | what it does |
| --- | --- |
| `script_lines`, `script` | the lines of a script, and reading one |
| `trial` | plays a script from its start to its result |
| `processes` | starts, commands and ends the processes of a day |
| `hosts`, `gateways`, `clients`, `host_list` | the parts of a day |
| `faults` | carries out the faults of a script |
| `service`, `result`, `result_table` | what the taps say in the end, and how it is printed |
| `bench_day` | converts a day file of the bench into a script |
"""
