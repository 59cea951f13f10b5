"""The host list as the change log tells it: events numbered from 1, the whole list at any time."""

PHASES = {"active": "Ready", "draining": "Terminating", "gone": "Gone"}
STATES = {phase: state for state, phase in PHASES.items()}  # the judge's words


def member(name, where, state="active", zone="hall-a", cell=0, size=4, up_since=0):
    """A line of the list. `up_since`: the Unix time of a late start, ms; 0 where it stood from the first."""
    return {
        "id": name,
        "host_port": where,
        "locality": zone,
        "flavor": "std",
        "cell": cell,
        "phase": PHASES[state],
        "size": size,
        "up_since_ms": up_since,
    }


class VersionedHostList:
    """Whoever commands the log keeps one, and so does the log: both count alike."""

    def __init__(self):
        self.seq, self.members = 0, {}

    def change(self, *members):
        """The next event, as an object of the log and as a command to it."""
        self.seq += 1
        for each in members:
            if each["phase"] == "Gone":
                self.members.pop(each["id"], None)
            else:
                self.members[each["id"]] = each
        return {
            "seq": self.seq,
            "fleet": {"revision": self.seq, "complete": self.seq == 1, "members": list(members)},
        }

    def snapshot(self):
        """What a gateway that starts now is told in its file."""
        whole = {
            "seq": self.seq,
            "fleet": {"revision": self.seq, "complete": True, "members": list(self.members.values())},
        }
        return {"seq": self.seq, "results": [whole] if self.seq else []}
