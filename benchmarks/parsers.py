"""httptools against h11 for one typical infer request, whole and cut in two: microseconds each, medians.

python benchmarks/parsers.py      (needs requirements-test.txt)
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from statistics import median

import h11

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.inference_requests import BODY
from gaproute.http1 import RequestReader

ROUNDS, REQUESTS = 5, 3000  # in turn; requests in a round
CUT = 90  # bytes of the first part
MAX_HEAD, MAX_BODY = 32768, 1 << 20  # bytes
REQUEST = (
    f"POST /v2/models/lamp/infer HTTP/1.1\r\nHost: gateway:8080\r\nUser-Agent: python\r\n"
    f"Content-Type: application/json\r\nAccept: */*\r\nContent-Length: {len(BODY)}\r\n\r\n{BODY}"
).encode()

Parser = Callable[[Sequence[bytes], int], None]


def read_with_httptools(parts: Sequence[bytes], count: int) -> None:
    """Read the request `count` times as the product does."""
    reader = RequestReader(time.monotonic_ns, MAX_HEAD, MAX_BODY)
    for _ in range(count):
        for part in parts:
            requests = reader.feed(part)
        assert requests[0].body == BODY.encode()


def read_with_h11(parts: Sequence[bytes], count: int) -> None:
    """Read the request `count` times, each answered so that the next may come."""
    connection = h11.Connection(h11.SERVER)
    for _ in range(count):
        body = b"".join(_h11_data(connection, part) for part in parts)
        assert body == BODY.encode()
        connection.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
        connection.send(h11.EndOfMessage())
        connection.start_next_cycle()


def _h11_data(connection: h11.Connection, part: bytes) -> bytes:
    """What a part has of the body."""
    body = b""
    connection.receive_data(part)
    while (event := connection.next_event()) is not h11.NEED_DATA and not isinstance(event, h11.EndOfMessage):
        if isinstance(event, h11.Data):
            body += event.data
    return body


def measure(parser: Parser, parts: Sequence[bytes]) -> float:
    """CPU time for each request, us."""
    began = time.process_time()
    parser(parts, REQUESTS)
    return (time.process_time() - began) / REQUESTS * 1e6


def main() -> None:
    """Run the command line."""
    for name, parts in (("whole", [REQUEST]), ("cut in two", [REQUEST[:CUT], REQUEST[CUT:]])):
        times: dict[Parser, list[float]] = {read_with_httptools: [], read_with_h11: []}
        for _ in range(ROUNDS):
            for parser, taken in times.items():
                taken.append(measure(parser, parts))
        ours, other = (median(taken) for taken in times.values())
        print(
            f"{name}: httptools, all of RequestReader, {ours:.1f} us; h11, its answer's bookkeeping "
            f"included, {other:.1f} us; {other / ours:.1f} times"
        )


if __name__ == "__main__":
    main()
