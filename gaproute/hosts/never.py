"""A relay that no host gets."""

from gaproute.core.in_flight import AttemptResult


class Never:
    """A relay that is not sent; `done` is told so, never at once."""

    begun = False

    def __init__(self, loop, done, result):
        self.done = done
        loop.soon(self.end, AttemptResult(result, None))

    def end(self, heard):
        if self.done is not None:
            self.done(heard)

    def give_up(self):
        self.done = None
