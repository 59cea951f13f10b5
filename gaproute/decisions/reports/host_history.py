"""What a gateway tells of its own: its host list and what it saw."""

GONE_KEPT = 1024  # hosts remembered as gone: more than a fleet replaces in a roll


class HostHistory:
    """What a gateway's own host list told of each host, and when; hosts that left it are gone."""

    def __init__(self):
        self.told = {}  # worker: (state, start, when that was first told)

    def listed(self, now, rows):
        """`rows`: {worker: (state, start of its life, ns since 1970, 0: none told)}, the whole list."""
        for name, row in rows.items():
            if self.told.get(name, ())[:2] != row:
                self.told.pop(name, None)
                self.told[name] = (*row, now)
        for name in [name for name, told in self.told.items() if name not in rows and told[0] != "gone"]:
            started = self.told.pop(name)[1]
            self.told[name] = ("gone", started, now)
        gone = [name for name, told in self.told.items() if told[0] == "gone" and name not in rows]
        for name in gone[:-GONE_KEPT]:
            del self.told[name]

    def lives(self):
        return {name: started for name, (state, started, _) in self.told.items() if state == "active"}


def own_observations(gateway, roll, tracks, now, since=-1):
    """What a gateway saw itself since then, one by one: (subject, value, when). `tracks`: their names."""
    for name, (state, started, at) in list(roll.told.items()):
        if at > since:
            yield ("listed", name), (state, started), at
    for kind, names, value, at in gateway.known(now, since):
        if kind == "warm":
            told = roll.told.get(names[0])
            value = (*value, told[1] if told else 0)
        elif kind == "doubt":
            names = (names[0], tracks[names[1]])
        yield (kind, *names), value, at
