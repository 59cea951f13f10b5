"""What a gateway is told: once, when it starts, and by lists and tasks."""

from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    IDEMPOTENT = "pure"  # may run again
    IDEMPOTENT_WITH_KEY = "receipted"  # carries a mark by which a group of workers drops repeats
    NON_IDEMPOTENT = "effectful"  # must never run twice


class Group(Enum):
    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"


class RequestClass(NamedTuple):
    effect: Idempotency
    group: Group
    repeat_window: int  # how long the group remembers a receipted task
    contract_time: int
    hard_limit: int
    earnings: float


class Terms(NamedTuple):
    """What a gateway is told once, when it starts."""

    tracks: tuple[RequestClass, ...]
    tenant_shares: tuple[float, ...]
    over_share_value: float
    keep_alive: int  # an idle copy stays at least this long
    orders_allowed: bool
    order_free: float  # the load ration: so many orders,
    order_share: float  # plus this share of the tasks taken,
    order_window: int  # within this time; 0: no ration
    counts_alike: bool
    notes_warmth: bool
    probes_allowed: bool
    reports_by_probe: bool
    reported: tuple[str, ...]  # figures of `Report` that probes tell
    probe_price: float  # share of the result that one probe or order for each task takes,
    peer_price: float  # and 256 bytes to another gateway
    peers_allowed: bool  # gateways may send each other such messages
    gateways: int  # in the tier
    cancel_allowed: bool
    twins_allowed: bool  # two relays of a task may be out at once
    relay_limit: int
    advice_limit: int  # longest stay-away that clients heed; 0: they are given none
    cold_share: float  # a worker that starts can do at least this share,
    cold_time: int  # and all of it after this time
    must_ask_list: bool
    zone: int  # of this gateway, as the list numbers them; -1: not told
    crossing_price: float  # share of the result that relays to other zones take, one for each task
    cold_multiple: float = 2.0  # of what it can do, the load that pushes a cold worker over


class ListedHost(NamedTuple):
    """A worker as the list shows it."""

    worker: str
    zone: int
    cell: int
    state: State
    capacity: float
    started: int | None  # clock time of its last start


class Task(NamedTuple):
    id: str
    tenant: int
    time_left: int
    function: str
    lanes: int  # tasks that one copy runs at a time
    load_time: int | None  # usual time of a load, where told
    track: int
