"""Host lists of cells as files that change: which are in force, which are rejected, in whatever order they
come."""

import pytest
from helpers import MILLI

from gaproute.appliance.cell_lists import CellLists
from gaproute.config.directives.fleet import CellHostsLine
from gaproute.loop import Loop

HOSTS = {name: f"host {name} 127.0.0.1:{port}" for port, name in enumerate("wxyz", 1)}
ZONES = {"a1": "a", "b1": "b"}


class Watched:
    """Lists of a folder, as they were adopted and rejected."""

    def __init__(self, folder):
        self.folder, self.loop, self.lists_in_force, self.rejected = folder, Loop(), {}, []
        line = CellHostsLine(folder=str(folder), look=2 * MILLI)
        self.lists = CellLists(self.loop, line, self._adopted, self._rejected)

    def _adopted(self, lists):
        self.lists_in_force = {
            cell: "".join(line.name for line in lines) for cell, lines in sorted(lists.items())
        }

    def _rejected(self, cell, mistakes):
        self.rejected += [(cell, mistake.line) for mistake in mistakes]

    def write(self, cell, names, more=""):
        fresh = self.folder / "new"
        fresh.write_text("\n".join([HOSTS[name] + more for name in names]))
        fresh.replace(self.folder / f"{cell}.hosts")

    def looks(self):
        """All files are looked at."""
        end = self.loop.now() + 12 * MILLI
        while self.loop.now() < end:
            self.loop.call_later(MILLI, lambda: None)
            self.loop.turn()


@pytest.fixture
def watched(tmp_path):
    made = Watched(tmp_path)
    yield made
    made.lists.close()
    made.loop.close()


def test_only_the_files_of_wanted_cells_are_read(watched):
    watched.write("a1", "wx")
    watched.write("b1", "yz")
    watched.lists.set_cells({"a1": "a"})
    assert watched.lists_in_force == {"a1": "wx"}
    assert watched.rejected == []
    watched.lists.set_cells(ZONES)
    assert watched.lists_in_force == {"a1": "wx", "b1": "yz"}
    watched.lists.set_cells({"b1": "b"})
    assert watched.lists_in_force == {"b1": "yz"}
    watched.write("a1", "w")
    watched.looks()
    assert watched.lists_in_force == {"b1": "yz"}
    assert list(watched.lists.watches) == ["b1"]


def test_a_wanted_cell_without_a_file_is_rejected_once_and_known_when_the_file_comes(watched):
    watched.lists.set_cells(ZONES)
    watched.looks()
    assert watched.rejected == [("a1", 0), ("b1", 0)]
    assert watched.lists_in_force == {}
    watched.write("b1", "y")
    watched.looks()
    assert watched.lists_in_force == {"b1": "y"}
    assert len(watched.rejected) == 2


def test_a_host_of_two_cells_is_rejected_where_it_came_last(watched):
    watched.write("a1", "wx")
    watched.write("b1", "y")
    watched.lists.set_cells(ZONES)
    watched.write("b1", "yx")
    watched.looks()
    assert watched.lists_in_force == {"a1": "wx", "b1": "y"}
    assert watched.rejected == [("b1", 2)]
    watched.write("a1", "w")  # the host moves: what was rejected is in force now
    watched.looks()
    assert watched.lists_in_force == {"a1": "w", "b1": "yx"}
    assert len(watched.rejected) == 1


@pytest.mark.parametrize(("first", "then"), [("a1", "b1"), ("b1", "a1")])
def test_cells_swap_hosts_whichever_file_changes_first(watched, first, then):
    after = {"a1": "wy", "b1": "xz"}
    watched.write("a1", "wx")
    watched.write("b1", "yz")
    watched.lists.set_cells(ZONES)
    watched.write(first, after[first])
    watched.looks()
    assert watched.lists_in_force == {"a1": "wx", "b1": "yz"}
    watched.write(then, after[then])
    watched.looks()
    assert watched.lists_in_force == after


def test_a_host_in_another_zone_than_its_cell_is_rejected_by_line(watched):
    watched.write("a1", "w")
    watched.lists.set_cells({"a1": "a"})
    watched.write("a1", "wx", more=" zone moon")
    watched.looks()
    assert watched.lists_in_force == {"a1": "w"}
    assert watched.rejected == [("a1", 1), ("a1", 2)]
    watched.lists.set_cells({"a1": "moon"})  # a newer table says that the cell lies there
    assert watched.lists_in_force == {"a1": "wx"}


def test_a_torn_list_leaves_the_last_good_one(watched):
    watched.write("a1", "wx")
    watched.lists.set_cells({"a1": "a"})
    (watched.folder / "a1.hosts").write_text(f"{HOSTS['w']}\nhost x 127.0")
    watched.looks()
    assert watched.lists_in_force == {"a1": "wx"}
    assert watched.rejected == [("a1", 2)]
