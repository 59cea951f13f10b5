"""Encodes and decodes the messages between the harness and a link emulator: each is a line of JSON.

| command | line |
| --- | --- |
| `StartEmulator` | {"tcp": port, "udp": port, "seats": {"16": SLOT, ...}, "seed": n, "tap": "path" or null} |
| `PlaceSlots` | {"seat": {"17": SLOT, ...}} |
| `BeginFault` | {"fault": id, "on": FAULT} |
| `EndFault` | {"fault": id, "off": true} |
| `ReportCounts` | {"say": true} |

SLOT: {"name": ..., "kind": "gateway", "host" or "list", "zone": ..., "tcp": "127.0.0.1:7001", "udp": ...,
"refuses": true where its process is down, "whose": true where callers are announced}. FAULT: {"kind": ...,
"from": [terms], "to": [terms], "both": ..., "what": "streams", "datagrams" or "all", "share", "delay_ms",
"jitter_ms", "bytes_per_s"}; all but the kind may be left out.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from enum import StrEnum
from socket import AF_INET
from typing import TypeVar

from gaproute.cluster.json_objects import JsonObject
from gaproute.cluster.links.counts import LinkCounts
from gaproute.cluster.links.errors import LinkCommandError
from gaproute.cluster.links.faults import FaultSpec, LinkFaultKind, LinkTraffic
from gaproute.cluster.links.messages import (
    Answer,
    BeginFault,
    Command,
    CommandFailed,
    EndFault,
    PlaceSlots,
    Ready,
    ReportCounts,
    StartEmulator,
)
from gaproute.cluster.links.slots import ANY, Slot, SlotKind
from gaproute.loop.addresses import parse_address
from gaproute.units import MILLI

MAX_NUMBER = 1e12  # of a fault's figures
# A fault's figures by key, and what each is where it is left out.
FIGURES = {"share": 1.0, "delay_ms": 0.0, "jitter_ms": 0.0, "bytes_per_s": 0.0}
FAULT_KEYS = {"kind", "from", "to", "both", "what", *FIGURES}

Kind = TypeVar("Kind", bound=StrEnum)


def encode_command(command: StartEmulator | Command) -> JsonObject:
    """Encodes a message to an emulator as the object of a line."""
    match command:
        case StartEmulator():
            return {
                "tcp": command.stream_port,
                "udp": command.datagram_port,
                "seats": _encode_slots(command.slots),
                "seed": command.seed,
                "tap": command.tap_path,
            }
        case PlaceSlots():
            return {"seat": _encode_slots(command.slots)}
        case BeginFault():
            return {"fault": command.fault_id, "on": _encode_fault(command.spec)}
        case EndFault():
            return {"fault": command.fault_id, "off": True}
        case ReportCounts():
            return {"say": True}


def decode_start(line: str | bytes) -> StartEmulator:
    """Decodes the first line to an emulator. Errors: `LinkCommandError`."""
    document = _object(line)
    if not {"tcp", "udp"} <= document.keys():
        raise LinkCommandError(f"a first line has the keys tcp and udp, not {sorted(document)}")
    return StartEmulator(
        document["tcp"],
        document["udp"],
        decode_slots(document.get("seats", {})),
        int(document.get("seed", 0)),
        document.get("tap"),
    )


def decode_command(line: str | bytes) -> Command:
    """Decodes a later line to an emulator. Errors: `LinkCommandError`."""
    document = _object(line)
    if "say" in document:
        return ReportCounts()
    if "seat" in document:
        return PlaceSlots(decode_slots(document["seat"]))
    if "fault" in document and "on" in document:
        return BeginFault(_fault_id(document["fault"]), decode_fault(document["on"]))
    if "fault" in document and "off" in document:
        return EndFault(_fault_id(document["fault"]))
    raise LinkCommandError(f"no command has the keys {sorted(document)}")


def encode_answer(answer: Answer) -> JsonObject:
    """Encodes an answer of an emulator as the object of a line."""
    match answer:
        case Ready():
            return {"ready": True}
        case CommandFailed():
            return {"error": answer.reason}
        case LinkCounts():
            return answer.as_json()


def decode_answer(line: str | bytes | JsonObject) -> Answer:
    """Decodes an answer of an emulator, given as a line or its object. Errors: `LinkCommandError`."""
    document = line if isinstance(line, dict) else _object(line)
    if "error" in document:
        return CommandFailed(document["error"])
    return Ready() if document.get("ready") else LinkCounts.from_json(document)


def decode_slots(document: object) -> dict[int, Slot]:
    """Decodes slots by their numbers. Errors: `LinkCommandError`."""
    if not isinstance(document, dict):
        raise LinkCommandError(f"slots are an object by number, not {document!r}")
    try:
        return {int(number): decode_slot(slot) for number, slot in document.items()}
    except ValueError as error:
        raise LinkCommandError(str(error)) from None


def decode_slot(document: object) -> Slot:
    """Decodes one slot. Errors: `LinkCommandError`."""
    if not isinstance(document, dict) or not isinstance(document.get("name"), str):
        raise LinkCommandError(f"a slot is an object with a name, not {document!r}")
    return Slot(
        document["name"],
        _member(SlotKind, document.get("kind") or "", "a slot's kind"),
        document.get("zone") or "",
        stream_address=_socket_address(document.get("tcp")),
        datagram_address=_socket_address(document.get("udp")),
        refuses=bool(document.get("refuses")),
        announce_caller=bool(document.get("whose")),
    )


def decode_fault(document: object) -> FaultSpec:
    """Decodes the description of a fault. Errors: `LinkCommandError` that names key and value."""
    if not isinstance(document, dict) or not document.keys() <= FAULT_KEYS:
        raise LinkCommandError(f"a fault has the keys {', '.join(sorted(FAULT_KEYS))}, not {document!r}")
    figures = {key: _figure(key, document.get(key, usual)) for key, usual in FIGURES.items()}
    if figures["share"] > 1:
        raise LinkCommandError(f"share is at most 1, not {figures['share']!r}")
    return FaultSpec(
        _member(LinkFaultKind, document.get("kind"), "a fault's kind"),
        _terms("from", document.get("from", [ANY])),
        _terms("to", document.get("to", [ANY])),
        both_ways=bool(document.get("both")),
        traffic=_member(LinkTraffic, document.get("what", LinkTraffic.ALL), "what a fault lies on"),
        share=figures["share"],
        delay=int(figures["delay_ms"] * MILLI),
        jitter=int(figures["jitter_ms"] * MILLI),
        rate=figures["bytes_per_s"],
    )


def _encode_slots(slots: Mapping[int, Slot]) -> JsonObject:
    return {str(number): _encode_slot(slot) for number, slot in slots.items()}


def _encode_slot(slot: Slot) -> JsonObject:
    return {
        "name": slot.name,
        "kind": slot.kind,
        "zone": slot.zone,
        "tcp": slot.stream_address,
        "udp": slot.datagram_address,
        "refuses": slot.refuses,
        "whose": slot.announce_caller,
    }


def _encode_fault(spec: FaultSpec) -> JsonObject:
    return {
        "kind": spec.kind,
        "from": list(spec.sources),
        "to": list(spec.destinations),
        "both": spec.both_ways,
        "what": spec.traffic,
        "share": spec.share,
        "delay_ms": spec.delay / MILLI,
        "jitter_ms": spec.jitter / MILLI,
        "bytes_per_s": spec.rate,
    }


def _object(line: str | bytes) -> JsonObject:
    try:
        document = json.loads(line)
    except ValueError as error:
        raise LinkCommandError(f"a line is one JSON object: {error}") from None
    if not isinstance(document, dict):
        raise LinkCommandError(f"a line is one JSON object, not {document!r}")
    return document


def _fault_id(value: object) -> str:
    if not isinstance(value, str):
        raise LinkCommandError(f"a fault's id is text, not {value!r}")
    return value


def _member(kinds: type[Kind], value: object, what: str) -> Kind:
    for kind in kinds:
        if value == kind.value:
            return kind
    raise LinkCommandError(f"{what} is one of {', '.join(kinds)}, not {value!r}")


def _figure(key: str, value: object) -> float:
    if isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < MAX_NUMBER:
        return float(value)
    raise LinkCommandError(f"{key} is a number from 0 on, not {value!r}")


def _terms(key: str, value: object) -> tuple[str, ...]:
    if not isinstance(value, list) or not all(isinstance(term, str) for term in value):
        raise LinkCommandError(f"{key} is a list of terms that name slots, not {value!r}")
    return tuple(value)


def _socket_address(value: object) -> str | None:
    """An IPv4 address with a port, or None for nothing."""
    if not value:
        return None
    try:
        if isinstance(value, str) and parse_address(value).family == AF_INET:
            return value
    except ValueError:
        pass
    raise LinkCommandError(f"{value!r} is no IPv4 address and port")
