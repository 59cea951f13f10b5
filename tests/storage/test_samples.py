"""Stored files that the landed version 9f58c07 wrote are read by this one; `samples/ledger` says what they
hold."""

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
OWN_NUMBER = 102787632782873  # drawn when the sample's file was empty
FENCE = 1_700_000_000_000  # where the founder let fencing numbers begin


@pytest.fixture
def copied(tmp_path):
    def copy(name):
        for sample in SAMPLES.glob(f"{name}*"):
            shutil.copy(sample, tmp_path / sample.name)
        return tmp_path / name

    return copy


def node(path):
    """A node of the group on that file, and what its file reported to operators."""
    texts = []
    disk = RaftLogFile(path, texts.append, lambda: 17).open()
    table = LeaseTable(initial_wait=False, max_duration=60 * SECOND)
    made = RaftNode("k1", ["k1"], disk, RandomGenerator(3), 0, table)
    return made, disk, texts


def elected(made):
    """After its election all that was agreed on is applied again."""
    now = 0
    while not made.is_leader or made.commit_index < made.log.last_index:
        now = made.due
        made.tick(now)
        assert now < 10 * SECOND
    return made


def leases(made):
    return sorted(
        (each.fencing_token - FENCE, each.resource, each.holder, each.amount, each.duration)
        for each in made.machine.leases.values()
    )


HELD = [
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
def test_votes_log_and_snapshot_of_the_landed_version_are_owed(copied, name, base, torn):
    path = copied(name)
    for opening in range(2):  # as it was written, and as this version wrote it anew
        made, disk, texts = node(path)
        assert not made.store.discard_reason
        assert not made.storage_failure
        assert made.incarnation == OWN_NUMBER
        assert (made.term, made.store.voted_for) == (
            4 + opening,
            ("k2", 12345) if not opening else ("k1", made.incarnation),
        )
        assert (made.log.snapshot_index, made.log.last_index, disk.torn_tails) == (
            base,
            8 + opening,
            0 if opening else torn,
        )
        assert len(texts) == disk.torn_tails
        assert all("torn tail" in text for text in texts)
        elected(made)
        assert leases(made) == HELD
        assert made.machine.pools == {"room:host-9": (6, 0)}
        assert made.machine.last_token == FENCE + 3
        assert made.sessions.table[3][:2] == ("gateway-1", 5)
        disk.close()


def test_votes_with_a_bad_middle_are_quarantined_and_said(copied):
    path = copied("votes-middle-bad.bin")
    before = path.read_bytes()
    made, disk, texts = node(path)
    assert "not what was written" in made.store.discard_reason
    assert made.incarnation not in (0, OWN_NUMBER)
    assert not made.term
    assert len(texts) == 1
    assert "quarantined as" in texts[0]
    assert path.with_name(f"{path.name}.broken-17").read_bytes() == before
    disk.close()


def test_the_cell_table_of_the_landed_version_is_read(copied):
    texts = []
    stored = CellTableFile(copied("cells-table.bin"), "north", texts.append).read()
    assert (stored.term, stored.number, texts) == (3, 17, [])
    table = encoding.decode_table("north", Version(stored.term, stored.number), stored.data)
    assert encoding.cells_digest(table.cells) == stored.digest
    assert [cell.name for cell in table.cells] == [f"cell{place}" for place in range(5)]
    assert sum(len(cell.entries) for cell in table.cells) == 10


@pytest.mark.parametrize(("name", "rows"), [("memory.bin", 4), ("memory-killed.bin", 1)])
def test_learnt_state_of_the_landed_version_is_read(copied, name, rows):
    texts = []
    made = ObservationStore(
        copied(name), texts.append, lambda: 103 * SECOND, lambda: 10**18 + 3 * SECOND, "boot-1"
    )
    made.open()
    read = made.read(99)
    made.close()
    assert len(read) == rows
    assert texts == []
    assert read[0] == (("warm", "host-3", "lamp"), (4, 0, 1_700_000_000_000_000_000), 4 * SECOND)
