"""Responses to clients, with what they hold beside the published form.

| final answer | status | beside the published form |
| --- | --- | --- |
| delivered | the host's | `Gaproute-Outcome: delivered` |
| rejected | 503 | `Gaproute-Outcome: declined`, `Retry-After` in whole s, `Gaproute-Retry-After-Ms` exactly |
| failed | 504 | `Gaproute-Outcome: scrapped` |

Both of the latter carry the published error object, whose text names the outcome, and `Gaproute-Task`.
"""

import msgspec

from gaproute.errors import GaprouteError
from gaproute.http1.rendering import Header
from gaproute.interface.call import Answer, FinalAnswer

NS_PER_MS, NS_PER_S = 1_000_000, 1_000_000_000

OK, BAD_REQUEST, NOT_FOUND, METHOD_NOT_ALLOWED = 200, 400, 404, 405
UNAVAILABLE, TIMEOUT = 503, 504

JSON_TYPE: Header = (b"Content-Type", b"application/json")
DELIVERED: Header = (b"Gaproute-Outcome", b"delivered")
REJECTED: Header = (b"Gaproute-Outcome", b"declined")
FAILED: Header = (b"Gaproute-Outcome", b"scrapped")


class RequestError(GaprouteError):
    """A request that is answered with an error at once: its status, and a text for a person."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


def encode_error(text: str) -> bytes:
    """The published error object."""
    return msgspec.json.encode({"error": text})


def delivered(final: FinalAnswer, answer: Answer) -> Answer:
    """The host's answer."""
    fields = (*answer.fields, DELIVERED, _request_id(final), _attempts(final))
    return Answer(answer.status, fields, answer.body)


def rejected(final: FinalAnswer, status: int) -> Answer:
    """The answer to a request that provably did not run, or may run again."""
    fields = (
        JSON_TYPE,
        REJECTED,
        (b"Retry-After", b"%d" % -(-final.retry_after // NS_PER_S)),
        (b"Gaproute-Retry-After-Ms", b"%d" % -(-final.retry_after // NS_PER_MS)),
        _request_id(final),
    )
    return Answer(status, fields, encode_error(final.reason))


def failed(final: FinalAnswer) -> Answer:
    """The answer to a request that may have run."""
    fields = (JSON_TYPE, FAILED, _request_id(final), _attempts(final))
    return Answer(TIMEOUT, fields, encode_error(final.reason))


def half_closed() -> Answer:
    """The answer for a client that has closed its side and may still read."""
    text = "scrapped: the client closed its side before the answer"
    return Answer(TIMEOUT, (JSON_TYPE, FAILED), encode_error(text))


def _request_id(final: FinalAnswer) -> Header:
    return b"Gaproute-Task", final.request_id.encode()


def _attempts(final: FinalAnswer) -> Header:
    return b"Gaproute-Relays", b"%d" % final.attempt_count
