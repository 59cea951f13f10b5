"""The observation store: what it gives back, how old, and what it forgets."""

import msgspec
import pytest
from helpers import SECOND
from observation_stores import WARM, Clocks, written

from gaproute.storage import ObservationStoreError

HOUR = 3600 * SECOND


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
    assert SharedObservations().earliest_observation_time(0, age) is None


def test_the_last_writing_of_a_subject_stands_and_the_latest_come_first(store):
    written(store, (WARM, (4, 0), 90 * SECOND), (("load",), (5,), 95 * SECOND), (WARM, (8, 0), 91 * SECOND))
    assert store().read(9) == [(("load",), (5,), 5 * SECOND), (WARM, (8, 0), 9 * SECOND)]


def test_no_more_is_read_than_asked_for_and_what_is_old_goes(store):
    written(store, *[(("warm", "x", f"f{n}"), (1, 0), n * SECOND) for n in range(1, 21)])
    made = store()
    assert [subject[2] for subject, _, _ in made.read(2)] == ["f20", "f19"]
    made.delete_older_than(85 * SECOND)
    assert len(made.read(99)) == 6


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_a_wall_clock_that_steps_between_a_write_and_the_forgetting_drops_nothing(store, step):
    clocks = Clocks()
    made = store(clocks)
    made.write([(WARM, (4, 0), 99 * SECOND)])
    clocks.now, clocks.wall = clocks.now + SECOND, clocks.wall + SECOND + step
    made.write([(("load",), (5,), 100 * SECOND)])
    made.delete_older_than(300 * SECOND)
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
    made.delete_older_than(300 * SECOND)
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


def test_two_gateways_cannot_share_a_store_and_a_place_that_is_not_writable_is_reported(store, tmp_path):
    store()
    with pytest.raises(ObservationStoreError):
        store()
    with pytest.raises(ObservationStoreError, match="No such file"):
        store(path=tmp_path / "nowhere" / "m")
