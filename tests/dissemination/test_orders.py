"""Dissemination with lost, duplicated and reordered messages: all gateways converge, no version falls."""

from dissemination_mesh import Mesh, term_change
from hypothesis import given, settings
from hypothesis import strategies as st

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination.bounds import MAX_LOG_CHANGES
from gaproute.units import MILLI

STEP = st.one_of(
    st.tuples(st.just("publish"), st.integers(1, 3)),
    st.tuples(st.just("term"), st.integers(0, 3)),
    st.tuples(st.sampled_from(["deliver", "drop", "double"]), st.integers(0, 1 << 16)),
    st.tuples(st.just("pass"), st.integers(1, 1_500)),
)


def run_steps(mesh, steps):
    """Runs the steps in the mesh; returns the highest version that was published."""
    writer, term = 0, 1
    for action, number in steps:
        if action == "publish":
            for _ in range(number):
                mesh.publish(writer)
        elif action == "term":
            term += 1
            writer = number
            mesh.publish(writer, term_change(mesh.nodes[writer].document.version, term))
        elif action == "pass":
            mesh.advance_time(number * MILLI)
        elif mesh.in_flight:
            index = number % len(mesh.in_flight)
            mesh.deliver(index, drop=action == "drop", duplicate=action == "double")
    return max(mesh.versions())


@settings(deadline=None, max_examples=150)
@given(st.lists(STEP, max_size=60), st.integers(1, 1 << 20))
def test_all_gateways_converge_after_loss_duplication_and_reordering(steps, seed):
    mesh = Mesh(4, seed)
    highest = run_steps(mesh, steps)
    mesh.settle()
    assert mesh.versions() == [highest] * 4
    assert len({node.document.digest for node in mesh.nodes}) == 1


@settings(deadline=None, max_examples=60)
@given(st.lists(st.integers(0, 3 * MAX_LOG_CHANGES), min_size=4, max_size=4), st.integers(1, 1 << 20))
def test_all_gateways_converge_from_any_versions(numbers, seed):
    mesh = Mesh(4, seed, [Version(1, number) for number in numbers])
    mesh.settle(60)
    assert mesh.versions() == [Version(1, max(numbers))] * 4


@settings(deadline=None, max_examples=40)
@given(st.integers(0, 3), st.integers(0, 3), st.integers(1, 90), st.integers(1, 1 << 20))
def test_a_link_cut_in_one_direction_leaves_no_gateway_behind(cut_sender, cut_receiver, changes, seed):
    mesh = Mesh(4, seed)
    for _ in range(changes):
        mesh.publish(0)
        mesh.in_flight.clear()
    mesh.settle(60, lambda sender, receiver: (sender, receiver) == (cut_sender, cut_receiver))
    assert mesh.versions() == [Version(1, 1 + changes)] * 4
