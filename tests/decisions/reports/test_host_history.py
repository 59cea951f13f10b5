"""What a gateway reports of itself: its host list over time, with its observations."""

from helpers import SECOND, Drive, gateway, row, task

from gaproute.decisions.reports.host_history import MAX_GONE_HOSTS, HostHistory, own_observations
from gaproute.interface import Result


def test_a_host_that_left_the_list_is_told_as_gone_until_it_is_back():
    history = HostHistory()
    history.update(1, {"x": ("active", 5), "y": ("active", 0)})
    history.update(2, {"y": ("draining", 0)})
    assert history.entries == {"x": ("gone", 5, 2), "y": ("draining", 0, 2)}
    assert history.active_start_times() == {}
    history.update(3, {"x": ("active", 9), "y": ("draining", 0)})
    assert history.entries["x"] == ("active", 9, 3)
    assert history.entries["y"][2] == 2
    assert history.active_start_times() == {"x": 9}


def test_the_roll_of_the_gone_is_bounded():
    history = HostHistory()
    history.update(1, {f"h{number}": ("active", 0) for number in range(2 * MAX_GONE_HOSTS)})
    history.update(2, {})
    history.update(3, {})
    assert len(history.entries) == MAX_GONE_HOSTS


def test_what_is_told_of_workers_comes_with_the_life_the_list_gave_them():
    made, history = gateway(row("a")), HostHistory()
    history.update(SECOND, {"a": ("active", 77)})
    Drive(made, task(), 2 * SECOND).hears(3 * SECOND, Result.OK)
    Drive(made, task("u"), 3 * SECOND).hears(4 * SECOND, Result.ERROR)
    told = list(own_observations(made, history, ("check", "plan", "order"), 5 * SECOND))
    assert (("listed", "a"), ("active", 77), SECOND) in told
    assert (("warm", "a", "f"), (4, 77), 3 * SECOND) in told
    assert (("doubt", "a", "check"), (0.4,), 4 * SECOND) in told
    assert [names for names, _, _ in own_observations(made, history, ("check",), 5 * SECOND, 3 * SECOND)] == [
        ("doubt", "a", "check")
    ]
