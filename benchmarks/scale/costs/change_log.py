"""The platform's change log: bytes of its events, and processor time to follow them."""

import msgspec

from benchmarks.scale.measurement import measure
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND, cpu_seconds, cpu_seconds_once
from gaproute.decisions.chance import Chance
from gaproute.discovery.changelog.members import MemberConverter
from gaproute.discovery.changelog.sse import EventReader
from gaproute.discovery.changelog.watcher import ChangeLogWatcher
from gaproute.loop import Loop
from gaproute.standins.platform.host_list import VersionedHostList, member

SIZES = (100, 400, 1_600, 6_400, 25_600)
CHANGES = (1, 4, 16, 64)
PIECE = 64 << 10  # bytes that one reading of the socket gives
CHANGED = 400  # changes that one play follows
CELL = 40  # hosts of a cell
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
NOWHERE = "127.0.0.1:9"  # never reached: the bytes are handed over without a socket
FOLLOWED = "bytes in pieces of 64 KiB to the follower, rows by the lister; sockets and decisions are not in"


def members(hosts, seed, state="active"):
    """Lines of the list, one a host."""
    return [
        member(
            f"host-{number:05}",
            f"10.{seed}.{number // 250}.{number % 250 + 1}:9001",
            state,
            cell=number // CELL,
        )
        for number in range(hosts)
    ]


def sent(event):
    """The event's bytes as the log sends them."""
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


class FollowedLog:
    """The follower and the lister of one gateway, handed bytes in place of a connection."""

    def __init__(self):
        self.loop = Loop()
        self.lister = MemberConverter(self.loop, ["hall-a"])
        self.rows = 0
        self.follower = ChangeLogWatcher(self.loop, NOWHERE, 0, self.told, Chance(1))
        self.follower.disconnect()
        self.follower.reader, self.follower.awaits_first_event = EventReader(), True
        self.feed(HEAD)

    def told(self, event):
        """Takes an event's rows."""
        self.rows += len(self.lister.endpoints(event.fleet))

    def feed(self, data):
        """Hands over what came, in pieces. Errors: RuntimeError where the follower would ask again."""
        for at in range(0, len(data), PIECE):
            self.follower.on_bytes(data[at : at + PIECE])
        if self.follower.last_error:
            raise RuntimeError(self.follower.last_error)

    def close(self):
        """Ends the follower."""
        self.follower.close()
        self.loop.close()


def whole_event(hosts, seed):
    """The bytes of a whole list."""
    return sent(VersionedHostList().change(*members(hosts, seed)))


def whole_bytes(hosts, seed):
    """Bytes of a whole list as an event."""
    return len(whole_event(hosts, seed))


def whole_cpu(hosts, seed):
    """Milliseconds of CPU to follow a whole list."""
    followed, data = FollowedLog(), whole_event(hosts, seed)
    spent = cpu_seconds_once(lambda: followed.feed(data))
    assert followed.rows == hosts
    followed.close()
    return spent * MS_PER_SECOND


def change_bytes(changed, seed):
    """Bytes of an event that tells so many changed hosts."""
    listing = VersionedHostList()
    listing.change(*members(changed, seed))
    return len(sent(listing.change(*members(changed, seed, "draining"))))


def change_cpu(hosts, seed):
    """Milliseconds of CPU to follow the change of one host among so many."""
    followed, listing = FollowedLog(), VersionedHostList()
    followed.feed(sent(listing.change(*members(hosts, seed))))
    drained = members(min(hosts, CHANGED), seed, "draining")
    events = iter([sent(listing.change(drained[number % len(drained)])) for number in range(CHANGED)])
    spent = cpu_seconds(lambda: [followed.feed(next(events)) for _ in range(CHANGED)], least=0)
    assert followed.rows == hosts + CHANGED
    followed.close()
    return spent / CHANGED * MS_PER_SECOND


def change_log_whole_bytes_by_hosts():
    """Measures the size of a whole list."""
    return measure(
        "change-log-whole-bytes-by-hosts",
        "bytes of the event that tells the whole list",
        "bytes",
        "hosts",
        SIZES,
        whole_bytes,
        "the body of the stream; its head comes once a connection",
    )


def change_log_whole_cpu_by_hosts():
    """Measures a whole list."""
    return measure(
        "change-log-whole-cpu-by-hosts",
        "CPU to follow an event that tells the whole list",
        "ms",
        "hosts",
        SIZES,
        whole_cpu,
        f"{FOLLOWED}. {CPU_TIME}",
    )


def change_log_change_bytes_by_changes():
    """Measures the size of a change."""
    return measure(
        "change-log-change-bytes-by-changes",
        "bytes of an event that tells changed hosts",
        "bytes",
        "hosts that changed at once",
        CHANGES,
        change_bytes,
        "the body of the stream; its head comes once a connection",
    )


def change_log_change_cpu_by_hosts():
    """Measures a change beside the size of the list."""
    return measure(
        "change-log-change-cpu-by-hosts",
        "CPU to follow the change of one host",
        "ms",
        "hosts",
        SIZES,
        change_cpu,
        f"the mean of {CHANGED} changes; {FOLLOWED}. {CPU_TIME}",
    )


MEASUREMENTS = {
    "change-log-whole-bytes-by-hosts": change_log_whole_bytes_by_hosts,
    "change-log-whole-cpu-by-hosts": change_log_whole_cpu_by_hosts,
    "change-log-change-bytes-by-changes": change_log_change_bytes_by_changes,
    "change-log-change-cpu-by-hosts": change_log_change_cpu_by_hosts,
}
