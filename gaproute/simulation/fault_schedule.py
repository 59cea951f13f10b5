"""The faults of one run, drawn from its seed. Each fault has its own begin and end and does not know the
others, so any of them can be taken out and the rest is still a plan."""

import msgspec

from gaproute.simulation.seeded_random import SeededRandom

MILLI, SECOND = 1_000_000, 1_000_000_000
RATE = 100  # millionths that a clock may go wrong: what NTP-less quartz is built to
CALM = 2 * SECOND  # ns before the first fault, in which the actors find each other
OPERATIONS = 12  # a crash in the middle of a call comes within so many operations of the disk
# kind: how often beside the others
KINDS = {
    "crash": 4,
    "fuse": 6,
    "wipe": 1,
    "spoil": 1,
    "pause": 4,
    "cut": 4,
    "cut both": 2,
    "part": 4,
    "lose": 2,
    "double": 2,
    "slow": 2,
    "hold": 2,
    "full": 1,
    "read-only": 1,
    "failing": 1,
    "pace": 2,
}
LEADER = -1  # what stands or falls with the leader is hit by chance too seldom
LED = ("crash", "fuse", "pause", "cut both", "cut", "part")
MEMORY = ("wipe", "spoil")  # those that cost an actor its memory
LONGEST = {"lose": 4, "double": 6, "slow": 4, "pace": 8, "part": 4, "pause": 5}  # s; others 3


class ScheduledFault(msgspec.Struct, frozen=True, array_like=True):
    """`who` are numbers of actors, LEADER being whoever leads when it begins; `value` is the share, ns,
    operations or millionths, as the kind has it."""

    kind: str
    at: int
    until: int
    who: tuple[int, ...] = ()
    value: int = 0


class FaultSchedule(msgspec.Struct, frozen=True):
    """`end`: when the faults are over; `settle`: ns after it in which all must come right again."""

    seed: int
    end: int
    faults: tuple[ScheduledFault, ...] = ()
    settle: int = 0

    def text(self):
        """To be kept as a test; `kept` reads it."""
        return msgspec.json.encode(self).decode()


def kept(text):
    return msgspec.json.decode(text, type=FaultSchedule)


def draw(seed, size, end, kinds=None, wiped=None, faulty=None, beyond=0, settle=0, led=False):
    """A plan for `size` actors over `end` ns. `kinds` leaves out others. A run has some kinds only, drawn for
    it: a run with everything at once hides what one kind alone would show. Disks are lost by the actors in
    `wiped` only (default: none), faults of one actor befall those in `faulty` (default: all). `beyond` > 0
    lets clocks go wrong by so many millionths. `led`: half of the faults that one actor has befall the leader
    of that moment."""
    chance = SeededRandom(seed, "plan")
    faulty = list(range(size)) if faulty is None else faulty
    offered = [kind for kind in KINDS if kinds is None or kind in kinds]
    if not wiped:
        offered = [kind for kind in offered if kind not in MEMORY]
    chosen = [kind for kind in offered if chance.below(5) < 3] or offered
    weighed = [kind for kind in chosen for _ in range(KINDS[kind])]
    faults, least = [], chance.of((150, 400, 900)) * MILLI
    now = min(CALM, end // 4)
    while True:
        now += least + chance.below(3 * least)
        if now >= end or not weighed:
            break
        kind = chance.of(weighed)
        most = LONGEST.get(kind, 3) * SECOND
        until = min(end, now + 50 * MILLI + chance.below(most) // chance.of((1, 1, 4)))
        fault = _fault(chance, kind, now, until, size, wiped, faulty, beyond)
        if led and kind in LED and chance.below(2):
            fault = msgspec.structs.replace(fault, who=(LEADER, *fault.who[1:]))
        faults.append(fault)
    return FaultSchedule(seed, end, tuple(faults), settle)


def _fault(chance, kind, now, until, size, wiped, faulty, beyond):
    who, value = (chance.of(faulty),), 0
    if kind in MEMORY:
        who = (chance.of(wiped),)
    elif kind == "fuse":
        value = chance.between(1, OPERATIONS) * 2 + chance.below(2)  # the low bit: after the effect
    elif kind in ("cut", "cut both", "hold"):
        first = chance.below(size)
        who = (first, (first + 1 + chance.below(size - 1)) % size) if size > 1 else (first, first)
    elif kind == "part":
        who = tuple(number for number in range(size) if chance.below(2))
    elif kind == "lose":
        value = chance.of((20_000, 100_000, 400_000))
    elif kind == "double":
        value = chance.of((50_000, 300_000))
    elif kind == "slow":
        value = chance.of((30, 200, 1500)) * MILLI
    elif kind == "pace":
        most = beyond or RATE
        value = chance.between(-most, most)
    return ScheduledFault(kind, now, until, who, value)
