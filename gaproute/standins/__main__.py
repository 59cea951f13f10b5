"""`python -m gaproute.standins KIND`: one stand-in as a process; the kinds stand in `kinds.py`.

What it is made of comes as one line of JSON on standard input; commands follow, a line each. Its address goes
to standard output as a line of JSON. It ends when its input ends.
"""

from __future__ import annotations

import resource
import sys
from collections.abc import Mapping

import msgspec

from gaproute.loop import Loop
from gaproute.standins.command_input import CommandInput
from gaproute.standins.kinds import KINDS, Surroundings
from gaproute.standins.tap import Tap
from gaproute.standins.tap_flusher import TapFlusher

WRONG_USAGE = 2
STANDARD_INPUT = 0  # descriptor


def report(line: Mapping[str, object]) -> None:
    """Tells whoever started the process."""
    print(msgspec.json.encode(line).decode(), flush=True)


def raise_descriptor_limit() -> None:
    """Lifts the limit of descriptors to what the system allows: one process may stand for many hosts."""
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


def main() -> int:
    """Runs one stand-in; the exit status."""
    if len(sys.argv) != 2 or sys.argv[1] not in KINDS:
        print(f"one of {', '.join(KINDS)}", file=sys.stderr)
        return WRONG_USAGE
    raise_descriptor_limit()
    kind = KINDS[sys.argv[1]]
    line = kind.decode(sys.stdin.buffer.readline())
    loop = Loop()
    with Tap(line.tap, loop.clock) as tap:
        stand_in = kind.make(Surroundings(loop, tap, report), line)
        TapFlusher(loop, tap, stand_in.flush)
        CommandInput(loop, STANDARD_INPUT, stand_in.command, loop.stop)
        loop.run()
        stand_in.finish()
    return 0


if __name__ == "__main__":
    sys.exit(main())
