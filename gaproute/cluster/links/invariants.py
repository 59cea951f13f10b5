"""Invariants of a link emulator, as named checks that run whenever its counts are requested."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from gaproute.cluster.links.conditions import NetworkConditions
from gaproute.cluster.links.datagrams import MAX_HELD, MAX_HELD_BYTES, DatagramRelay
from gaproute.cluster.links.pieces import size_of
from gaproute.cluster.links.stream_end import HIGH_WATER, READ_SIZE, StreamEnd
from gaproute.cluster.links.stream_relay import StreamRelay


def find_violations(
    conditions: NetworkConditions, datagrams: DatagramRelay, relays: Iterable[StreamRelay]
) -> list[str]:
    """Runs all checks; returns those that fail, as text."""
    found = [*check_conditions(conditions), *check_datagrams(datagrams)]
    for relay in relays:
        found += [*check_stream(relay.near), *check_stream(relay.far)]
    return found


def check_conditions(conditions: NetworkConditions) -> Iterator[str]:
    """Checks the faults that are on."""
    if list(conditions.specs) != list(conditions.faults):
        yield f"faults_as_described: {list(conditions.specs)} described, {list(conditions.faults)} on"
    if any(key.fault_id not in conditions.faults for key in conditions.rate_queues.free_at):
        yield "rate_without_fault: there is a queue of a fault that is off"


def check_stream(end: StreamEnd) -> Iterator[str]:
    """Checks one direction of a connection."""
    transit, output = end.transit, end.output
    if not (transit.pieces or output.chunks or transit.size or output.size):
        return  # most are like this: 5,000 connections must not make the emulator late
    name = f"{transit.link.source} to {transit.link.destination}"
    dues = [entry.due for entry in transit.pieces]
    timed = [due for due in dues if due is not None]
    if sum(size_of(entry.piece) for entry in transit.pieces) != transit.size:
        yield f"transit_bytes: {name}: {transit.size} booked"
    if sum(map(len, output.chunks)) != output.size:
        yield f"output_bytes: {name}: {output.size} booked"
    if transit.size + end.other.output.size > HIGH_WATER + READ_SIZE:
        yield f"bounded: {name}: {transit.size} and {end.other.output.size} bytes under way"
    if timed != sorted(timed) or None in dues[: len(timed)]:
        yield f"in_order: {name}: {dues}"
    blocked = end.transit.conditions.blocks_streams(transit.link)
    if transit.pieces and transit.timer is None and not blocked:
        yield f"never_stuck: {name}: {len(dues)} pieces wait for nothing"


def check_datagrams(datagrams: DatagramRelay) -> Iterator[str]:
    """Checks the datagrams that are held."""
    if sum(len(datagram.data) for datagram in datagrams.held) != datagrams.held_bytes:
        yield f"held_bytes: {datagrams.held_bytes} booked"
    if len(datagrams.held) > MAX_HELD or datagrams.held_bytes > MAX_HELD_BYTES:
        yield f"held_bounded: {len(datagrams.held)} datagrams, {datagrams.held_bytes} bytes"
