"""Every decision on a task's ordinary path.

A caller makes one `Gateway` for each gateway and drives its generators: `serve`, one for each task, reads
from acceptance to the one final answer; `housekeep` probes and tidies. They yield wishes and are resumed with
what came of them; lists, probe answers and order answers come in through methods. All types are in
`gaproute/interface`, the ordinary path and each exception to it in `docs/design.md`. The clock is the one
handed in, in nanoseconds.

The rooms stand on each other, each a class that knows only those before it: `known`, `measures`, `hints`,
`allowed`, `score`, `wait`, `booked`, `task`, `tidy`. Beside them `beliefs`, `ration`, `sharing`.
"""

from gaproute.decisions.routing.tidy import Gateway

__all__ = ["Gateway"]
