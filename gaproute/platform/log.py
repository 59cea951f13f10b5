"""The process's log: lines of JSON on standard error. Never blocks, and never more than so many a second."""

import os
import time

import msgspec

BURST = 200  # lines a second: a storm of faults must not cost the tasks their time


class Log:
    """`wall` dates the lines and `clock`, a monotonic one, bounds them; both in seconds."""

    def __init__(self, fd=2, wall=time.time, clock=time.monotonic):
        self.fd, self.wall, self.clock = fd, wall, clock
        self.second, self.count, self.left_out = 0, 0, 0

    def line(self, level, what, told):
        second = int(self.clock())
        if second != self.second:
            self.second, self.count = second, 0
        self.count += 1
        if self.count > BURST:
            self.left_out += 1
            return
        if self.left_out:
            told, self.left_out = {**told, "left_out": self.left_out}, 0
        line = {"at": round(self.wall(), 3), "level": level, "event": what, **told}
        try:
            os.write(self.fd, msgspec.json.encode(line, enc_hook=repr) + b"\n")
        except OSError:  # nobody reads, or the pipe is full: the line is lost, not the task
            pass

    def info(self, what, **told):
        self.line("info", what, told)

    def warning(self, what, **told):
        self.line("warning", what, told)

    def error(self, what, **told):
        self.line("error", what, told)
