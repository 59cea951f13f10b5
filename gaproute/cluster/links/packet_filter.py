"""Classic packet filters of Linux (BPF; `man 7 socket`, SO_ATTACH_FILTER), which need no privilege."""

from __future__ import annotations

import ctypes
import socket
import struct
from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

SO_ATTACH_FILTER = 26  # of Linux, which Python does not name
MAX_INSTRUCTIONS = 4096  # that the kernel takes (BPF_MAXINSNS)


class Opcode(IntEnum):
    """The instructions that are used here. They work on the accumulator."""

    LOAD_BYTE = 0x30  # of the packet, at the offset `operand`
    LOAD_HALF = 0x28  # 2 bytes
    LOAD_WORD = 0x20  # 4 bytes
    LOAD_SCRATCH = 0x60  # the scratch word `operand`
    STORE_SCRATCH = 0x02
    AND = 0x54
    SHIFT_RIGHT = 0x74
    JUMP = 0x05  # over `operand` instructions, which may be more than the conditional jumps can skip
    JUMP_IF_EQUAL = 0x15
    JUMP_IF_ABOVE = 0x25
    JUMP_IF_AT_LEAST = 0x35
    RETURN = 0x06  # `operand` bytes of the packet are accepted, 0: it is dropped


class Instruction(NamedTuple):
    """One instruction; `if_true` and `if_false` are how many instructions a conditional jump skips."""

    opcode: Opcode
    operand: int
    if_true: int = 0
    if_false: int = 0


ACCEPT_ALL = Instruction(Opcode.RETURN, 0xFFFFFFFF)
DROP = Instruction(Opcode.RETURN, 0)


def attach(sock: socket.socket, instructions: Sequence[Instruction]) -> None:
    """Attaches a filter to a socket. Errors: OSError if the kernel refuses it."""
    program = b"".join(
        struct.pack("=HBBI", each.opcode, each.if_true, each.if_false, each.operand) for each in instructions
    )
    buffer = ctypes.create_string_buffer(program, len(program))
    sock.setsockopt(
        socket.SOL_SOCKET,
        SO_ATTACH_FILTER,
        struct.pack("HP", len(instructions), ctypes.addressof(buffer)),
    )
