"""The places where a gateway reads the wall clock."""

import re
from pathlib import Path

import gaproute

WALL_CLOCK_READ = re.compile(
    r"time\.time\b|\btime_ns\b|CLOCK_REALTIME|datetime\.|strftime|gmtime|localtime|st_[mca]time"
    r"|CURRENT_TIMESTAMP"
)
ALLOWED_READS = {  # by file: number of lines that read the wall clock; docs/crossings.md has a row for each
    "appliance/leases.py": 1,
    "config/values.py": 1,
    "discovery/changelog/members.py": 1,
    "discovery/file_watch.py": 1,
    "discovery/host_lines.py": 1,
    "peers/membership.py": 1,
    "platform/log.py": 1,
    "storage/cell_table_file.py": 1,
    "storage/observation_store.py": 1,
    "storage/raft_log_file.py": 1,
}
# Packages that run simulated fleets and judge them by the taps of hosts; they are no part of a gateway.
BENCH_PACKAGES = {"cluster", "faultinjection", "hollow", "scenarios"}


def test_only_the_allowed_lines_of_a_gateway_read_the_wall_clock():
    root, found = Path(gaproute.__file__).parent, {}
    for path in sorted(root.rglob("*.py")):
        name = path.relative_to(root)
        count = sum(bool(WALL_CLOCK_READ.search(line)) for line in path.read_text().splitlines())
        if count and name.parts[0] not in BENCH_PACKAGES:
            found[str(name)] = count
    assert found == ALLOWED_READS
