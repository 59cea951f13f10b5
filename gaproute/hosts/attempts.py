"""A relay that no host gets."""

from gaproute.core.in_flight import AttemptResult


class UnsentAttempt:
    """A relay that is not sent; `done` is told so, never at once."""

    started = False

    def __init__(self, loop, done, result):
        self.done = done
        loop.soon(self.end, AttemptResult(result, None))

    def end(self, heard):
        if self.done is not None:
            self.done(heard)

    def cancel(self):
        self.done = None
