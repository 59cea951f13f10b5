"""The appliance's host file: bytes of the list, and processor time to follow it."""

import tempfile
from pathlib import Path

from benchmarks.scale.measurement import measure
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND, cpu_seconds_once
from gaproute.decisions.connections.pooling import Pooling
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


def host_list(hosts, seed):
    """The text of a list, one line a host; `seed` shifts the addresses."""
    return "\n".join(line(number, seed, "active") for number in range(hosts)) + "\n"


def line(number, seed, state):
    """The line of one host."""
    address = f"10.{seed}.{number // 250}.{number % 250 + 1}:9001"
    rack = number // RACK
    return (
        f"host host-{number:05} {address} zone hall-{rack % 3} rack rack-{rack:04} capacity 4 state {state}"
    )


class FollowedList:
    """A host file in a folder of its own, followed as a running gateway does."""

    def __init__(self, hosts, seed):
        self.hosts, self.seed = hosts, seed
        self.folder = tempfile.TemporaryDirectory(prefix="host-list-")
        self.path = Path(self.folder.name, "hosts.list")
        self.path.write_text(host_list(hosts, seed))
        self.loop = Loop()
        self.listing = HostLineConverter(self.loop)
        self.connections = KServeClient(self.loop, Pooling())
        self.lists = 0
        self.watch = None

    def read_first(self):
        """Begins to watch, which reads the whole list."""
        self.watch = FileWatch(self.loop, self.path, LOOK, self.listed, self.refused)

    def change_one(self):
        """Writes the list anew with one host draining; not yet read."""
        changed = host_list(self.hosts, self.seed).replace("state active", "state draining", 1)
        self.path.write_text(changed)

    def listed(self, lines):
        """Takes a whole list."""
        self.lists += 1
        self.connections.update(self.listing.endpoints(lines), complete=True)

    def refused(self, mistakes):
        """The list is this module's own: a mistake in it is one of the measurement."""
        raise AssertionError(mistakes)

    def close(self):
        """Ends the watch and removes the file."""
        if self.watch is not None:
            self.watch.close()
        self.connections.close()
        self.loop.close()
        self.folder.cleanup()


def list_bytes(hosts, seed):
    """Bytes of the list."""
    return len(host_list(hosts, seed).encode())


def whole_read(hosts, seed):
    """Milliseconds of CPU of the first reading."""
    followed = FollowedList(hosts, seed)
    spent = cpu_seconds_once(followed.read_first)
    assert followed.lists == 1 and len(followed.connections.hosts) == hosts
    followed.close()
    return spent * MS_PER_SECOND


def changed_line(hosts, seed):
    """Milliseconds of CPU to follow a list of which one line changed."""
    followed = FollowedList(hosts, seed)
    followed.read_first()
    followed.change_one()
    spent = cpu_seconds_once(followed.watch.check)
    assert followed.lists == 2
    followed.close()
    return spent * MS_PER_SECOND


def host_list_bytes_by_hosts():
    """Measures the size of the file."""
    return measure(
        "host-list-bytes-by-hosts",
        "bytes of the host file",
        "bytes",
        PARAMETER,
        SIZES,
        list_bytes,
        "a line names zone, rack, capacity and state",
    )


def host_list_read_cpu_by_hosts():
    """Measures a start."""
    return measure(
        "host-list-read-cpu-by-hosts",
        "CPU to read a whole host file at a start",
        "ms",
        PARAMETER,
        SIZES,
        whole_read,
        f"{FOLLOWED}. {CPU_TIME}",
    )


def host_list_change_cpu_by_hosts():
    """Measures a change."""
    return measure(
        "host-list-change-cpu-by-hosts",
        "CPU to follow a host file of which one line changed",
        "ms",
        PARAMETER,
        SIZES,
        changed_line,
        f"{FOLLOWED}. {CPU_TIME}",
    )


MEASUREMENTS = {
    "host-list-bytes-by-hosts": host_list_bytes_by_hosts,
    "host-list-read-cpu-by-hosts": host_list_read_cpu_by_hosts,
    "host-list-change-cpu-by-hosts": host_list_change_cpu_by_hosts,
}
