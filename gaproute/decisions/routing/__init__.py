"""Every decision on the ordinary path of a request.

A caller makes one `Gateway` for each gateway and drives its generators: `serve`, one for each request, leads
from acceptance to the one final answer; `housekeep` polls, probes and cleans up. They yield actions and are
resumed with what came of them; lists and the ends of probes and load orders come in through methods. All
types are in `gaproute/interface`, the ordinary path and each exception to it in `docs/design.md`. The clock
is the one handed in, in nanoseconds.

`gateway.py` makes the parts; each of them owns its state and is given those that it needs:

- tables: `host_table`, `functions`, `function_mix`, `ranking`;
- measurements: `answer_times`, `host_loads`, `outlier_detector`, `silent_zones`, `throughput`;
- limits: `retry_rules`, `slow_start`, `load_order_limiter`, `load_orders`, `load_shedder`;
- the choice of a host: `candidates`, `scorer`, `host_selector`;
- requests: `request_router`, `request_attempts`, `attempt_tracker`, `outcome_recorder`;
- beside them: `hints`, `observations`, `load_report_sharing`, `housekeeping`.
"""

from gaproute.decisions.routing.gateway import Gateway

__all__ = ["Gateway"]
