"""The bytes of a load's requests, encoded once for each traffic and path."""

from __future__ import annotations

import random

from gaproute.load.script import Traffic

# A KServe v2 inference request; `%s` stands for its one value.
INFERENCE_BODY = b'{"inputs": [{"name": "in", "shape": [1], "datatype": "BYTES", "data": ["%s"]}]}'
SMALLEST_INFERENCE = 60  # bytes; a body that should be smaller is filler without JSON around it
FILLER = b"x"


class RequestTemplates:
    """Encoded requests. `random_source` draws the path of each request among those of its traffic."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._encoded: dict[tuple[str, str], bytes] = {}  # by the traffic's name and the path

    def draw(self, traffic: Traffic) -> bytes:
        """One request of the traffic, head and body."""
        path = self._random.choice(traffic.path)
        encoded = self._encoded.get((traffic.name, path))
        if encoded is None:
            encoded = self._encoded[traffic.name, path] = encode_request(traffic, path)
        return encoded


def encode_request(traffic: Traffic, path: str) -> bytes:
    """A request to `path` with the method and the size of body that the traffic names."""
    head = f"{traffic.method} {path} HTTP/1.1\r\nHost: gaproute\r\n"
    if traffic.method != "POST":
        return head.encode() + b"\r\n"
    body = _body(traffic.body)
    head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def _body(size: int) -> bytes:
    if size < SMALLEST_INFERENCE:
        return FILLER * size
    return INFERENCE_BODY % (FILLER * max(0, size - len(INFERENCE_BODY) + len(b"%s")))
