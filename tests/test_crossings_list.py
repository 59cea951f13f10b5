"""The list's way in falls silent, breaks and jumps: forced by the order of bytes, on a handed clock."""
import pytest
from gaproute.standins.platform import event, sse
from helpers import makers
from scripted import MILLI, SECOND, Followed, Handed

ONE = event(1, ("s-1", "127.0.0.1:5", "Ready"), complete=True)
TWO = event(2, ("s-1", "127.0.0.1:5", "Terminating"))
THREE = event(3, ("s-1", "127.0.0.1:5", "Gone"))
HALF = sse(TWO)[:40]


@pytest.fixture
def follow():
    yield from makers(lambda *args, **told: Followed(*args, clock=Handed(), **told))


def trickle(made, data, times):
    for _ in range(times):
        for stream in made.log.streams:
            if stream.open:
                stream.write(data)
        made.passes(SECOND)


def test_comments_alone_keep_a_connection(follow):
    made = follow(lambda last: b"", last=1)
    made.passes(100 * MILLI)
    trickle(made, b":\n\n", 8)
    assert made.log.came == [1]


@pytest.mark.parametrize("how", ["end", "reset"])
def test_half_an_event_and_the_end_is_asked_again_at_once(follow, how):
    made = follow(lambda last: HALF if len(made.log.came) == 1 else sse(TWO), last=1)
    made.until(lambda: made.log.came)
    made.log.streams[0].close() if how == "end" else made.log.streams[0].abort()
    made.passes(100 * MILLI)
    assert made.told == [2]


def test_each_gap_is_asked_for_once(follow):
    made = follow(lambda last: {1: sse(THREE), 3: sse(event(6)), 6: b""}[last], last=1)
    made.passes(100 * MILLI)
    assert made.told == [3]
    made.log.streams[-1].write(sse(event(6)))
    made.passes(100 * MILLI)
    assert made.told == [3, 6] and made.log.came == [1, 1, 3]
