"""Dissemination under any order, loss and doubling of messages: all converge, no version falls."""

from dissemination_mesh import Mesh, term_change
from hypothesis import given, settings
from hypothesis import strategies as some

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination.bounds import MAX_LOG_CHANGES
from gaproute.units import MILLI

STEP = some.one_of(
    some.tuples(some.just("publish"), some.integers(1, 3)),
    some.tuples(some.just("term"), some.integers(0, 3)),
    some.tuples(some.sampled_from(["deliver", "drop", "double"]), some.integers(0, 1 << 16)),
    some.tuples(some.just("pass"), some.integers(1, 1_500)),
)


def play(mesh, steps):
    """Steps of chance; the highest version that was published."""
    writer, term = 0, 1
    for act, number in steps:
        if act == "publish":
            for _ in range(number):
                mesh.publish(writer)
        elif act == "term":
            term += 1
            writer = number
            mesh.publish(writer, term_change(mesh.nodes[writer].document.version, term))
        elif act == "pass":
            mesh.pass_time(number * MILLI)
        elif mesh.flight:
            place = number % len(mesh.flight)
            mesh.deliver(place, drop=act == "drop", double=act == "double")
    return max(mesh.versions())


@settings(deadline=None, max_examples=150)
@given(some.lists(STEP, max_size=60), some.integers(1, 1 << 20))
def test_all_converge_on_the_highest_version_after_any_order_loss_and_doubling(steps, seed):
    mesh = Mesh(4, seed)
    highest = play(mesh, steps)
    mesh.settle()
    assert mesh.versions() == [highest] * 4
    assert len({node.document.digest for node in mesh.nodes}) == 1


@settings(deadline=None, max_examples=60)
@given(some.lists(some.integers(0, 3 * MAX_LOG_CHANGES), min_size=4, max_size=4), some.integers(1, 1 << 20))
def test_all_converge_from_any_versions(numbers, seed):
    mesh = Mesh(4, seed, [Version(1, number) for number in numbers])
    mesh.settle(60)
    assert mesh.versions() == [Version(1, max(numbers))] * 4


@settings(deadline=None, max_examples=40)
@given(some.integers(0, 3), some.integers(0, 3), some.integers(1, 90), some.integers(1, 1 << 20))
def test_a_one_way_cut_keeps_nobody_behind(one, other, changes, seed):
    mesh = Mesh(4, seed)
    for _ in range(changes):
        mesh.publish(0)
        mesh.flight.clear()
    mesh.settle(60, lambda sender, receiver: (sender, receiver) == (one, other))
    assert mesh.versions() == [Version(1, 1 + changes)] * 4
