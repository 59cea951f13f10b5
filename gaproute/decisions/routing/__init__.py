"""The decisions on requests: which host gets each, when it is retried, when it is rejected.

A caller makes one `Gateway` for each gateway and drives its generators: `serve`, one for each request, leads
from acceptance to the one final answer; `housekeep` polls, probes and cleans up. The generators yield actions
and are resumed with the outcomes; host lists and the ends of probes and load orders come in through methods.
All types are in `gaproute/interface`; `docs/design.md` describes the usual course of a request and each
exception from it. Every time is handed in by the caller, in nanoseconds.

`gateway.py` makes the parts; each part owns its state and is given the other parts that it needs:

- tables: `host_table`, `functions`, `function_mix`, `ranking`;
- measurements: `answer_times`, `host_loads`, `outlier_detector`, `silent_zones`, `throughput`;
- limits: `retry_rules`, `slow_start`, `load_order_limiter`, `load_orders`, `load_shedder`;
- the choice of a host: `candidates`, `scorer`, `host_selector`;
- requests: `request_router`, `request_attempts`, `attempt_tracker`, `outcome_recorder`;
- exchange with other gateways, and upkeep: `hints`, `observations`, `load_report_sharing`, `housekeeping`.
"""

from gaproute.decisions.routing.gateway import Gateway

__all__ = ["Gateway"]
