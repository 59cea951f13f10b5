"""The appliance's host file: bytes of the list, and processor time to follow it."""

import tempfile
from collections.abc import Collection
from pathlib import Path

from benchmarks.scale.deferred import deferred
from benchmarks.scale.measurement import Measurements
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND, cpu_seconds_once
from gaproute.config.directives.fleet import HostLine
from gaproute.config.errors import Mistake
from gaproute.decisions.connections.pooling import ConnectionReusePolicy
from gaproute.discovery.file_watch import FileWatch
from gaproute.discovery.host_lines import HostLineConverter
from gaproute.hosts.kserve.client import KServeClient
from gaproute.loop import Loop

SIZES = (100, 400, 1_600, 6_400, 25_600)
LOOK = 50_000_000  # ns between two looks at the file, the configuration's default
RACK = 40  # hosts of a rack
PARAMETER = "hosts"
FOLLOWED = (
    "read by FileWatch, made rows by Listing, told to the host connections; the decisions' part is not in"
)


def host_list(hosts: int, seed: int) -> str:
    """The text of a list, one line a host; `seed` shifts the addresses."""
    return "\n".join(line(number, seed, "active") for number in range(hosts)) + "\n"


def line(number: int, seed: int, state: str) -> str:
    """The line of one host."""
    address = f"10.{seed}.{number // 250}.{number % 250 + 1}:9001"
    rack = number // RACK
    return (
        f"host host-{number:05} {address} zone hall-{rack % 3} rack rack-{rack:04} capacity 4 state {state}"
    )


class FollowedList:
    """A host file in a folder of its own, followed as a running gateway does."""

    def __init__(self, hosts: int, seed: int) -> None:
        self.hosts, self.seed = hosts, seed
        self.folder = tempfile.TemporaryDirectory(prefix="host-list-")
        self.path = Path(self.folder.name, "hosts.list")
        self.path.write_text(host_list(hosts, seed))
        self.loop = Loop()
        self.listing = HostLineConverter(self.loop)
        self.connections = KServeClient(self.loop, ConnectionReusePolicy())
        self.lists = 0
        self.watch: FileWatch | None = None

    def read_first(self) -> None:
        """Begin to watch, which reads the complete list."""
        self.watch = FileWatch(self.loop, self.path, LOOK, self.on_change, self.on_rejected)

    def change_one(self) -> None:
        """Write the list anew with one host draining, without reading it."""
        changed = host_list(self.hosts, self.seed).replace("state active", "state draining", 1)
        self.path.write_text(changed)

    def on_change(self, lines: Collection[HostLine]) -> None:
        """Put a complete list in force."""
        self.lists += 1
        self.connections.update(self.listing.endpoints(lines), complete=True)

    def on_rejected(self, mistakes: list[Mistake]) -> None:
        """Raise: the list is this module's own, and a mistake in it is one of the measurement."""
        raise AssertionError(mistakes)

    def close(self) -> None:
        """Close the watch and remove the file."""
        if self.watch is not None:
            self.watch.close()
        self.connections.close()
        self.loop.close()
        self.folder.cleanup()


def list_bytes(hosts: int, seed: int) -> float:
    """Bytes of the list."""
    return len(host_list(hosts, seed).encode())


def first_read_cpu(hosts: int, seed: int) -> float:
    """Milliseconds of CPU of the first reading."""
    followed = FollowedList(hosts, seed)
    spent = cpu_seconds_once(followed.read_first)
    assert followed.lists == 1
    assert len(followed.connections.hosts) == hosts
    followed.close()
    return spent * MS_PER_SECOND


def changed_line(hosts: int, seed: int) -> float:
    """Milliseconds of CPU to follow a list of which one line changed."""
    followed = FollowedList(hosts, seed)
    followed.read_first()
    followed.change_one()
    assert followed.watch is not None
    spent = cpu_seconds_once(followed.watch.check)
    assert followed.lists == 2
    followed.close()
    return spent * MS_PER_SECOND


MEASUREMENTS: Measurements = {
    **deferred(
        "host-list-bytes-by-hosts",
        "bytes of the host file",
        "bytes",
        PARAMETER,
        SIZES,
        list_bytes,
        "a line names zone, rack, capacity and state",
    ),
    **deferred(
        "host-list-read-cpu-by-hosts",
        "CPU to read a whole host file at a start",
        "ms",
        PARAMETER,
        SIZES,
        first_read_cpu,
        f"{FOLLOWED}. {CPU_TIME}",
    ),
    **deferred(
        "host-list-change-cpu-by-hosts",
        "CPU to follow a host file of which one line changed",
        "ms",
        PARAMETER,
        SIZES,
        changed_line,
        f"{FOLLOWED}. {CPU_TIME}",
    ),
}
