"""The requests of a load as bytes, each made once for a traffic and path."""

FRAME = b'{"inputs": [{"name": "in", "shape": [1], "datatype": "BYTES", "data": ["%s"]}]}'
LEAST_FRAMED = 60  # bytes; a smaller body is filler alone


class RequestTemplates:
    """`random` draws the path of each request among those of its traffic."""

    def __init__(self, random):
        self.random, self.made = random, {}

    def draw(self, traffic):
        """The bytes of one request of a `traffic` line."""
        path = self.random.choice(traffic.path)
        made = self.made.get((traffic.name, path))
        if made is None:
            made = self.made[traffic.name, path] = self._make(traffic, path)
        return made

    @staticmethod
    def _make(traffic, path):
        body = b"x" * traffic.body
        if traffic.body >= LEAST_FRAMED:
            body = FRAME % (b"x" * max(0, traffic.body - len(FRAME) + 2))
        head = f"{traffic.method} {path} HTTP/1.1\r\nHost: gaproute\r\n"
        if traffic.method != "POST":
            return head.encode() + b"\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        return head.encode() + b"\r\n" + body
