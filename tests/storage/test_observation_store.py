"""The observation store: reads, ages of observations and deletion of old ones."""

import msgspec
import pytest
from helpers import SECOND
from observation_stores import WARM_SUBJECT, ManualClocks, write_store

from gaproute.storage import ObservationStoreError

HOUR = 3600 * SECOND


def test_a_written_observation_is_read_with_its_age(open_store):
    write_store(open_store)
    assert open_store(ManualClocks(103 * SECOND, 10**18 + 3 * SECOND)).read(9) == [
        (WARM_SUBJECT, (4, 0), 4 * SECOND)
    ]


def test_setting_the_wall_clock_back_makes_no_observation_younger_in_the_same_boot(open_store):
    write_store(open_store)
    assert open_store(ManualClocks(103 * SECOND, 10**18 - 3600 * SECOND)).read(9)[0][2] == 4 * SECOND


def test_ages_are_by_the_wall_clock_after_another_boot(open_store):
    write_store(open_store)
    assert open_store(ManualClocks(SECOND, 10**18 + 60 * SECOND), "b2").read(9)[0][2] == 61 * SECOND


def test_an_observation_of_the_future_is_not_restored(open_store):
    from gaproute.decisions.reports.shared_observations import SharedObservations

    write_store(open_store)
    ((_, _, age),) = open_store(ManualClocks(SECOND, 10**18 - 60 * SECOND), "b2").read(9)
    assert age < 0
    assert SharedObservations().earliest_observation_time(0, age) is None


def test_the_last_write_of_a_subject_is_read_and_the_latest_observations_come_first(open_store):
    write_store(
        open_store,
        (WARM_SUBJECT, (4, 0), 90 * SECOND),
        (("load",), (5,), 95 * SECOND),
        (WARM_SUBJECT, (8, 0), 91 * SECOND),
    )
    assert open_store().read(9) == [(("load",), (5,), 5 * SECOND), (WARM_SUBJECT, (8, 0), 9 * SECOND)]


def test_reads_are_limited_and_old_observations_are_deleted(open_store):
    write_store(open_store, *[(("warm", "x", f"f{n}"), (1, 0), n * SECOND) for n in range(1, 21)])
    store = open_store()
    assert [subject[2] for subject, _, _ in store.read(2)] == ["f20", "f19"]
    store.delete_older_than(85 * SECOND)
    assert len(store.read(99)) == 6


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_a_wall_clock_step_between_write_and_deletion_deletes_no_recent_observation(open_store, step):
    clocks = ManualClocks()
    store = open_store(clocks)
    store.write([(WARM_SUBJECT, (4, 0), 99 * SECOND)])
    clocks.now, clocks.wall = clocks.now + SECOND, clocks.wall + SECOND + step
    store.write([(("load",), (5,), 100 * SECOND)])
    store.delete_older_than(300 * SECOND)
    assert store.read(9) == [(("load",), (5,), SECOND), (WARM_SUBJECT, (4, 0), 2 * SECOND)]


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_old_observations_are_deleted_and_the_latest_come_first_despite_wall_clock_steps(open_store, step):
    clocks = ManualClocks()
    store = open_store(clocks)
    store.write([(WARM_SUBJECT, (4, 0), 99 * SECOND)])
    clocks.now, clocks.wall = clocks.now + 200 * SECOND, clocks.wall + 200 * SECOND + step
    store.write([(("load",), (5,), 299 * SECOND)])
    assert store.read(1) == [(("load",), (5,), SECOND)]
    clocks.now, clocks.wall = clocks.now + 150 * SECOND, clocks.wall - step
    store.delete_older_than(300 * SECOND)
    assert store.read(9) == [(("load",), (5,), 151 * SECOND)]


@pytest.mark.parametrize("step", [0, HOUR, -HOUR])
def test_after_another_boot_ages_are_by_the_wall_clock_at_the_write(open_store, step):
    """The wall clock at the start of the process does not count: a machine without a battery-backed clock may
    set its wall clock only after the boot."""
    clocks = ManualClocks(wall=10**18 - step)
    store = open_store(clocks)
    clocks.wall += step
    store.write([(WARM_SUBJECT, (4, 0), 99 * SECOND)])
    store.close()
    assert open_store(ManualClocks(SECOND, 10**18 + 60 * SECOND), "b2").read(9)[0][2] == 61 * SECOND


def test_a_row_on_disk_has_the_format_of_the_previous_version(open_store):
    """That version stored the wall clock of the write: the same value unless the wall clock steps."""
    store = open_store()
    store.write([(WARM_SUBJECT, (4, 0), 99 * SECOND)])
    ((key, data, wall),) = store.connection.execute("SELECT subject, data, wall FROM facts")
    assert wall == 10**18 - SECOND
    assert msgspec.msgpack.decode(key) == list(WARM_SUBJECT)
    assert msgspec.msgpack.decode(data) == [99 * SECOND, 10**18 - SECOND, "b1", [4, 0]]


def test_a_locked_store_and_a_missing_directory_are_reported(open_store, tmp_path):
    open_store()
    with pytest.raises(ObservationStoreError):
        open_store()
    with pytest.raises(ObservationStoreError, match="No such file"):
        open_store(path=tmp_path / "nowhere" / "m")
