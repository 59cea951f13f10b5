"""Routing decisions: which host gets a request, and when the request is retried or rejected.

A driver creates one `Gateway` for each gateway and drives its generators: `serve`, one for each request, from
acceptance to the one final answer; `housekeep`, which polls, probes and cleans up. The generators yield
actions and are resumed with outcomes; methods take host lists and the ends of probes and load orders. All
types are in `gaproute/interface`; `docs/design.md` describes the usual course of a request and each exception
from it. The driver passes every time as an argument, in nanoseconds.

`gateway.py` creates the parts. Each part owns its state and is given the other parts that it needs:

- tables: `host_table`, `functions`, `function_mix`, `ranking`;
- measurements: `answer_times`, `host_loads`, `outlier_detector`, `silent_zones`, `throughput`;
- limits: `retry_rules`, `slow_start`, `load_order_limiter`, `load_orders`, `load_shedder`;
- host selection: `candidates`, `scorer`, `host_selector`;
- requests: `request_router`, `request_attempts`, `attempt_tracker`, `outcome_recorder`;
- exchange with other gateways: `hints`, `observations`, `load_report_sharing`;
- polls, probes and cleanup: `housekeeping`.
"""

from gaproute.decisions.routing.gateway import Gateway

__all__ = ["Gateway"]
