"""Cell tables and the messages that carry them as bytes: what comes back, what is refused."""

import zlib
from dataclasses import replace

import pytest
from cells_tables import FLEET, cells, table
from hypothesis import given, settings
from hypothesis import strategies as some

from gaproute.decisions.cells.change import TableChange, TableHolder, apply_change
from gaproute.decisions.cells.errors import TableError
from gaproute.decisions.cells.version import Version
from gaproute.peers import word_pb2
from gaproute.peers.membership_wire import PayloadKind
from gaproute.peers.tables import encoding, wire
from gaproute.peers.tables.document import TableDocument, encode_table_change
from gaproute.shared.dissemination import Change, DocumentError
from gaproute.shared.dissemination.bounds import MAX_PUSH_BYTES
from gaproute.shared.dissemination.messages import (
    DATAGRAM_HEADER_BYTES,
    NO_VERSION,
    Announcement,
    BusyAnswer,
    ChangesAnswer,
    PartAnswer,
    Pull,
    Push,
    wire_size,
)

BASE = table(cells(26), number=4)
CHANGE = TableChange(
    FLEET, Version(1, 4), Version(1, 5), (replace(BASE.cells[3], capacity=7.5),), (BASE.cells[9].name,)
)


def document(held=BASE):
    holder = TableHolder(FLEET)
    if held is not None:
        holder.replace(held)
    return TableDocument(holder)


# Tables


def test_a_table_comes_back_as_it_was():
    assert encoding.decode_table(FLEET, BASE.version, encoding.encode_table(BASE)) == BASE


def test_the_digest_follows_the_rows_whichever_way_they_came():
    after = apply_change(BASE, CHANGE)
    before = encoding.cells_digest(BASE.cells)
    assert encoding.digest_after(before, BASE, CHANGE) == encoding.cells_digest(after.cells)
    assert encoding.cells_digest(reversed(BASE.cells)) == before != encoding.cells_digest(after.cells)


def test_what_is_no_table_is_refused():
    good = encoding.encode_table(BASE)
    bomb = zlib.compress(bytes(encoding.MAX_TABLE * 4))
    for data in (
        b"",
        b"noise",
        good[:-5],
        good + b"x",
        zlib.compress(b"noise"),
        zlib.compress(b"\x90"),
        bomb,
    ):
        with pytest.raises(TableError):
            encoding.decode_table(FLEET, BASE.version, data)
    for data in (b"", b"noise", b"\x92\x91\x90\x90", b"\xdd\xff\xff\xff\xff"):
        with pytest.raises(TableError):
            encoding.decode_change(FLEET, BASE.version, Version(1, 5), data)


def test_a_document_takes_a_change_and_a_whole_table_and_nothing_wrong():
    one, other = document(), document(None)
    change = encode_table_change(one.holder.table, one.digest, CHANGE)
    with pytest.raises(DocumentError, match="without a table"):
        other.apply(change)
    other.replace(one.version, one.digest, one.encode())
    for wrong in (
        replace(change, digest=change.digest ^ 1),
        replace(change, data=b"noise"),
        replace(change, base=Version(1, 3)),
        replace(change, version=Version(1, 4)),
    ):
        with pytest.raises(DocumentError):
            other.apply(wrong)
        assert (other.version, other.digest) == (one.version, one.digest)
    one.apply(change)
    other.apply(change)
    assert one.digest == other.digest
    assert one.holder.table == other.holder.table == apply_change(BASE, CHANGE)
    with pytest.raises(DocumentError):
        other.replace(Version(1, 6), 0, one.encode())
    with pytest.raises(DocumentError):
        other.replace(Version(1, 1), one.digest, one.encode())
    assert document(None).version == NO_VERSION


def test_a_holder_that_trims_is_refused():
    with pytest.raises(ValueError, match="trims"):
        TableDocument(TableHolder(FLEET, lambda cell: replace(cell, entries=())))


def test_a_change_of_one_cell_is_small():
    assert len(encoding.encode_change(replace(CHANGE, removed=()))) < 200


# Messages

PARTS = some.integers(-1, (1 << 63) - 1)
VERSIONS = some.builds(Version, PARTS, PARTS)
DIGESTS = some.integers(0, (1 << 64) - 1)
FLEETS = some.text(some.characters(codec="utf-8", exclude_categories=("C",)), min_size=1, max_size=128)
CHANGES = some.builds(Change, VERSIONS, VERSIONS, DIGESTS, some.binary(max_size=300))
SOME_CHANGES = some.lists(CHANGES, min_size=1, max_size=3).map(tuple)
DATAGRAMS = some.one_of(
    some.builds(Announcement, FLEETS, VERSIONS, DIGESTS), some.builds(Push, FLEETS, SOME_CHANGES)
)
PULLS = some.builds(Pull, FLEETS, VERSIONS, some.booleans(), VERSIONS, some.integers(0, 1 << 22))
ANSWERS = some.one_of(
    some.builds(ChangesAnswer, FLEETS, some.lists(CHANGES, max_size=3).map(tuple)),
    some.builds(
        PartAnswer,
        FLEETS,
        VERSIONS,
        DIGESTS,
        some.integers(0, 1 << 22),
        some.integers(0, 1 << 22),
        some.binary(),
    ),
    some.builds(BusyAnswer, FLEETS, some.integers(0, (1 << 63) - 1)),
)


@given(DATAGRAMS, PULLS, ANSWERS)
def test_messages_come_back_as_they_were(datagram, pull, answer):
    data = wire.encode_datagram(datagram, "127.0.0.1:80")
    if len(data) <= wire.MAX_DATAGRAM_BYTES:
        assert wire.decode_datagram(data) == ("127.0.0.1:80", datagram)
    assert wire.decode_pull(wire.encode_pull(pull)) == pull
    assert wire.decode_answer(wire.encode_answer(answer)) == answer


@settings(max_examples=300)
@given(some.binary(max_size=200), DATAGRAMS, some.integers(0, 100))
def test_noise_is_no_message(noise, datagram, place):
    data = wire.encode_datagram(datagram, "127.0.0.1:80")
    for text in (noise, data[:place] + noise + data[place:], data[:place]):
        for read in (wire.decode_datagram, wire.decode_pull, wire.decode_answer):
            read(text)  # nothing is raised
    assert wire.decode_datagram(b"x" * 5_000) is None
    assert wire.decode_answer(b"x" * 50_000) is None


USUAL = some.builds(Version, some.integers(0, 60_000), some.integers(0, 60_000))
USUAL_CHANGES = some.lists(some.builds(Change, USUAL, USUAL, DIGESTS, some.binary(max_size=300)), min_size=1)


def wire_length(message, name, where):
    """Bytes of a datagram on the wire, headers included."""
    datagram = word_pb2.Word(
        version=1, kind=PayloadKind.CELL_TABLE, weak=wire.encode_datagram(message, where)
    )
    datagram.sender.name = name
    return len(datagram.SerializeToString()) + DATAGRAM_HEADER_BYTES


@given(
    some.builds(Announcement, some.just("north"), USUAL, DIGESTS)
    | some.builds(Push, some.just("north"), USUAL_CHANGES.map(tuple))
)
def test_a_datagram_is_not_longer_than_it_is_counted_but_for_long_names(message):
    assert wire_length(message, "gateway12345", "10.12.34.56:7000") <= wire_size(message)
    long_name, long_where = "g" * 128, "unix:" + "w" * 107
    assert wire_length(message, long_name, long_where) <= wire_size(message) + len(long_name + long_where)


def test_the_longest_push_fits_an_unfragmented_datagram():
    change = Change(Version(1, 1), Version(1, 2), 1, bytes(MAX_PUSH_BYTES))
    assert len(wire.encode_datagram(Push("f" * 60, (change,)), "255.255.255.255:65535")) < 1_300
