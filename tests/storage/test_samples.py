"""Files written by version 9f58c07 are readable; `samples/ledger/README.md` describes their content."""

import shutil
from pathlib import Path

import pytest

from gaproute.decisions.cells.version import Version
from gaproute.decisions.chance import RandomGenerator
from gaproute.peers.tables import encoding
from gaproute.shared.leases import LeaseTable
from gaproute.shared.raft import RaftNode
from gaproute.storage import ObservationStore, RaftLogFile
from gaproute.storage.cell_table_file import CellTableFile

SAMPLES = Path(__file__).parent / "samples" / "ledger"
SECOND = 1_000_000_000
SAMPLE_INCARNATION = 102787632782873  # drawn when the Raft node created the file
FENCING_BASE = 1_700_000_000_000  # the base of the fencing numbers, which the founder of the group sets


@pytest.fixture
def copied(tmp_path):
    def copy(name):
        for sample in SAMPLES.glob(f"{name}*"):
            shutil.copy(sample, tmp_path / sample.name)
        return tmp_path / name

    return copy


def open_node(path):
    """A Raft node on the log file at `path`, its log file, and the messages reported to operators."""
    messages = []
    disk = RaftLogFile(path, messages.append, lambda: 17).open()
    table = LeaseTable(initial_wait=False, max_duration=60 * SECOND)
    node = RaftNode("k1", ["k1"], disk, RandomGenerator(3), 0, table)
    return node, disk, messages


def elect(node):
    """Runs the node until it is the leader and all committed entries are applied."""
    now = 0
    while not node.is_leader or node.commit_index < node.log.last_index:
        now = node.due
        node.tick(now)
        assert now < 10 * SECOND
    return node


def lease_rows(node):
    return sorted(
        (each.fencing_token - FENCING_BASE, each.resource, each.holder, each.amount, each.duration)
        for each in node.machine.leases.values()
    )


EXPECTED_LEASES = [
    (1, "out:host-3", "gateway-1", 1, 30 * SECOND),
    (2, "room:host-9", "gateway-1", 4, 60 * SECOND),
]


@pytest.mark.parametrize(
    ("name", "base", "torn"),
    [
        ("votes-log.bin", 0, 0),
        ("votes-snapshot.bin", 6, 0),
        ("votes-snapshot-torn.bin", 6, 1),
        ("votes-snapshot-zeros.bin", 6, 1),
    ],
)
def test_the_raft_log_and_snapshot_of_version_9f58c07_are_read(copied, name, base, torn):
    path = copied(name)
    for opening in range(2):  # first the sample, then the file as rewritten by this version
        node, disk, messages = open_node(path)
        assert not node.store.discard_reason
        assert not node.storage_failure
        assert node.incarnation == SAMPLE_INCARNATION
        assert (node.term, node.store.voted_for) == (
            4 + opening,
            ("k2", 12345) if not opening else ("k1", node.incarnation),
        )
        assert (node.log.snapshot_index, node.log.last_index, disk.torn_tails) == (
            base,
            8 + opening,
            0 if opening else torn,
        )
        assert len(messages) == disk.torn_tails
        assert all("torn tail" in text for text in messages)
        elect(node)
        assert lease_rows(node) == EXPECTED_LEASES
        assert node.machine.pools == {"room:host-9": (6, 0)}
        assert node.machine.last_token == FENCING_BASE + 3
        assert node.sessions.table[3][:2] == ("gateway-1", 5)
        disk.close()


def test_a_raft_log_with_a_damaged_record_is_quarantined_and_reported(copied):
    path = copied("votes-middle-bad.bin")
    before = path.read_bytes()
    node, disk, messages = open_node(path)
    assert "not what was written" in node.store.discard_reason
    assert node.incarnation not in (0, SAMPLE_INCARNATION)
    assert not node.term
    assert len(messages) == 1
    assert "quarantined as" in messages[0]
    assert path.with_name(f"{path.name}.broken-17").read_bytes() == before
    disk.close()


def test_the_cell_table_of_version_9f58c07_is_read(copied):
    messages = []
    stored = CellTableFile(copied("cells-table.bin"), "north", messages.append).read()
    assert (stored.term, stored.number, messages) == (3, 17, [])
    table = encoding.decode_table("north", Version(stored.term, stored.number), stored.data)
    assert encoding.cells_digest(table.cells) == stored.digest
    assert [cell.name for cell in table.cells] == [f"cell{place}" for place in range(5)]
    assert sum(len(cell.entries) for cell in table.cells) == 10


@pytest.mark.parametrize(("name", "rows"), [("memory.bin", 4), ("memory-killed.bin", 1)])
def test_the_observations_of_version_9f58c07_are_read(copied, name, rows):
    messages = []
    store = ObservationStore(
        copied(name), messages.append, lambda: 103 * SECOND, lambda: 10**18 + 3 * SECOND, "boot-1"
    )
    store.open()
    observations = store.read(99)
    store.close()
    assert len(observations) == rows
    assert messages == []
    assert observations[0] == (("warm", "host-3", "lamp"), (4, 0, 1_700_000_000_000_000_000), 4 * SECOND)
