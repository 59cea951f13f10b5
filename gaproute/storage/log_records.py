"""Encoding of the records in a log file, without I/O.

A record is a header followed by its payload. The header is little-endian: magic (4 bytes), payload length
(4), record number (8), batch start (8), checksum (8, XXH3 of the header's other fields and the payload).

The record number counts the records of the file from 0. The batch start is the number of the first record
of the batch that was synced together. It distinguishes a torn tail after a crash from a record damaged later:
only the last batch can be torn, since the next batch begins after the sync of the previous one returned. A
file that was replaced as a whole cannot be torn: each of its records is a batch of its own, and a seal (a
record without payload) follows the last one so that damage to the last record is detected, too.
"""

import struct
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from gaproute.errors import GaprouteError

RECORD_MAGIC, SEAL_MAGIC = b"\x9evR1", b"\x9evS1"
MAGIC_PREFIX = RECORD_MAGIC[:2]  # of both magics; used to search for records after a damaged one
MAX_PAYLOAD_BYTES = 16 << 20  # a complete snapshot; a greater length means a damaged record
HEADER = struct.Struct("<4sIQQQ")
CHECKED_FIELDS = struct.Struct("<4sIQQ")  # the header without its checksum
NO_RECORD_NUMBER = -1  # the last record number of an empty file


class CorruptRecordError(GaprouteError):
    """A record that was synced is damaged; the text gives its offset."""


class DecodedRecords(NamedTuple):
    """The result of `decode_records`. Bytes after `valid_length` are a torn tail."""

    payloads: list[bytes]
    valid_length: int  # bytes
    last_number: int  # of the last valid record, the seal included; NO_RECORD_NUMBER if there is none


class _Record(NamedTuple):
    number: int
    batch_start: int
    payload: bytes | None  # None: the record is a seal
    end: int  # offset of the first byte after the record


def encode_record(number: int, batch_start: int, payload: bytes, magic: bytes = RECORD_MAGIC) -> bytes:
    """Return the bytes of one record."""
    checksum = _checksum(magic, number, batch_start, payload)
    return HEADER.pack(magic, len(payload), number, batch_start, checksum) + payload


def encode_replacement(payloads: Iterable[bytes]) -> bytes:
    """Return the content of a file that is written as a whole: the records and a seal."""
    records = [encode_record(number, number, payload) for number, payload in enumerate(payloads)]
    seal = encode_record(len(records), len(records), b"", SEAL_MAGIC)
    return b"".join([*records, seal])


def decode_records(data: bytes) -> DecodedRecords:
    """Decode the content of a file.

    Errors: CorruptRecordError if an invalid record had been synced.
    """
    payloads: list[bytes] = []
    offset, last_number = 0, NO_RECORD_NUMBER
    while offset < len(data):
        record = _decode_record(data, offset)
        if record is None or record.number != last_number + 1:
            _check_torn_tail(data, offset, last_number + 1)
            break
        last_number, offset = record.number, record.end
        if record.payload is not None:
            payloads.append(record.payload)
    return DecodedRecords(payloads, offset, last_number)


def _decode_record(data: bytes, offset: int) -> _Record | None:
    """Return the record at `offset`, or None if there is no valid record."""
    if offset + HEADER.size > len(data):
        return None
    magic, length, number, batch_start, checksum = HEADER.unpack_from(data, offset)
    end = offset + HEADER.size + length
    if magic not in (RECORD_MAGIC, SEAL_MAGIC) or length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[offset + HEADER.size : end]
    if checksum != _checksum(magic, number, batch_start, payload):
        return None
    return _Record(number, batch_start, payload if magic == RECORD_MAGIC else None, end)


def _check_torn_tail(data: bytes, offset: int, expected: int) -> None:
    """Check that no record after `offset` belongs to a later batch than the record number `expected`.

    Errors: CorruptRecordError.
    """
    candidate = data.find(MAGIC_PREFIX, offset)
    while candidate >= 0:
        later = _decode_record(data, candidate)
        if later is not None and later.batch_start > expected:
            raise CorruptRecordError(
                f"record {expected} at byte {offset} is not what was written: "
                f"expected a valid record there, as record {later.number} of a later batch follows"
            )
        candidate = data.find(MAGIC_PREFIX, candidate + 1 if later is None else later.end)


def _checksum(magic: bytes, number: int, batch_start: int, payload: bytes) -> int:
    fields = CHECKED_FIELDS.pack(magic, len(payload), number, batch_start)
    return xxhash.xxh3_64_intdigest(fields + payload)
