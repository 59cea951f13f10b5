"""`python -m gaproute.standins KIND`: one stand-in as a process; the kinds stand in `MAKERS`.

What it is made of comes as one line of JSON on standard input; commands follow, a line each. Its address goes
to standard output as a line of JSON. It ends when its input ends.
"""
import os
import resource
import sys

import msgspec

from gaproute.loop import Loop
from gaproute.loop.loop import GONE, READ
from gaproute.loop.streams import address
from gaproute.standins import clients
from gaproute.standins.beat import beat
from gaproute.standins.host import Host, Make, Model
from gaproute.standins.platform import clients as platform_clients
from gaproute.standins.platform.hosts import Hosts
from gaproute.standins.platform.log import Log
from gaproute.standins.store import Store
from gaproute.standins.tap import Tap


BEAT = 50_000_000        # ns between looks at the own clock
LATE = 20_000_000        # ns beyond which lateness is noted


def beat(loop, tap, due):
    """A stand-in that had to wait for a core tells on its tap, so that its times are not taken for the gateway's."""
    now = loop.now()
    if now - due > LATE:
        tap.note("late", by=now - due)
    loop.at(now + BEAT, beat, loop, tap, now + BEAT)


def main():
    if len(sys.argv) != 2 or sys.argv[1] not in MAKERS:
        print(f"one of {', '.join(MAKERS)}", file=sys.stderr)
        return 2
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))     # one process may stand for many hosts
    told = msgspec.json.decode(sys.stdin.buffer.readline())
    loop = Loop()
    tap = Tap(told.get("tap"), loop.clock)
    made = MAKERS[sys.argv[1]](loop, told, tap)
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
    for part in (tap, made):
        getattr(part, "flush", lambda: None)()
    return 0


if __name__ == "__main__":
    sys.exit(main())
