"""Encodes and decodes cell tables and the messages that carry them; rejects malformed data."""

import zlib
from dataclasses import replace

import pytest
from cells_tables import FLEET, cells, table
from hypothesis import given, settings, strategies

from gaproute.decisions.cells.change import TableChange, TableHolder, apply_change
from gaproute.decisions.cells.errors import TableError
from gaproute.decisions.cells.version import Version
from gaproute.peers import datagram_pb2
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


def document(current=BASE):
    holder = TableHolder(FLEET)
    if current is not None:
        holder.replace(current)
    return TableDocument(holder)


# Tables


def test_a_decoded_table_equals_the_encoded_one():
    assert encoding.decode_table(FLEET, BASE.version, encoding.encode_table(BASE)) == BASE


def test_the_digest_after_a_change_equals_the_digest_of_the_rows_in_any_order():
    after = apply_change(BASE, CHANGE)
    before = encoding.cells_digest(BASE.cells)
    assert encoding.digest_after(before, BASE, CHANGE) == encoding.cells_digest(after.cells)
    assert encoding.cells_digest(reversed(BASE.cells)) == before != encoding.cells_digest(after.cells)


def test_malformed_tables_and_changes_are_rejected():
    valid = encoding.encode_table(BASE)
    decompression_bomb = zlib.compress(bytes(encoding.MAX_TABLE_BYTES * 4))
    for data in (
        b"",
        b"noise",
        valid[:-5],
        valid + b"x",
        zlib.compress(b"noise"),
        zlib.compress(b"\x90"),
        decompression_bomb,
    ):
        with pytest.raises(TableError):
            encoding.decode_table(FLEET, BASE.version, data)
    for data in (b"", b"noise", b"\x92\x91\x90\x90", b"\xdd\xff\xff\xff\xff"):
        with pytest.raises(TableError):
            encoding.decode_change(FLEET, BASE.version, Version(1, 5), data)


def test_a_document_applies_changes_and_complete_tables_and_rejects_invalid_ones():
    first, second = document(), document(None)
    change = encode_table_change(first.holder.table, first.digest, CHANGE)
    with pytest.raises(DocumentError, match="without a table"):
        second.apply(change)
    second.replace(first.version, first.digest, first.encode())
    for invalid in (
        replace(change, digest=change.digest ^ 1),
        replace(change, data=b"noise"),
        replace(change, base=Version(1, 3)),
        replace(change, version=Version(1, 4)),
    ):
        with pytest.raises(DocumentError):
            second.apply(invalid)
        assert (second.version, second.digest) == (first.version, first.digest)
    first.apply(change)
    second.apply(change)
    assert first.digest == second.digest
    assert first.holder.table == second.holder.table == apply_change(BASE, CHANGE)
    with pytest.raises(DocumentError):
        second.replace(Version(1, 6), 0, first.encode())
    with pytest.raises(DocumentError):
        second.replace(Version(1, 1), first.digest, first.encode())
    assert document(None).version == NO_VERSION


def test_a_holder_that_trims_rows_is_rejected():
    with pytest.raises(ValueError, match="trims"):
        TableDocument(TableHolder(FLEET, lambda cell: replace(cell, entries=())))


def test_an_encoded_change_of_one_cell_is_small():
    assert len(encoding.encode_change(replace(CHANGE, removed=()))) < 200


# Messages

VERSION_PARTS = strategies.integers(-1, (1 << 63) - 1)
VERSIONS = strategies.builds(Version, VERSION_PARTS, VERSION_PARTS)
DIGESTS = strategies.integers(0, (1 << 64) - 1)
FLEETS = strategies.text(
    strategies.characters(codec="utf-8", exclude_categories=("C",)), min_size=1, max_size=128
)
CHANGES = strategies.builds(Change, VERSIONS, VERSIONS, DIGESTS, strategies.binary(max_size=300))
CHANGE_LISTS = strategies.lists(CHANGES, min_size=1, max_size=3).map(tuple)
DATAGRAMS = strategies.one_of(
    strategies.builds(Announcement, FLEETS, VERSIONS, DIGESTS), strategies.builds(Push, FLEETS, CHANGE_LISTS)
)
PULLS = strategies.builds(
    Pull, FLEETS, VERSIONS, strategies.booleans(), VERSIONS, strategies.integers(0, 1 << 22)
)
ANSWERS = strategies.one_of(
    strategies.builds(ChangesAnswer, FLEETS, strategies.lists(CHANGES, max_size=3).map(tuple)),
    strategies.builds(
        PartAnswer,
        FLEETS,
        VERSIONS,
        DIGESTS,
        strategies.integers(0, 1 << 22),
        strategies.integers(0, 1 << 22),
        strategies.binary(),
    ),
    strategies.builds(BusyAnswer, FLEETS, strategies.integers(0, (1 << 63) - 1)),
)


@given(DATAGRAMS, PULLS, ANSWERS)
def test_decoded_messages_equal_the_encoded_ones(datagram, pull, answer):
    data = wire.encode_datagram(datagram, "127.0.0.1:80")
    if len(data) <= wire.MAX_DATAGRAM_BYTES:
        assert wire.decode_datagram(data) == ("127.0.0.1:80", datagram)
    assert wire.decode_pull(wire.encode_pull(pull)) == pull
    assert wire.decode_answer(wire.encode_answer(answer)) == answer


@settings(max_examples=300)
@given(strategies.binary(max_size=200), DATAGRAMS, strategies.integers(0, 100))
def test_noise_raises_no_error_and_too_long_data_is_not_decoded(noise, datagram, position):
    data = wire.encode_datagram(datagram, "127.0.0.1:80")
    for altered in (noise, data[:position] + noise + data[position:], data[:position]):
        for decode in (wire.decode_datagram, wire.decode_pull, wire.decode_answer):
            decode(altered)  # must not raise
    assert wire.decode_datagram(b"x" * 5_000) is None
    assert wire.decode_answer(b"x" * 50_000) is None


TYPICAL_VERSIONS = strategies.builds(Version, strategies.integers(0, 60_000), strategies.integers(0, 60_000))
TYPICAL_CHANGES = strategies.lists(
    strategies.builds(Change, TYPICAL_VERSIONS, TYPICAL_VERSIONS, DIGESTS, strategies.binary(max_size=300)),
    min_size=1,
)


def datagram_length(message, name, address):
    """Bytes of a datagram on the network, headers included."""
    datagram = datagram_pb2.Word(
        version=1, kind=PayloadKind.CELL_TABLE, weak=wire.encode_datagram(message, address)
    )
    datagram.sender.name = name
    return len(datagram.SerializeToString()) + DATAGRAM_HEADER_BYTES


@given(
    strategies.builds(Announcement, strategies.just("north"), TYPICAL_VERSIONS, DIGESTS)
    | strategies.builds(Push, strategies.just("north"), TYPICAL_CHANGES.map(tuple))
)
def test_a_datagram_exceeds_its_computed_size_only_by_long_names(message):
    assert datagram_length(message, "gateway12345", "10.12.34.56:7000") <= wire_size(message)
    long_name, long_address = "g" * 128, "unix:" + "w" * 107
    assert datagram_length(message, long_name, long_address) <= wire_size(message) + len(
        long_name + long_address
    )


def test_the_longest_push_fits_an_unfragmented_datagram():
    change = Change(Version(1, 1), Version(1, 2), 1, bytes(MAX_PUSH_BYTES))
    assert len(wire.encode_datagram(Push("f" * 60, (change,)), "255.255.255.255:65535")) < 1_300
