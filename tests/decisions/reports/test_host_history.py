"""What a gateway reports of itself: its host list over time and its observations."""

from helpers import SECOND, Drive, gateway, row, task

from gaproute.decisions.reports.host_history import MAX_GONE_HOSTS, HostHistory, own_observations
from gaproute.interface import Result


def test_a_host_that_left_the_list_is_gone_until_it_is_listed_again():
    history = HostHistory()
    history.update(1, {"x": ("active", 5), "y": ("active", 0)})
    history.update(2, {"y": ("draining", 0)})
    assert history.entries == {"x": ("gone", 5, 2), "y": ("draining", 0, 2)}
    assert history.active_start_times() == {}
    history.update(3, {"x": ("active", 9), "y": ("draining", 0)})
    assert history.entries["x"] == ("active", 9, 3)
    assert history.entries["y"][2] == 2
    assert history.active_start_times() == {"x": 9}


def test_the_number_of_stored_gone_hosts_is_limited():
    history = HostHistory()
    history.update(1, {f"h{number}": ("active", 0) for number in range(2 * MAX_GONE_HOSTS)})
    history.update(2, {})
    history.update(3, {})
    assert len(history.entries) == MAX_GONE_HOSTS


def test_observations_of_warm_instances_have_the_start_time_of_the_host():
    source, history = gateway(row("a")), HostHistory()
    history.update(SECOND, {"a": ("active", 77)})
    Drive(source, task(), 2 * SECOND).hears(3 * SECOND, Result.OK)
    Drive(source, task("u"), 3 * SECOND).hears(4 * SECOND, Result.ERROR)
    observations = list(own_observations(source, history, ("check", "plan", "order"), 5 * SECOND))
    assert (("listed", "a"), ("active", 77), SECOND) in observations
    assert (("warm", "a", "f"), (4, 77), 3 * SECOND) in observations
    assert (("doubt", "a", "check"), (0.4,), 4 * SECOND) in observations
    assert [
        subject for subject, _, _ in own_observations(source, history, ("check",), 5 * SECOND, 3 * SECOND)
    ] == [("doubt", "a", "check")]
