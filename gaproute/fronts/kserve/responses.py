"""Responses to clients, and what these have in addition to the published form.

| final answer | status | in addition to the published form |
| --- | --- | --- |
| delivered | the host's | `Gaproute-Outcome: delivered` |
| rejected | 503 | `Gaproute-Outcome: declined`, `Retry-After` in whole s, `Gaproute-Retry-After-Ms` in ms |
| failed | 504 | `Gaproute-Outcome: scrapped` |

The body of a rejected or failed answer is the published error object, with the reason as its text. All three
have `Gaproute-Task`, and the delivered and the failed one `Gaproute-Relays`, the number of attempts.
"""

import msgspec

from gaproute.errors import GaprouteError
from gaproute.http1.rendering import Header
from gaproute.interface.call import Answer, FinalAnswer

NS_PER_MS, NS_PER_S = 1_000_000, 1_000_000_000

OK, BAD_REQUEST, NOT_FOUND, METHOD_NOT_ALLOWED = 200, 400, 404, 405
UNAVAILABLE, TIMEOUT = 503, 504

JSON_TYPE: Header = (b"Content-Type", b"application/json")
OUTCOME_DELIVERED: Header = (b"Gaproute-Outcome", b"delivered")
OUTCOME_REJECTED: Header = (b"Gaproute-Outcome", b"declined")
OUTCOME_FAILED: Header = (b"Gaproute-Outcome", b"scrapped")


class RequestError(GaprouteError):
    """A request that is answered with an error at once; `status` and `text` are those of the answer."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


def encode_error(text: str) -> bytes:
    """Encodes the published error object."""
    return msgspec.json.encode({"error": text})


def delivered_answer(final: FinalAnswer, answer: Answer) -> Answer:
    """The host's answer with the headers of the gateway."""
    fields = (*answer.fields, OUTCOME_DELIVERED, _request_id_header(final), _attempts_header(final))
    return Answer(answer.status, fields, answer.body)


def rejected_answer(final: FinalAnswer, status: int) -> Answer:
    """The answer to a request that provably did not run or may run again."""
    fields = (
        JSON_TYPE,
        OUTCOME_REJECTED,
        (b"Retry-After", b"%d" % -(-final.retry_after // NS_PER_S)),
        (b"Gaproute-Retry-After-Ms", b"%d" % -(-final.retry_after // NS_PER_MS)),
        _request_id_header(final),
    )
    return Answer(status, fields, encode_error(final.reason))


def failed_answer(final: FinalAnswer) -> Answer:
    """The answer to a request that may have run."""
    fields = (JSON_TYPE, OUTCOME_FAILED, _request_id_header(final), _attempts_header(final))
    return Answer(TIMEOUT, fields, encode_error(final.reason))


def half_closed_answer() -> Answer:
    """The answer to a client that has closed its side and may still read."""
    text = "scrapped: the client closed its side before the answer"
    return Answer(TIMEOUT, (JSON_TYPE, OUTCOME_FAILED), encode_error(text))


def _request_id_header(final: FinalAnswer) -> Header:
    return b"Gaproute-Task", final.request_id.encode()


def _attempts_header(final: FinalAnswer) -> Header:
    return b"Gaproute-Relays", b"%d" % final.attempt_count
