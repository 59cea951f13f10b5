"""Answers each batch on standard input with one reply on standard output, and writes nothing else to it.

Exit codes: 0 at the end of the input, 2 after a line that breaks the wire format.
"""

import sys
from typing import TextIO

from gaproute.benchlink.batch_dispatcher import BatchDispatcher

EXIT_OK, EXIT_MALFORMED_LINE = 0, 2
MAX_LOGGED_CHARACTERS = 200  # characters of a malformed line that are logged


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Answers batches until the input ends or a line is malformed; returns the exit code."""
    dispatcher = BatchDispatcher()
    for number, raw in enumerate(source, 1):
        text = raw.rstrip("\n")
        if not text:
            continue
        try:
            reply = dispatcher.handle_line(text)
        except (ValueError, KeyError, IndexError) as error:
            print(f"benchlink: line {number}: {error}: {text[:MAX_LOGGED_CHARACTERS]}", file=sys.stderr)
            return EXIT_MALFORMED_LINE
        if reply is not None:
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
