"""The requests of a load as bytes, each made once for a traffic and path."""

FRAME = b'{"inputs": [{"name": "in", "shape": [1], "datatype": "BYTES", "data": ["%s"]}]}'
LEAST_FRAMED = 60  # bytes; a smaller body is filler alone


class Requests:
    """`chance` draws the path of each request among those of its traffic."""

    def __init__(self, chance):
        self.chance, self.made = chance, {}

    def of(self, line):
        """The bytes of one request of a `traffic` line."""
        path = self.chance.choice(line.path)
        made = self.made.get((line.name, path))
        if made is None:
            made = self.made[line.name, path] = self._make(line, path)
        return made

    @staticmethod
    def _make(line, path):
        body = b"x" * line.body
        if line.body >= LEAST_FRAMED:
            body = FRAME % (b"x" * max(0, line.body - len(FRAME) + 2))
        head = f"{line.method} {path} HTTP/1.1\r\nHost: gaproute\r\n"
        if line.method != "POST":
            return head.encode() + b"\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        return head.encode() + b"\r\n" + body
