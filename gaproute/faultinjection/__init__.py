"""Fault injection for tests: system calls that fail by a script or by seeded chance.

No production module imports this package, and none is changed for it: inside a context manager the injector
replaces what a module calls the operating system through, and puts it back afterwards.

| module | what it does |
| --- | --- |
| `plan` | decides which call fails and how, and logs what was injected |
| `disk` | the storage modules' calls: files and folders, with what a crash leaves of them |
| `durability` | what of a file and of a directory is durable |
| `disk_faults` | how each call of a disk may fail |
| `kills` | at which call the process ends |
| `faulty_os` | the stand-in for the module `os` |
"""
