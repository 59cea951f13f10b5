"""Cold hosts over a whole fleet: what each gateway may send, and what all together send."""
from gaproute.decisions.route.beliefs import Trail
from helpers import SECOND, gateway, row, task


def test_a_fleet_all_cold_is_looked_through_once_a_choice():
    made = gateway(*[row(f"h{number}", started=0) for number in range(1200)])
    for worker in made.fleet:
        worker.credit = 1 / SECOND           # each is passed over
    assert made.choose(0, task(), Trail()) is None
    assert not any(worker.credit for worker in made.fleet)
