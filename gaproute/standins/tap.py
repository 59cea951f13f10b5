"""What passes on a stand-in's sockets, written down as it happens: a line of JSON for each event.

Times are the machine's monotonic clock, which all processes of one machine share.
"""

import msgspec


class Tap:
    def __init__(self, path, clock):
        self.file = open(path, "ab", buffering=0) if path else None
        self.clock = clock
        self.lines = []

    def note(self, what, **told):
        if self.file is not None:
            self.lines.append(msgspec.json.encode({"at": self.clock(), "what": what, **told}))
            if len(self.lines) >= 64:
                self.flush()

    def flush(self):
        if self.lines:
            lines, self.lines = self.lines, []
            self.file.write(b"\n".join(lines) + b"\n")


def read_tap(path):
    """The events of a tap; a last line cut off by a kill is passed over."""
    told = []
    with open(path, "rb") as file:
        for line in file.read().split(b"\n"):
            try:
                if line:
                    told.append(msgspec.json.decode(line))
            except msgspec.DecodeError:
                pass
    return told
