"""Fault injection for tests: system calls that fail by a script or by seeded chance.

No production module imports this package, and none is changed for it: inside a context manager the injector
replaces what a module calls the operating system through, and puts it back afterwards.

| module | what it does |
| --- | --- |
| `plan` | decides which call fails and how, and logs what was injected |
| `network` | the event loop's calls: sockets, epoll, pipes, and the wall clock |
| `disk` | the ledger's calls: files and folders |
"""
