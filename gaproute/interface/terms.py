"""What a gateway is given: its terms once, when it starts; then host lists and requests."""

from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request may run twice; the values are those of settings."""

    IDEMPOTENT = "pure"  # may run again
    IDEMPOTENT_WITH_KEY = "receipted"  # carries a key by which a group of hosts drops repeats
    NON_IDEMPOTENT = "effectful"  # must never run twice


class IdempotencyScope(Enum):
    """Which hosts know each other's idempotency keys: all, or those that share the named field."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListedHostState(Enum):
    """Whether a host may get requests, by the host list."""

    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"


class RequestClass(NamedTuple):
    """Requests with the same limits, priority weight and idempotency."""

    idempotency: Idempotency
    idempotency_scope: IdempotencyScope
    deduplication_window: int  # how long the group remembers an idempotency key, ns
    latency_objective: int  # within which an answer has its full value, ns
    hard_limit: int  # within which the final answer is owed, ns
    priority_weight: float  # the value of an answer


class RoutingSettings(NamedTuple):
    """What a gateway is given once, when it starts."""

    request_classes: tuple[RequestClass, ...]
    tenant_shares: tuple[float, ...]
    over_share_value: float  # factor on the value of requests that a tenant sends above its share
    keep_alive: int  # an idle instance stays loaded at least this long, ns
    load_orders_allowed: bool
    load_orders_free: float  # load orders allowed within the window, whatever the requests,
    load_order_share: float  # and further ones for each request that was taken within it
    load_order_window: int  # the time in which load orders are limited, ns; 0: no limit
    same_function_counted: bool  # hosts report `Outcome.same_function_requests`
    warmth_reported: bool  # hosts report `Outcome.found`
    probes_allowed: bool
    reports_by_probe: bool  # load reports come in answer to probes only
    reported_figures: tuple[str, ...]  # fields of `Report` that probes bring
    probe_price: float  # share of the result that one probe or load order for each request costs
    peer_price: float  # share of it that 256 bytes to another gateway for each request cost
    peers_allowed: bool  # gateways may send each other messages
    gateways: int  # how many gateways serve the same hosts
    cancel_allowed: bool
    hedging_allowed: bool  # two attempts of a request may be in flight at once
    attempt_limit: int
    retry_after_limit: int  # longest Retry-After that clients follow, ns; 0: clients are sent none
    warm_up_share: float  # a host that starts can do at least this share of its work,
    warm_up_time: int  # and all of it after this time, ns
    host_list_polled: bool  # the host list comes only when it is asked for
    zone: int  # of this gateway, numbered as in the host list; -1: unknown
    crossing_price: float  # share of the result that one attempt in another zone for each request costs
    warm_up_overload: float = 2.0  # a warming host fails at this multiple of the load that it can bear


class ListedHost(NamedTuple):
    """A host as the list shows it."""

    host: str
    zone: int
    cell: int
    state: ListedHostState
    capacity: float
    started: int | None  # clock time of its last start, ns


class Request(NamedTuple):
    """A request of a client, as the decisions see it."""

    id: str
    tenant: int
    time_left: int  # until the final answer is owed, ns
    function: str
    lanes: int  # requests that one instance runs at a time
    load_time: int | None  # usual time of a load, where known, ns
    request_class: int  # index in `Terms.request_classes`
