"""`python -m gaproute.standins host|store|clients`: one stand-in as a process.

What it is made of comes as one line of JSON on standard input; commands follow, a line each. Its address goes
to standard output as a line of JSON. It ends when its input ends.
"""
import os
import sys

import msgspec

from gaproute.loop import Loop
from gaproute.loop.loop import GONE, READ
from gaproute.loop.streams import address
from gaproute.standins.clients import Clients, Habits, Kind
from gaproute.standins.host import Host, Make, Model
from gaproute.standins.store import Store
from gaproute.standins.tap import Tap


BEAT = 50_000_000        # ns between looks at the own clock
LATE = 20_000_000        # ns beyond which lateness is noted


def beat(loop, tap, due):
    """A stand-in that had to wait for a core tells on its tap, so that its times are not taken for the
    gateway's."""
    now = loop.now()
    if now - due > LATE:
        tap.note("late", by=now - due)
    loop.at(now + BEAT, beat, loop, tap, now + BEAT)


def main():
    kind = sys.argv[1]
    told = msgspec.json.decode(sys.stdin.buffer.readline())
    loop = Loop()
    tap = Tap(told.get("tap"), loop.clock)
    where = address(told["listen"]) if "listen" in told else None
    if kind == "store":
        made = Store(loop, where, told["pace"], told["limit"], told["thrash"], tap)
        made.command = lambda told: setattr(made, "pace", told["pace"])

        def flush():
            tap.flush()
            loop.after(50_000_000, flush)
        flush()
    elif kind == "host":
        models = {model["name"]: Model(**model) for model in told["models"]}
        made = Host(loop, where, Make(**told["make"]), models, told["store"], told["seed"], tap, told["warm"])
    else:
        habits = told["habits"] | {"patience": tuple(told["habits"]["patience"])}
        kinds = [Kind(**each | {"models": tuple(each["models"])}) for each in told["kinds"]]
        made = Clients(loop, told["gateways"], kinds, Habits(**habits), told["seed"], tap,
                       loop.now() + told["length"])
    if where is not None:
        print(msgspec.json.encode({"address": made.address}).decode(), flush=True)
    rest = [b""]
    beat(loop, tap, loop.now())

    def command(events):
        data = os.read(0, 65536) if events & (READ | GONE) else b""
        if not data:
            loop.stop()
            return
        *lines, rest[0] = (rest[0] + data).split(b"\n")
        for line in lines:
            if line:
                made.command(msgspec.json.decode(line))

    loop.watch(0, READ, command)
    loop.run()
    tap.flush()


if __name__ == "__main__":
    main()
