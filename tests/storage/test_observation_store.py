"""The observation store: what it gives back, how old, and what it does with a file that cannot be used."""

import itertools
import os
import sqlite3

import msgspec
import pytest
from helpers import MILLI, SECOND, gateway

from gaproute.appliance.observation_writer import MAX_ROWS_PER_WRITE, ObservationWriter
from gaproute.appliance.status import warm_instances
from gaproute.decisions.reports.cpu_budget import REST, SLICE
from gaproute.decisions.reports.host_history import HostHistory
from gaproute.faultinjection.disk import FaultyDisk
from gaproute.faultinjection.disk_faults import IO_ERROR
from gaproute.faultinjection.plan import FaultPlan, Script
from gaproute.loop import Loop
from gaproute.loop.addresses import address
from gaproute.loop.polling import Stepped
from gaproute.storage import ObservationStore, ObservationStoreError
from gaproute.storage import observation_store as module
from gaproute.storage.observation_store import MAX_BACKOFF, MIN_BACKOFF

WARM = ("warm", "x", "f")


def front(appliance):
    return address(appliance.fronts[0].address)


class Clocks:
    def __init__(self, now=100 * SECOND, wall=10**18):
        self.now, self.wall = now, wall


@pytest.fixture
def store(tmp_path):
    opened = []

    def make(clocks=None, boot="b1", path=tmp_path / "m"):
        clocks = clocks or Clocks()
        texts = []
        made = ObservationStore(path, texts.append, lambda: clocks.now, lambda: clocks.wall, boot)
        made.texts = texts
        made.open()
        opened.append(made)
        return made

    yield make
    for made in opened:
        made.close()


def written(store, *facts, **options):
    made = store(**options)
    made.write(facts or [(WARM, (4, 0), 99 * SECOND)])
    made.close()


def test_what_was_written_comes_back_with_its_age(store):
    written(store)
    assert store(Clocks(103 * SECOND, 10**18 + 3 * SECOND)).read(9) == [(WARM, (4, 0), 4 * SECOND)]


def test_a_wall_clock_that_was_set_back_makes_nothing_younger_in_the_same_boot(store):
    written(store)
    assert store(Clocks(103 * SECOND, 10**18 - 3600 * SECOND)).read(9)[0][2] == 4 * SECOND


def test_after_a_boot_the_wall_clock_counts(store):
    written(store)
    assert store(Clocks(SECOND, 10**18 + 60 * SECOND), "b2").read(9)[0][2] == 61 * SECOND


def test_an_observation_of_the_future_is_refused(store):
    from gaproute.decisions.reports.shared_observations import SharedObservations

    written(store)
    ((_, _, age),) = store(Clocks(SECOND, 10**18 - 60 * SECOND), "b2").read(9)
    assert age < 0
    assert SharedObservations().observed_at(0, age) is None


def test_the_last_writing_of_a_subject_stands_and_the_latest_come_first(store):
    written(store, (WARM, (4, 0), 90 * SECOND), (("load",), (5,), 95 * SECOND), (WARM, (8, 0), 91 * SECOND))
    assert store().read(9) == [(("load",), (5,), 5 * SECOND), (WARM, (8, 0), 9 * SECOND)]


def test_no_more_is_read_than_asked_for_and_what_is_old_goes(store):
    written(store, *[(("warm", "x", f"f{n}"), (1, 0), n * SECOND) for n in range(1, 21)])
    made = store()
    assert [subject[2] for subject, _, _ in made.read(2)] == ["f20", "f19"]
    made.forget(85 * SECOND)
    assert len(made.read(99)) == 6


HOUR = 3600 * SECOND


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_a_wall_clock_that_steps_between_a_write_and_the_forgetting_drops_nothing(store, step):
    clocks = Clocks()
    made = store(clocks)
    made.write([(WARM, (4, 0), 99 * SECOND)])
    clocks.now, clocks.wall = clocks.now + SECOND, clocks.wall + SECOND + step
    made.write([(("load",), (5,), 100 * SECOND)])
    made.forget(300 * SECOND)
    assert made.read(9) == [(("load",), (5,), SECOND), (WARM, (4, 0), 2 * SECOND)]


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_what_is_old_is_forgotten_and_the_latest_come_first_however_the_wall_clock_steps(store, step):
    clocks = Clocks()
    made = store(clocks)
    made.write([(WARM, (4, 0), 99 * SECOND)])
    clocks.now, clocks.wall = clocks.now + 200 * SECOND, clocks.wall + 200 * SECOND + step
    made.write([(("load",), (5,), 299 * SECOND)])
    assert made.read(1) == [(("load",), (5,), SECOND)]
    clocks.now, clocks.wall = clocks.now + 150 * SECOND, clocks.wall - step
    made.forget(300 * SECOND)
    assert made.read(9) == [(("load",), (5,), 151 * SECOND)]


@pytest.mark.parametrize("step", [0, HOUR, -HOUR])
def test_after_a_boot_ages_go_by_the_wall_clock_as_it_was_at_the_write(store, step):
    """Not as it was when the life began: a machine that boots without a clock learns the time soon after."""
    clocks = Clocks(wall=10**18 - step)
    made = store(clocks)
    clocks.wall += step
    made.write([(WARM, (4, 0), 99 * SECOND)])
    made.close()
    assert store(Clocks(SECOND, 10**18 + 60 * SECOND), "b2").read(9)[0][2] == 61 * SECOND


def test_a_row_stands_on_disk_as_the_version_before_wrote_it(store):
    """Its column held the wall clock of the write; in a life without steps that is the same."""
    made = store()
    made.write([(WARM, (4, 0), 99 * SECOND)])
    ((key, data, wall),) = made.connection.execute("SELECT subject, data, wall FROM facts")
    assert wall == 10**18 - SECOND
    assert msgspec.msgpack.decode(key) == list(WARM)
    assert msgspec.msgpack.decode(data) == [99 * SECOND, 10**18 - SECOND, "b1", [4, 0]]


@pytest.mark.parametrize("harm", ["cut", "nonsense", "empty", "hole"])
def test_a_file_that_is_no_good_is_quarantined_and_a_new_one_begun(store, tmp_path, harm):
    written(store, *[(("warm", "x", f"f{n}"), (1, 0), SECOND) for n in range(2000)])
    path = tmp_path / "m"
    data = path.read_bytes()
    path.write_bytes(
        {
            "cut": data[:5000],
            "nonsense": b"never a database" * 100,
            "empty": b"",
            "hole": data[:4096] + bytes(len(data) - 4096),
        }[harm]
    )
    made = store()
    assert made.read(9) == []
    assert harm == "empty" or "quarantined" in made.texts[0]
    assert harm == "empty" or list(tmp_path.glob("m.broken-*"))
    made.write([(WARM, (4, 0), 99 * SECOND)])
    assert made.read(9) == [(WARM, (4, 0), SECOND)]


def test_a_torn_row_is_left_out_and_counted(store):
    written(store, (WARM, (4, 0), 99 * SECOND), (("load",), (5,), 95 * SECOND))
    made = store()
    made.connection.execute(
        "UPDATE facts SET data = ? WHERE subject = (SELECT subject FROM facts LIMIT 1)", (b"\x94",)
    )
    assert len(made.read(9)) == 1
    assert made.torn_rows == 1
    assert "torn" in made.texts[0]


def test_two_gateways_cannot_share_a_store_and_a_place_that_is_not_writable_is_reported(store, tmp_path):
    store()
    with pytest.raises(ObservationStoreError):
        store()
    with pytest.raises(ObservationStoreError, match="No such file"):
        store(path=tmp_path / "nowhere" / "m")


def test_a_write_that_fails_is_counted_and_reported_once(store):
    made = store()
    made.connection.execute("DROP TABLE facts")
    for _ in range(2):
        made.write([(WARM, (4, 0), SECOND)])
    assert made.failed == 2
    assert len(made.texts) == 1


class Disk:
    """Under SQLite: while `fault` is set, whatever is done on a connection or to make one raises it."""

    def __init__(self, monkeypatch):
        self.fault = None
        disk, connect = self, sqlite3.connect

        class Connection(sqlite3.Connection):
            """One that asks the disk before each statement."""

            def execute(self, *args):
                disk.check()
                return super().execute(*args)

            def executemany(self, *args):
                disk.check()
                return super().executemany(*args)

        def connect_to_disk(*args, **options):
            disk.check()
            return connect(*args, **options, factory=Connection)

        monkeypatch.setattr(sqlite3, "connect", connect_to_disk)

    def fails(self, code, text):
        self.fault = sqlite3.OperationalError(text)
        self.fault.sqlite_errorcode = code

    def check(self):
        if self.fault is not None:
            raise self.fault


@pytest.fixture
def disk(monkeypatch):
    return Disk(monkeypatch)


OUTAGES = [
    (sqlite3.SQLITE_IOERR_WRITE, "disk I/O error"),
    (sqlite3.SQLITE_FULL, "database or disk is full"),
    (sqlite3.SQLITE_CANTOPEN, "unable to open database file"),
]
LATER = (("load",), (5,), 99 * SECOND)


def test_a_full_file_is_written_again_once_there_is_room(store):
    """SQLite's own bound on the pages stands for the full disk; it ends with the connection."""
    clocks = Clocks()
    made = store(clocks)
    assert made.write([(WARM, (4, 0), 99 * SECOND)])
    made.connection.execute("PRAGMA max_page_count = 3")
    many = [(("warm", "x", f"f{number}"), (4, 0), 98 * SECOND) for number in range(2000)]
    assert not made.write(many)
    assert made.failed == 1
    assert "full" in made.texts[0]
    assert not made.write(many)
    assert made.failed == 2
    assert len(made.texts) == 1
    clocks.now += MIN_BACKOFF
    assert made.write(many)
    assert len(made.read(9999)) == 2001
    assert len(made.texts) == 1


@pytest.mark.parametrize(("code", "text"), OUTAGES)
def test_a_disk_that_fails_for_a_while_costs_no_fact_and_is_tried_less_and_less(store, disk, code, text):
    clocks = Clocks()
    made = store(clocks)
    assert made.write([(WARM, (4, 0), 99 * SECOND)])
    disk.fails(code, text)
    tried = []
    for _ in range(200):
        before = made.retry_at
        assert not made.write([LATER])
        if made.retry_at != before:
            tried.append((made.retry_at - clocks.now) // SECOND)
        clocks.now += SECOND // 2
    assert tried == [1, 2, 4, 8, 16, 30, 30, 30]
    assert len(made.texts) == 1
    disk.fault = None
    clocks.now += MAX_BACKOFF
    assert made.write([LATER])
    assert {subject for subject, _, _ in made.read(9)} == {WARM, ("load",)}
    assert not list(made.path.parent.glob("*.broken-*"))
    disk.fails(code, text)
    assert not made.write([LATER])
    assert len(made.texts) == 2


@pytest.mark.parametrize(("code", "text"), OUTAGES)
def test_a_start_on_a_disk_that_fails_leaves_the_file_where_it_is(store, disk, tmp_path, code, text):
    written(store)
    disk.fails(code, text)
    clocks = Clocks()
    made = ObservationStore(tmp_path / "m", print, lambda: clocks.now, lambda: clocks.wall, "b1")
    before = len(os.listdir("/proc/self/fd"))
    with pytest.raises(ObservationStoreError, match=text):
        made.open()
    assert len(os.listdir("/proc/self/fd")) == before
    assert not made.ready()
    assert not list(tmp_path.glob("*.broken-*"))
    disk.fault = None
    clocks.now += MIN_BACKOFF
    assert made.ready()
    assert made.write([LATER])
    assert len(made.read(9)) == 2
    made.close()


def test_a_disk_that_fails_while_it_is_read_is_no_end(store, disk):
    written(store)
    clocks = Clocks()
    made = store(clocks)
    disk.fails(*OUTAGES[0])
    assert made.read(9) == []
    assert not made.ready()
    disk.fault = None
    clocks.now += MIN_BACKOFF
    assert made.ready()
    assert len(made.read(9)) == 1


def test_a_file_that_is_found_damaged_by_a_write_is_quarantined_and_a_new_one_begun(store):
    clocks = Clocks()
    made = store(clocks)
    made.connection.execute("DROP TABLE facts")
    assert not made.write([LATER])
    clocks.now += MIN_BACKOFF
    assert made.write([LATER])
    assert len(made.read(9)) == 1
    assert "quarantined" in made.texts[1]


def test_of_a_damaged_file_the_log_goes_first(store, tmp_path):
    """Left behind alone it would be played into the file that takes the place."""
    names = [tmp_path / f"m{end}" for end in ("", "-wal", "-shm")]
    for name in names:
        name.write_bytes(b"never a database" * 100)
    faults = FaultyDisk(tmp_path, FaultPlan(Script.of(("replace", 3, IO_ERROR))))
    with faults.installed(module), pytest.raises(ObservationStoreError, match="not a database.*Input/output"):
        store()
    assert [name.exists() for name in names] == [True, False, False]
    store()
    assert list(tmp_path.glob("m.broken-*"))


def test_a_gateway_that_starts_without_its_store_serves_and_writes_later(fleet, tmp_path, disk):
    made, start = fleet
    disk.fails(*OUTAGES[0])
    alone = start("alone", f"memory {tmp_path / 'g.memory'}", listen=False)
    made.at = front(alone)
    assert made.wait(made.ask("lamp", "w1")).status == 200
    store = alone.peers.observation_writer.store
    made.until(lambda: store.backoff > MIN_BACKOFF)  # a second attempt has failed
    disk.fault = None
    assert made.wait(made.ask("lamp", "w2")).status == 200
    made.until(lambda: any(subject[0] == "warm" for subject, _, _ in store.read(99)))
    assert [what for what, _ in alone.record.events].count("observation_store_unavailable") == 1


def test_what_failed_rounds_passed_over_is_written_in_the_first_that_does_not(store, disk):
    clock = Stepped()
    clock.wall = 10**18
    loop = Loop(clock)
    made = ObservationWriter(loop, store(clock), gateway(), HostHistory(), ("t",), lambda: 0)

    def run(span):
        end = clock.now + span
        loop.at(end, lambda: None)
        while clock.now < end:
            loop.turn()
        return {subject[1] for subject, _, _ in made.store.read(9)}

    hosts = {"h1": ("active", 5)}
    made.host_history.update(clock.now, hosts)
    assert run(SECOND) == {"h1"}
    disk.fails(*OUTAGES[0])
    made.host_history.update(clock.now + 1, hosts | {"h2": ("active", 6)})
    assert run(2 * SECOND) == set()
    assert made.store.failed
    disk.fault = None
    assert run(made.store.retry_at - clock.now + SECOND // 2 + 1) == {"h1", "h2"}
    made.close()
    loop.close()


def test_a_gateway_alone_learns_from_its_own_earlier_run(fleet, tmp_path):
    made, start = fleet
    line = f"memory {tmp_path / 'g.memory'}"
    first = start("alone", line, listen=False)
    made.at = front(first)
    assert made.wait(made.ask("lamp", "w1")).status == 200
    made.until(lambda: first.peers.observation_writer.store.written >= 1)
    first.close()
    loads = len(made.seen("loaded"))
    second = start("alone", line, listen=False)
    assert second.peers.observations.by_subject
    assert [row["by"] for row in warm_instances(second)] == ["past life"]
    made.at = front(second)
    assert made.wait(made.ask("lamp", "w2")).status == 200
    assert len(made.seen("loaded")) == loads
    known = second.core.gateway
    assert known.answer_times.loads or known.functions_by_name["lamp"].answer_times


def test_a_gateway_without_a_place_for_its_store_serves_all_the_same(fleet):
    made, start = fleet
    alone = start("alone", "memory /nowhere/at/all", listen=False)
    made.at = front(alone)
    assert made.wait(made.ask("lamp", "w1")).status == 200
    assert any(what == "observation_store_unavailable" for what, _ in alone.record.events)


@pytest.fixture
def writer(store):
    """A writer whose clock and CPU stand still: `spends` is what each reading of the meter adds."""
    loop = Loop(Stepped())
    made = ObservationWriter(loop, store(), gateway(), HostHistory(), ("t",), lambda: next(made.ticks))
    made.ticks = itertools.repeat(0)
    yield made
    made.close()
    loop.close()


def facts(count):
    return iter([(("warm", "x", f"f{number}"), (4, 0), SECOND) for number in range(count)])


def test_writing_takes_no_more_than_its_share(writer):
    writer.cpu_budget.available = -5 * MILLI
    assert writer.write_slice(facts(1)) is False
    assert writer.store.written == 0
    writer.cpu_budget.available = 5 * MILLI
    assert writer.write_slice(facts(1))
    assert writer.store.written == 1


def test_a_slice_ends_at_its_time_or_its_count_and_the_rest_comes_next(writer):
    writer.ticks = itertools.count(0, SLICE // 20)
    observations = facts(30)
    assert not writer.write_slice(observations)
    assert writer.store.written == 11
    writer.ticks = itertools.repeat(0)
    assert not writer.write_slice(observations)
    assert writer.store.written == 11
    writer.loop.clock.now += REST
    assert writer.write_slice(observations)
    assert writer.store.written == 30
    writer.loop.clock.now += REST
    assert not writer.write_slice(facts(2 * MAX_ROWS_PER_WRITE))
    assert writer.store.written == 30 + MAX_ROWS_PER_WRITE
