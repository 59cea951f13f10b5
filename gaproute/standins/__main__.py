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
