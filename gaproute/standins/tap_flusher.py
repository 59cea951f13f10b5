"""The beat of a stand-in process: its tap written out, and said where the process itself ran late.

A late stand-in is a late harness: what gateways did meanwhile is not judged by it (`what` is "late", `by`
in ns).
"""

MILLI = 1_000_000
EVERY = 50 * MILLI  # a tap is read after the day: often enough that a kill costs little of it
LATE = 20 * MILLI  # a turn of a crowded but living process; beyond it the figures are the machine's


def beat(loop, tap):
    def turn(due):
        now = loop.now()
        if now - due > LATE:
            tap.note("late", by=now - due)
        tap.flush()
        loop.at(now + EVERY, turn, now + EVERY)

    turn(loop.now())
