"""Host lists of cells in files that change: which lists are in force, and which lists are rejected."""

import pytest
from helpers import MILLI

from gaproute.appliance.cell_lists import CellLists
from gaproute.config.directives.fleet import CellHostsLine
from gaproute.loop import Loop

HOSTS = {name: f"host {name} 127.0.0.1:{port}" for port, name in enumerate("wxyz", 1)}
ZONES = {"a1": "a", "b1": "b"}


class WatchedFolder:
    """Follows the lists of a folder, and records which lists are in force or rejected."""

    def __init__(self, folder):
        self.folder, self.loop, self.lists_in_force, self.rejected = folder, Loop(), {}, []
        line = CellHostsLine(folder=str(folder), look=2 * MILLI)
        self.lists = CellLists(self.loop, line, self._record_lists, self._record_rejections)

    def _record_lists(self, lists):
        self.lists_in_force = {
            cell: "".join(line.name for line in lines) for cell, lines in sorted(lists.items())
        }

    def _record_rejections(self, cell, mistakes):
        self.rejected += [(cell, mistake.line) for mistake in mistakes]

    def write(self, cell, names, line_suffix=""):
        new_file = self.folder / "new"
        new_file.write_text("\n".join([HOSTS[name] + line_suffix for name in names]))
        new_file.replace(self.folder / f"{cell}.hosts")

    def check_files(self):
        """Runs the loop until all files were checked."""
        deadline = self.loop.now() + 12 * MILLI
        while self.loop.now() < deadline:
            self.loop.call_later(MILLI, lambda: None)
            self.loop.turn()


@pytest.fixture
def watched_folder(tmp_path):
    watched_folder = WatchedFolder(tmp_path)
    yield watched_folder
    watched_folder.lists.close()
    watched_folder.loop.close()


def test_only_the_files_of_wanted_cells_are_read(watched_folder):
    watched_folder.write("a1", "wx")
    watched_folder.write("b1", "yz")
    watched_folder.lists.set_cells({"a1": "a"})
    assert watched_folder.lists_in_force == {"a1": "wx"}
    assert watched_folder.rejected == []
    watched_folder.lists.set_cells(ZONES)
    assert watched_folder.lists_in_force == {"a1": "wx", "b1": "yz"}
    watched_folder.lists.set_cells({"b1": "b"})
    assert watched_folder.lists_in_force == {"b1": "yz"}
    watched_folder.write("a1", "w")
    watched_folder.check_files()
    assert watched_folder.lists_in_force == {"b1": "yz"}
    assert list(watched_folder.lists.watches) == ["b1"]


def test_a_missing_file_of_a_wanted_cell_is_rejected_once_and_read_when_it_appears(watched_folder):
    watched_folder.lists.set_cells(ZONES)
    watched_folder.check_files()
    assert watched_folder.rejected == [("a1", 0), ("b1", 0)]
    assert watched_folder.lists_in_force == {}
    watched_folder.write("b1", "y")
    watched_folder.check_files()
    assert watched_folder.lists_in_force == {"b1": "y"}
    assert len(watched_folder.rejected) == 2


def test_the_newer_of_two_lists_that_name_the_same_host_is_rejected(watched_folder):
    watched_folder.write("a1", "wx")
    watched_folder.write("b1", "y")
    watched_folder.lists.set_cells(ZONES)
    watched_folder.write("b1", "yx")
    watched_folder.check_files()
    assert watched_folder.lists_in_force == {"a1": "wx", "b1": "y"}
    assert watched_folder.rejected == [("b1", 2)]
    watched_folder.write("a1", "w")  # the host moves to b1, whose rejected list is in force now
    watched_folder.check_files()
    assert watched_folder.lists_in_force == {"a1": "w", "b1": "yx"}
    assert len(watched_folder.rejected) == 1


@pytest.mark.parametrize(("first_cell", "second_cell"), [("a1", "b1"), ("b1", "a1")])
def test_two_cells_can_swap_hosts_whichever_file_changes_first(watched_folder, first_cell, second_cell):
    after = {"a1": "wy", "b1": "xz"}
    watched_folder.write("a1", "wx")
    watched_folder.write("b1", "yz")
    watched_folder.lists.set_cells(ZONES)
    watched_folder.write(first_cell, after[first_cell])
    watched_folder.check_files()
    assert watched_folder.lists_in_force == {"a1": "wx", "b1": "yz"}
    watched_folder.write(second_cell, after[second_cell])
    watched_folder.check_files()
    assert watched_folder.lists_in_force == after


def test_a_list_with_hosts_outside_the_zone_of_its_cell_is_rejected_by_line(watched_folder):
    watched_folder.write("a1", "w")
    watched_folder.lists.set_cells({"a1": "a"})
    watched_folder.write("a1", "wx", line_suffix=" zone moon")
    watched_folder.check_files()
    assert watched_folder.lists_in_force == {"a1": "w"}
    assert watched_folder.rejected == [("a1", 1), ("a1", 2)]
    watched_folder.lists.set_cells({"a1": "moon"})  # by a newer table, the cell is in that zone
    assert watched_folder.lists_in_force == {"a1": "wx"}


def test_a_truncated_list_leaves_the_last_valid_list_in_force(watched_folder):
    watched_folder.write("a1", "wx")
    watched_folder.lists.set_cells({"a1": "a"})
    (watched_folder.folder / "a1.hosts").write_text(f"{HOSTS['w']}\nhost x 127.0")
    watched_folder.check_files()
    assert watched_folder.lists_in_force == {"a1": "wx"}
    assert watched_folder.rejected == [("a1", 2)]
