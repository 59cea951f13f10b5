"""Crossings at the platform's front: a client's leaving, a connection's close and the end of the process."""
from scripted import half_close, nothing


def test_a_client_that_takes_no_answers_is_seen_to_leave_though_nothing_is_read(gate):
    made = gate(nothing)
    client = made.client()
    client.ask(1)
    made.until(lambda: made.came())
    link, = made.process.front.links
    link.stream.pause()
    half_close(client.stream)
    made.until(lambda: not made.process.core.held)
    assert not made.process.front.links and not made.process.front.marks
