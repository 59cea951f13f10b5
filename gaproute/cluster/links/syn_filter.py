"""What keeps a connection from opening at all, as a packet filter for the listening socket.

The kernel shakes hands before the wire is asked, so a caller would believe that it is connected to a host
behind a cut, and hand it a request that may then have run. The filter drops the first packet (SYN) of what
cannot open: the caller tries again after 1, 3, 7 s as ever, and its connect times out, which proves that
nothing ran. It is the classic packet filter of Linux (`man 7 socket`, SO_ATTACH_FILTER), which needs no
privilege.
"""

import ctypes
import socket
import struct

from gaproute.cluster.addresses import HIGHEST, LOWEST, SEAT_BITS

ATTACH = 26  # SO_ATTACH_FILTER of Linux
LONGEST = 4096  # instructions that the kernel takes (BPF_MAXINSNS)
HEADER = 0x100000000 - 0x100000  # SKF_NET_OFF: where the IP header begins, seen from TCP's
LOAD_BYTE, LOAD_WORD, LOAD_KEPT, KEEP = 0x30, 0x20, 0x60, 0x02  # BPF's codes: loads; scratch words
AND, SHIFT, JUMP, EQUAL, ABOVE, FROM, END = 0x54, 0x74, 0x05, 0x15, 0x25, 0x35, 0x06
FLAGS, SYN, SYN_ACK, TO = 13, 0x02, 0x12, 16  # TCP's flags and IP's destination, offsets in bytes
CALLER, CALLED = 0, 1  # scratch words
PASS, DROP = 0xFFFFFFFF, 0


def program(weather, refusing=False):
    """Instructions (code, jump if so, jump if not, number); None where the kernel would not take so many:
    then what cannot open is accepted and stays silent. `refusing`: those told to refuse are answered by
    others (`refuser.py`), not let in."""
    dead = [
        n
        for n in range(LOWEST, HIGHEST + 1)
        if (seat := weather.seats.get(n)) is None or seat.tcp is None or refusing and seat.refuses
    ]
    made = [
        (LOAD_BYTE, 0, 0, FLAGS),
        (AND, 0, 0, SYN_ACK),
        (EQUAL, 1, 0, SYN),
        (END, 0, 0, PASS),
        (LOAD_WORD, 0, 0, HEADER + TO),
        (AND, 0, 0, (1 << SEAT_BITS) - 1),
        (KEEP, 0, 0, CALLED),
        (LOAD_WORD, 0, 0, HEADER + TO),
        (SHIFT, 0, 0, SEAT_BITS),
        (AND, 0, 0, (1 << SEAT_BITS) - 1),
        (KEEP, 0, 0, CALLER),
        *_within(CALLED, dead, [(END, 0, 0, DROP)]),
    ]
    for _, one in weather.faults.items():
        if one.kind == "cut" and one.streams:
            # A handshake goes both ways.
            for callers, called in ((one.sources, one.sinks), (one.sinks, one.sources)):
                made += _within(CALLER, callers, _within(CALLED, called, [(END, 0, 0, DROP)]))
    made.append((END, 0, 0, PASS))
    return made if len(made) <= LONGEST else None


def _within(word, numbers, then):
    """`then` where the scratch word is one of `numbers`; jumps far are of a kind of their own (JUMP)."""
    spans = []
    for number in sorted(numbers):
        if spans and spans[-1][1] == number - 1:
            spans[-1][1] = number
        else:
            spans.append([number, number])
    made = [(LOAD_KEPT, 0, 0, word)]
    for place, (low, high) in enumerate(spans):
        made += [(FROM, 0, 2, low), (ABOVE, 1, 0, high), (JUMP, 0, 0, 3 * (len(spans) - place - 1) + 1)]
    return [*made, (JUMP, 0, 0, len(then)), *then]


def attach(sock, instructions):
    """Errors: OSError where the kernel refuses them."""
    words = b"".join(struct.pack("=HBBI", *one) for one in instructions)
    kept = ctypes.create_string_buffer(words, len(words))
    sock.setsockopt(socket.SOL_SOCKET, ATTACH, struct.pack("HP", len(instructions), ctypes.addressof(kept)))
