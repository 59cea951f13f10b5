"""Inputs of the decisions: the settings of a gateway at its start, then host lists and requests."""

from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request may run twice. The values appear in settings."""

    IDEMPOTENT = "pure"  # may run again
    IDEMPOTENT_WITH_KEY = "receipted"  # carries a key by which a group of hosts drops duplicates
    NON_IDEMPOTENT = "effectful"  # must never run twice


class IdempotencyScope(Enum):
    """Which hosts recognize each other's idempotency keys: all hosts, or those of one zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListedHostState(Enum):
    """The state of a host in the host list; only active hosts get new requests."""

    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"


class RequestClass(NamedTuple):
    """Requests with the same limits, priority weight and idempotency."""

    idempotency: Idempotency
    idempotency_scope: IdempotencyScope
    deduplication_window: int  # how long hosts remember an idempotency key, ns
    latency_objective: int  # time within which an answer has its full value, ns
    hard_limit: int  # time within which the final answer is due, ns
    priority_weight: float  # the value of an answer


class RoutingSettings(NamedTuple):
    """The settings of the routing decisions, passed to a gateway once when it starts."""

    request_classes: tuple[RequestClass, ...]
    tenant_shares: tuple[float, ...]  # by tenant, the share of all requests that it may send at full value
    over_share_value: float  # factor on the value of a tenant's requests above its share
    keep_alive: int  # minimum time that an idle instance stays loaded, ns
    load_orders_allowed: bool
    load_orders_free: float  # load orders allowed within the window regardless of requests
    load_order_share: float  # further load orders allowed for each request accepted within the window
    load_order_window: int  # window of the limit on load orders, ns; 0 for no limit
    same_function_counted: bool  # whether hosts report `Outcome.same_function_requests`
    warmth_reported: bool  # whether hosts report `Outcome.found`
    probes_allowed: bool
    reports_by_probe: bool  # whether load reports come only in answer to probes
    reported_figures: tuple[str, ...]  # fields of `HostLoadReport` that probes return
    probe_price: float  # cost of one probe or load order for each request, as a share of the result
    peer_price: float  # cost of 256 bytes to another gateway for each request, as a share of the result
    peers_allowed: bool  # whether gateways may send each other messages
    gateways: int  # number of gateways that serve the same hosts
    cancel_allowed: bool
    hedging_allowed: bool  # whether two attempts of a request may be in flight at once
    attempt_limit: int
    retry_after_limit: int  # longest Retry-After that clients respect, ns; 0 if none is sent
    warm_up_share: float  # least share of its capacity that a host has when it starts
    warm_up_time: int  # time from its start until a host has its whole capacity, ns
    host_list_polled: bool  # whether the host list comes only in answer to polls
    zone: int  # zone of this gateway, numbered as in the host list; -1 if unknown
    crossing_price: float  # cost of one attempt in another zone for each request, as a share of the result
    warm_up_overload: float = 2.0  # a host that warms up fails at this multiple of the load it can handle


class ListedHost(NamedTuple):
    """A host as described by the host list."""

    host: str  # id
    zone: int
    cell: int
    state: ListedHostState
    capacity: float
    started: int | None  # wall-clock time of its last start, ns


class Request(NamedTuple):
    """A client's request as the decisions see it."""

    id: str
    tenant: int
    time_left: int  # time until the final answer is due, ns
    function: str
    lanes: int  # requests that one instance runs at a time
    load_time: int | None  # usual time of a load if known, ns
    request_class: int  # index in `RoutingSettings.request_classes`
