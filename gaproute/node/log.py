"""The process's log: lines of JSON on standard error. Never blocks, and never more than so many a second."""

import os
import time

import msgspec

BURST = 200  # lines a second: a storm of faults must not cost the tasks their time


class Log:
    def __init__(self, fd=2, wall=time.time):
        self.fd, self.wall = fd, wall
        self.second, self.count, self.left_out = 0, 0, 0
        self.rest = b""  # of the line last written, of which the pipe took only a part

    def line(self, level, what, told):
        now = self.wall()
        if int(now) != self.second:
            self.second, self.count = int(now), 0
        self.count += 1
        if self.count > BURST:
            self.left_out += 1
            return
        if self.left_out:
            told, self.left_out = {**told, "left_out": self.left_out}, 0
        line = {"at": round(now, 3), "level": level, "event": what, **told}
        self.rest = self._write(self.rest)
        if not self.rest:
            data = msgspec.json.encode(line, enc_hook=repr) + b"\n"
            left = self._write(data)
            self.rest = left if len(left) < len(data) else b""

    def _write(self, data):
        """What of it is left: nobody reads, or the pipe is full. A line that has not begun is lost then, not
        the task; the end of one that has comes before the next line."""
        try:
            while data:
                data = data[os.write(self.fd, data) :]
        except OSError:
            pass
        return data

    def info(self, what, **told):
        self.line("info", what, told)

    def warning(self, what, **told):
        self.line("warning", what, told)

    def error(self, what, **told):
        self.line("error", what, told)
