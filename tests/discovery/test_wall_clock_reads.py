"""Where a gateway reads the wall clock at all."""

import re
from pathlib import Path

import gaproute

READS = re.compile(
    r"time\.time\b|\btime_ns\b|CLOCK_REALTIME|datetime\.|strftime|gmtime|localtime|st_[mca]time"
    r"|CURRENT_TIMESTAMP"
)
ALLOWED = {  # lines that read it, by file; each has its row in docs/crossings.md
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
BENCH = {
    "cluster",
    "faultinjection",
    "hollow",
    "scenarios",
}  # they play fleets, and judge by taps that hosts write


def test_no_other_line_of_a_gateway_reads_the_wall_clock():
    root, found = Path(gaproute.__file__).parent, {}
    for path in sorted(root.rglob("*.py")):
        name = path.relative_to(root)
        count = sum(bool(READS.search(line)) for line in path.read_text().splitlines())
        if count and name.parts[0] not in BENCH:
            found[str(name)] = count
    assert found == ALLOWED
