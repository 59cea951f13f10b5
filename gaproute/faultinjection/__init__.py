"""Fault injection for tests: system calls that fail by a script or by seeded chance.

No module of a gateway imports this package, and none is changed for it: inside a context manager, the
injector replaces the names by which modules call the operating system, and then puts the real ones back.

| module | what it does |
| --- | --- |
| `plan` | decides which call fails and how, and logs what was injected |
| `catalog` | the calls of the event loop, and how each of them may fail |
| `network` | installs the faults in the modules of a gateway |
| `sockets` | sockets and epolls whose calls fail |
| `disk` | a folder on a faulty disk, and what a crash leaves of it |
| `durability` | what of a file and of a directory is durable |
| `disk_faults` | how each call of a disk may fail |
| `kills` | at which call a process is killed |
| `faulty_os` | the stand-in for the module `os` |
| `play` | plays of a gateway under faults, judged by what its clients and hosts saw |
"""
