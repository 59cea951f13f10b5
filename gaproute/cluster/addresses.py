"""The address by which one seat reaches another: 127.x.y.z, whose 24 bits are the caller's and the called's
numbers.

No socket and no table is needed for a pair: whoever listens on all of 127/8 reads from the address that was
called who calls whom. Seats from 16 on never fall into 127.0.x.x, where the processes themselves listen.
"""

LOWEST, HIGHEST = 16, 4000  # seats: below lies 127.0.x.x; 12 bits, clear of the broadcast 127.255.255.255
SEAT_BITS = 12


def between(caller, called):
    """Where seat `caller` finds seat `called`, and what `called` sees as its caller's address, the other way
    round. Errors: ValueError for a number that is no seat's."""
    for seat in (caller, called):
        if not LOWEST <= seat <= HIGHEST:
            raise ValueError(f"{seat} is no seat: they are {LOWEST} to {HIGHEST}")
    bits = caller << SEAT_BITS | called
    return f"127.{bits >> 16}.{bits >> 8 & 255}.{bits & 255}"


def of(ip):
    """(caller, called) of an address as text. Errors: ValueError where it is not between two seats."""
    net, x, y, z = (int(part) for part in ip.split("."))
    return pair(net << 24 | x << 16 | y << 8 | z)


def pair(number):
    """The same of an address as the number of its four bytes: so the kernel tells it with a datagram."""
    caller, called = number >> SEAT_BITS & 0xFFF, number & 0xFFF
    if number >> 24 != 127 or not (LOWEST <= caller <= HIGHEST and LOWEST <= called <= HIGHEST):
        raise ValueError("not an address between two seats")
    return caller, called
