"""Records in one file: what stands in its bytes, no I/O. Little-endian: magic 4, length 4, number 8, first 8,
sum 8, then the bytes.

`number` counts the records of the file; `first` is the number at which the batch began that was synced
together. With it a tail that a crash tore is told from a record that went bad later: only the last batch can
be torn, since the next one was not begun before the sync of this one came back. A file that was put in
another's place whole cannot be torn at all: there each record is a batch, and a seal behind the last one
shows where it went bad too.
"""

import struct

import xxhash

MAGIC, SEAL = b"\x9evR1", b"\x9evS1"  # found again after a bad record
START = MAGIC[:2]
MOST = 16 << 20  # bytes of one record: a whole snapshot; more is a length that went bad
HEADER = struct.Struct("<4sIQQQ")


class CorruptRecordError(Exception):
    """A record in the middle is not what was written; the text says where."""


def _sum(magic, number, first, data):
    return xxhash.xxh3_64_intdigest(struct.pack("<4sIQQ", magic, len(data), number, first) + data)


def encode_record(number, first, data, magic=MAGIC):
    return HEADER.pack(magic, len(data), number, first, _sum(magic, number, first, data)) + data


def encode_replacement(records):
    """The bytes of a file that stands in another's place."""
    parts = [encode_record(number, number, record) for number, record in enumerate(records)]
    return b"".join([*parts, encode_record(len(parts), len(parts), b"", SEAL)])


def _one(data, at):
    """(number, first, bytes or None for a seal, end) of the record that begins there, None if none does."""
    if at + HEADER.size > len(data):
        return None
    magic, size, number, first, told = HEADER.unpack_from(data, at)
    end = at + HEADER.size + size
    if magic not in (MAGIC, SEAL) or size > MOST or end > len(data):
        return None
    value = data[at + HEADER.size : end]
    if told != _sum(magic, number, first, value):
        return None
    return number, first, value if magic == MAGIC else None, end


def decode_records(data):
    """([bytes of each record], length of what is good, number of the last record or -1). What follows the
    good length is a torn tail. Errors: CorruptRecordError, where what is not good was synced once."""
    records, at, last = [], 0, -1
    while at < len(data):
        one = _one(data, at)
        if one is None or one[0] != last + 1:
            break
        last, _, value, at = one
        if value is not None:
            records.append(value)
    if at < len(data):
        look = data.find(START, at)
        while look >= 0:
            later = _one(data, look)
            if later is not None and later[1] > last + 1:
                raise CorruptRecordError(
                    f"record {last + 1} at byte {at} is not what was written; {later[0]} after it is"
                )
            look = data.find(START, look + 1 if later is None else later[3])
    return records, at, last
