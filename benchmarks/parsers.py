"""httptools against h11 for one typical infer request, whole and cut in two: microseconds each, medians.

python benchmarks/parsers.py      (needs requirements-test.txt)
"""

import json
import sys
import time
from pathlib import Path
from statistics import median

import h11

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from gaproute.http1 import RequestReader

BODY = json.dumps(
    {"id": "x", "inputs": [{"name": "in", "shape": [1], "datatype": "BYTES", "data": ["x" * 200]}]}
)
DATA = (
    f"POST /v2/models/lamp/infer HTTP/1.1\r\nHost: gateway:8080\r\nUser-Agent: python\r\n"
    f"Content-Type: application/json\r\nAccept: */*\r\nContent-Length: {len(BODY)}\r\n\r\n{BODY}"
).encode()


def with_httptools(parts, count):
    reader = RequestReader(time.monotonic_ns, 32768, 1 << 20)
    for _ in range(count):
        for part in parts:
            done = reader.feed(part)
        assert done[0].body == BODY.encode()


def with_h11(parts, count):
    link = h11.Connection(h11.SERVER)
    for _ in range(count):
        body = b""
        for part in parts:
            link.receive_data(part)
            while (event := link.next_event()) is not h11.NEED_DATA and not isinstance(
                event, h11.EndOfMessage
            ):
                if isinstance(event, h11.Data):
                    body += event.data
        assert body == BODY.encode()
        link.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
        link.send(h11.EndOfMessage())
        link.start_next_cycle()


def main():
    for name, parts in (("whole", [DATA]), ("cut in two", [DATA[:90], DATA[90:]])):
        times = {with_httptools: [], with_h11: []}
        for _ in range(5):
            for way, taken in times.items():
                begun = time.process_time()
                way(parts, 3000)
                taken.append((time.process_time() - begun) / 3000 * 1e6)
        ours, other = (median(taken) for taken in times.values())
        print(
            f"{name}: httptools, all of RequestReader, {ours:.1f} us; h11, its answer's bookkeeping "
            f"included, {other:.1f} us; {other / ours:.1f} times"
        )


if __name__ == "__main__":
    main()
