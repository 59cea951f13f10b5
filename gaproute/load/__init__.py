"""A load generator for HTTP: many open connections, open-loop arrivals, reconnect storms and slow clients.

What is played is a script of lines (`docs/load.md`); all chance comes from one seed.

| module | what it does |
| --- | --- |
| `script` | reads and checks a script |
| `generator` | plays a script on an event loop |
| `connection` | one open connection and the requests in flight on it |
| `connector` | opens connections, a bounded number at once |
| `traffic` | what one `traffic` line has in play: idle connections, waiting arrivals, deadlines |
| `slow_clients` | clients that send or read a byte at a time |
| `requests` | the bytes of requests |
| `results` | outcomes and latencies, and the file that keeps them |
"""

from gaproute.load.generator import LoadGenerator
from gaproute.load.results import LoadResult, ResultFileError, read_result, summary_rows
from gaproute.load.script import LoadScript, read_load_script

__all__ = [
    "LoadGenerator",
    "LoadResult",
    "LoadScript",
    "ResultFileError",
    "read_load_script",
    "read_result",
    "summary_rows",
]
