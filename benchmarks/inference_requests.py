"""Inference requests of the benchmarks' clients, all with one small body."""

import json

BODY = json.dumps(
    {"id": "x", "inputs": [{"name": "in", "shape": [1], "datatype": "BYTES", "data": ["x" * 200]}]}
)


def encode_request(model: str) -> bytes:
    """A request for the model, as bytes of HTTP/1.1."""
    return (
        f"POST /v2/models/{model}/infer HTTP/1.1\r\nHost: g\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n{BODY}"
    ).encode()
