"""The platform's change log: bytes of its events, and processor time to follow them."""

import msgspec

from benchmarks.scale.deferred import deferred
from benchmarks.scale.measurement import Measurements
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND, cpu_seconds, cpu_seconds_once
from gaproute.decisions.chance import RandomGenerator
from gaproute.discovery.changelog.events import Event
from gaproute.discovery.changelog.members import MemberConverter
from gaproute.discovery.changelog.sse import EventReader
from gaproute.discovery.changelog.watcher import ChangeLogWatcher
from gaproute.loop import Loop
from gaproute.standins.platform.host_list import ChangeEvent, ListedMember, VersionedHostList, member

SIZES = (100, 400, 1_600, 6_400, 25_600)
CHANGES = (1, 4, 16, 64)
PIECE = 64 << 10  # bytes that one reading of the socket gives
CHANGED = 400  # changes that one play follows
CELL = 40  # hosts of a cell
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
NOWHERE = "127.0.0.1:9"  # never reached: the bytes are handed over without a socket
FOLLOWED = "bytes in pieces of 64 KiB to the follower, rows by the lister; sockets and decisions are not in"


def members(hosts: int, seed: int, state: str = "active") -> list[ListedMember]:
    """Members of the list, one a host."""
    return [
        member(
            f"host-{number:05}",
            f"10.{seed}.{number // 250}.{number % 250 + 1}:9001",
            state,
            cell=number // CELL,
        )
        for number in range(hosts)
    ]


def sent(event: ChangeEvent) -> bytes:
    """The event's bytes as the log sends them."""
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


class FollowedLog:
    """The follower and the lister of one gateway, handed bytes in place of a connection."""

    def __init__(self) -> None:
        self.loop = Loop()
        self.lister = MemberConverter(self.loop, ["hall-a"])
        self.rows = 0
        self.follower = ChangeLogWatcher(self.loop, NOWHERE, 0, self.on_event, RandomGenerator(1))
        self.follower.disconnect()
        self.follower.reader, self.follower.awaits_first_event = EventReader(), True
        self.feed(HEAD)

    def on_event(self, event: Event) -> None:
        """Convert an event's members."""
        self.rows += len(self.lister.endpoints(event.fleet))

    def feed(self, data: bytes) -> None:
        """Hand over what arrived, in pieces.

        Raises RuntimeError where the follower would have to connect again.
        """
        for at in range(0, len(data), PIECE):
            self.follower.on_bytes(data[at : at + PIECE])
        if self.follower.last_error:
            raise RuntimeError(self.follower.last_error)

    def close(self) -> None:
        """Close the follower."""
        self.follower.close()
        self.loop.close()


def complete_list_event(hosts: int, seed: int) -> bytes:
    """The event of a complete list, as bytes."""
    return sent(VersionedHostList().change(*members(hosts, seed)))


def complete_list_bytes(hosts: int, seed: int) -> float:
    """Bytes of a complete list as an event."""
    return len(complete_list_event(hosts, seed))


def complete_list_cpu(hosts: int, seed: int) -> float:
    """Milliseconds of CPU to follow a complete list."""
    followed, data = FollowedLog(), complete_list_event(hosts, seed)
    spent = cpu_seconds_once(lambda: followed.feed(data))
    assert followed.rows == hosts
    followed.close()
    return spent * MS_PER_SECOND


def change_bytes(changed: int, seed: int) -> float:
    """Bytes of an event with so many changed hosts."""
    listing = VersionedHostList()
    listing.change(*members(changed, seed))
    return len(sent(listing.change(*members(changed, seed, "draining"))))


def change_cpu(hosts: int, seed: int) -> float:
    """Milliseconds of CPU to follow the change of one host among so many."""
    followed, listing = FollowedLog(), VersionedHostList()
    followed.feed(sent(listing.change(*members(hosts, seed))))
    drained = members(min(hosts, CHANGED), seed, "draining")
    events = iter([sent(listing.change(drained[number % len(drained)])) for number in range(CHANGED)])

    def feed_all() -> None:
        for event in events:
            followed.feed(event)

    spent = cpu_seconds(feed_all, least=0)
    assert followed.rows == hosts + CHANGED
    followed.close()
    return spent / CHANGED * MS_PER_SECOND


MEASUREMENTS: Measurements = {
    **deferred(
        "change-log-whole-bytes-by-hosts",
        "bytes of the event that tells the whole list",
        "bytes",
        "hosts",
        SIZES,
        complete_list_bytes,
        "the body of the stream; its head comes once a connection",
    ),
    **deferred(
        "change-log-whole-cpu-by-hosts",
        "CPU to follow an event that tells the whole list",
        "ms",
        "hosts",
        SIZES,
        complete_list_cpu,
        f"{FOLLOWED}. {CPU_TIME}",
    ),
    **deferred(
        "change-log-change-bytes-by-changes",
        "bytes of an event that tells changed hosts",
        "bytes",
        "hosts that changed at once",
        CHANGES,
        change_bytes,
        "the body of the stream; its head comes once a connection",
    ),
    **deferred(
        "change-log-change-cpu-by-hosts",
        "CPU to follow the change of one host",
        "ms",
        "hosts",
        SIZES,
        change_cpu,
        f"the mean of {CHANGED} changes; {FOLLOWED}. {CPU_TIME}",
    ),
}
