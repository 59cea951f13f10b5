"""The packet filter of the listening socket, which keeps connections from opening at all.

The kernel shakes hands before the emulator is asked, so a caller would believe that it is connected to a host
behind a cut, and hand it a request that may then have run. The filter drops the first packet (SYN) of what
cannot open: the caller tries again after 1, 3, 7 s as ever, and its connect times out, which proves that
nothing ran.
"""

from __future__ import annotations

from collections.abc import Iterable

from gaproute.cluster.addresses import MAX_SLOT, MIN_SLOT, SLOT_BITS, SLOT_MASK
from gaproute.cluster.links.conditions import NetworkConditions
from gaproute.cluster.links.faults import LinkFaultKind
from gaproute.cluster.links.packet_filter import ACCEPT_ALL, DROP, MAX_INSTRUCTIONS, Instruction, Opcode

IP_HEADER = 0x100000000 - 0x100000  # SKF_NET_OFF: where the IP header begins, seen from TCP's
TCP_FLAGS, IP_DESTINATION = 13, 16  # offsets in bytes
SYN, SYN_ACK = 0x02, 0x12  # flags of TCP
CALLER, CALLEE = 0, 1  # scratch words

Program = list[Instruction]

# Accepts all but SYNs, and puts the numbers of caller and callee of a SYN in the scratch words.
PROLOGUE = (
    Instruction(Opcode.LOAD_BYTE, TCP_FLAGS),
    Instruction(Opcode.AND, SYN_ACK),
    Instruction(Opcode.JUMP_IF_EQUAL, SYN, if_true=1),
    ACCEPT_ALL,
    Instruction(Opcode.LOAD_WORD, IP_HEADER + IP_DESTINATION),
    Instruction(Opcode.AND, SLOT_MASK),
    Instruction(Opcode.STORE_SCRATCH, CALLEE),
    Instruction(Opcode.LOAD_WORD, IP_HEADER + IP_DESTINATION),
    Instruction(Opcode.SHIFT_RIGHT, SLOT_BITS),
    Instruction(Opcode.AND, SLOT_MASK),
    Instruction(Opcode.STORE_SCRATCH, CALLER),
)


def build(conditions: NetworkConditions, *, except_refusing: bool = False) -> Program | None:
    """Makes the filter for these slots and faults.

    None where the kernel would not take so many instructions: then what cannot open is accepted and stays
    silent. `except_refusing`: slots that refuse are left out too, as others answer for them (`refuser.py`).
    """
    program = [*PROLOGUE, *_if_in(CALLEE, _unreachable(conditions, except_refusing=except_refusing), [DROP])]
    for fault in conditions.faults.values():
        if fault.spec.kind is LinkFaultKind.CUT and fault.on_streams:
            # A handshake goes both ways.
            ways = ((fault.sources, fault.destinations), (fault.destinations, fault.sources))
            for callers, callees in ways:
                program += _if_in(CALLER, callers, _if_in(CALLEE, callees, [DROP]))
    program.append(ACCEPT_ALL)
    return program if len(program) <= MAX_INSTRUCTIONS else None


def _unreachable(conditions: NetworkConditions, *, except_refusing: bool) -> list[int]:
    """Numbers of the slots to which no connection can open."""
    return [
        number
        for number in range(MIN_SLOT, MAX_SLOT + 1)
        if (slot := conditions.slots.get(number)) is None
        or slot.stream_address is None
        or (except_refusing and slot.refuses)
    ]


def _if_in(scratch_word: int, numbers: Iterable[int], then: Program) -> Program:
    """`then` where the scratch word is one of `numbers`."""
    ranges = _ranges(numbers)
    program = [Instruction(Opcode.LOAD_SCRATCH, scratch_word)]
    for place, span in enumerate(ranges):
        to_then = 3 * (len(ranges) - place - 1) + 1  # three instructions for each range that is left
        program += [
            Instruction(Opcode.JUMP_IF_AT_LEAST, span.start, if_false=2),
            Instruction(Opcode.JUMP_IF_ABOVE, span.stop - 1, if_true=1),
            Instruction(Opcode.JUMP, to_then),
        ]
    return [*program, Instruction(Opcode.JUMP, len(then)), *then]


def _ranges(numbers: Iterable[int]) -> list[range]:
    """The same numbers as ranges, in their order."""
    ranges: list[range] = []
    for number in sorted(numbers):
        if ranges and ranges[-1].stop == number:
            ranges[-1] = range(ranges[-1].start, number + 1)
        else:
            ranges.append(range(number, number + 1))
    return ranges
