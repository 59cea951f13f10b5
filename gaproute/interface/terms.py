"""What a gateway is given: its terms once, when it starts; then host lists and requests."""

from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request may run twice; the values are those of settings."""

    IDEMPOTENT = "pure"  # may run again
    IDEMPOTENT_WITH_KEY = "receipted"  # carries a key by which a group of hosts drops repeats
    NON_IDEMPOTENT = "effectful"  # must never run twice


class Group(Enum):
    """The hosts that know each other's idempotency keys; a value but `all` is a field of hosts."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """Whether a host may get requests, by the host list."""

    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"


class RequestClass(NamedTuple):
    """Requests with the same limits, worth and idempotency."""

    idempotency: Idempotency
    group: Group
    repeat_window: int  # how long the group remembers an idempotency key, ns
    latency_objective: int  # within which an answer earns its full worth, ns
    hard_limit: int  # within which the final answer is owed, ns
    priority_weight: float  # the worth of an answer


class Terms(NamedTuple):
    """What a gateway is given once, when it starts."""

    request_classes: tuple[RequestClass, ...]
    tenant_shares: tuple[float, ...]
    over_share_value: float  # by which the worth of a tenant's requests over its share is multiplied
    keep_alive: int  # an idle instance stays loaded at least this long, ns
    load_orders_allowed: bool
    load_orders_free: float  # the load order limit: so many orders,
    load_order_share: float  # plus this share of the requests taken,
    load_order_window: int  # within this time, ns; 0: no limit
    same_function_counted: bool  # hosts report `Outcome.same_function_requests`
    warmth_reported: bool  # hosts report `Outcome.found`
    probes_allowed: bool
    reports_by_probe: bool  # load reports come in answer to probes only
    reported_figures: tuple[str, ...]  # fields of `Report` that probes bring
    probe_price: float  # share of the result that one probe or load order for each request takes,
    peer_price: float  # and 256 bytes to another gateway
    peers_allowed: bool  # gateways may send each other such messages
    gateways: int  # in the tier
    cancel_allowed: bool
    hedging_allowed: bool  # two attempts of a request may be in flight at once
    attempt_limit: int
    retry_after_limit: int  # longest Retry-After that clients heed, ns; 0: they get none
    warm_up_share: float  # a host that starts can do at least this share of its work,
    warm_up_time: int  # and all of it after this time, ns
    host_list_polled: bool  # the host list comes only when it is asked for
    zone: int  # of this gateway, as the list numbers them; -1: unknown
    crossing_price: float  # share of the result that attempts in other zones take, one for each request
    warm_up_overload: float = 2.0  # multiple of what a host that warms up can do under which it falls over


class ListedHost(NamedTuple):
    """A host as the list shows it."""

    host: str
    zone: int
    cell: int
    state: State
    capacity: float
    started: int | None  # clock time of its last start, ns


class Request(NamedTuple):
    """What a client wants run."""

    id: str
    tenant: int
    time_left: int  # until the final answer is owed, ns
    function: str
    lanes: int  # requests that one instance runs at a time
    load_time: int | None  # usual time of a load, where known, ns
    request_class: int  # index in `Terms.request_classes`
