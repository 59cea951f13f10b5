"""One connection of a load: a stream and, while it waits for an answer, a reader."""

from collections import deque

from gaproute.http1 import HttpError, ResponseReader
from gaproute.loop import Stream

MAX_HEAD, MAX_ANSWER = 65536, 64 << 20  # bytes


class LoadConnection:
    """One held connection. `owed`: when each task that is asked was meant to start. Without a traffic it is
    silent."""

    __slots__ = ("generator", "stream", "reader", "owed", "traffic", "source", "place", "storm")

    def __init__(self, generator, source, traffic):
        self.generator, self.source, self.traffic = generator, source, traffic
        self.stream = self.reader = None
        self.owed = None
        self.place = -1  # among the idle ones of its traffic
        self.storm = False

    def opened(self, sock):
        self.stream = Stream(self.generator.loop, sock, self.came, self.ended)

    def ask(self, meant, count):
        line = self.traffic
        if self.reader is None:
            self.reader = ResponseReader(MAX_HEAD, MAX_ANSWER)
        self.owed = deque((meant,) * count)
        self.stream.write(self.generator.requests.draw(line) * count)
        self.generator.asked(self, meant + line.patience)

    def came(self, data):
        if self.reader is None:
            self.generator.counts["strays"] += 1
            self.lose()
            return
        try:
            answers = self.reader.feed(data)
        except HttpError:
            self.lose("broken")
            return
        for answer in answers:
            if not self.owed:
                self.generator.counts["strays"] += 1
                continue
            outcome = answer.headers.get(b"gaproute-outcome", b"").decode() or (
                "delivered" if answer.status == 200 else str(answer.status)
            )
            self.generator.over(self, self.owed.popleft(), outcome)
            if not answer.keep_alive:
                self.lose()
                return
        if not self.owed and not self.reader.mid_message:
            self.reader = self.owed = None
            self.generator.free(self)

    def ended(self, error):
        self.generator.counts["closed by the server" if error is None else "reset by the server"] += 1
        self.stream = None
        self.lose("broken")

    def lose(self, outcome="broken"):
        """Ends the connection, to be opened again; what it still owes ends so."""
        self.drop(outcome)
        self.generator.lost(self)

    def drop(self, outcome):
        owed, self.owed, self.reader = self.owed or (), None, None
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.abort()
        for meant in owed:
            self.generator.over(self, meant, outcome)
