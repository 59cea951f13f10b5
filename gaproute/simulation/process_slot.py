"""An actor's place in a run: what outlives its process (name, disk, clock) and the process that sits there
now."""


class ProcessSlot:
    __slots__ = (
        "name",
        "number",
        "make",
        "disk",
        "clock",
        "chance",
        "actor",
        "life",
        "due",
        "paused",
        "inbox",
        "lost",
        "fast",
        "paces",
    )

    def __init__(self, name, number, make, disk, clock, chance, fast):
        self.name, self.number, self.make = name, number, make
        self.disk, self.clock, self.chance = disk, clock, chance
        self.actor, self.life = None, 0  # None: no process; how often one was started
        self.due = None  # the true time of the tick that counts; others are stale
        self.paused = 0  # stops that stand
        self.inbox = []  # what came while stopped: the kernel keeps it
        self.fast, self.paces = fast, {}  # its clock's own pace, millionths; others by the fault's number
        self.lost = 0  # messages that came while there was no process
