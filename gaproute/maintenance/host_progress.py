"""One host in a running round: its states, and what is known of every host's life.

| state | means | goes on to |
| --- | --- | --- |
| `waiting` | to go, in service; also after what was begun was given back | `draining` |
| `draining` | told to take no new task; its tasks end | `asking` on proof; `waiting` when given back |
| `asking` | drained; its permit is asked for | `ready` when held; `waiting` when given back |
| `ready` | its crew may have it | `out` when the crew asks; `waiting` when given back |
| `out` | given to the crew, which may begin until `until` | `back`, `lost`; `waiting` where none began |
| `lost` | not back in time | `back` when it shows itself after all |
| `back` | there again, cold: it counts what it is seen warm with, and gets again what it had | `done` |
| `done` | has again what it had, or was given up on that | |
"""

SECOND = 1_000_000_000

GONE = 6 * SECOND  # without an answer: not there; some probes
AWAY = ("draining", "asking", "ready", "out", "lost")
UNDONE = ("draining", "asking", "ready")  # can still be given back


class HostProgress:
    __slots__ = ("name", "state", "marked", "mark", "wish", "start", "had", "until", "since")

    def __init__(self, name):
        self.name, self.state, self.wish, self.had = name, "waiting", None, ()
        self.marked, self.mark = 0, (0, 0)  # when it was told to drain, and by which number
        self.start = 0  # of the process that was drained
        self.until = 0  # own ns until which the crew may begin
        self.since = 0  # own ns at which this state began

    def to(self, now, state):
        self.state, self.since = state, now


class HostIncarnations:
    """What is known of all hosts' lives: from when on what was seen of each counts."""

    def __init__(self):
        self.starts, self.since = {}, {}

    def see(self, now, fleet, shown):
        """Returns the hosts that have begun another life."""
        anew = []
        for name in fleet:
            seen = shown.get(name)
            if seen is None:
                continue
            before = self.starts.get(name)
            if before != seen.start:
                self.starts[name] = seen.start
                self.since[name] = seen.asked
                if before is not None:
                    anew.append(name)
        for name in [name for name in self.starts if name not in fleet]:
            del self.starts[name], self.since[name]
        return anew

    def counting(self, now, turn, fleet, shown):
        """{host: own ns after which sights of it count}; hosts that are not there, or may be in the hands of
        whoever had the turn before (drained since then not asked again), do not count."""
        return {
            name: max(turn, self.since[name])
            for name in fleet
            if name in self.since
            and there(now, shown.get(name))
            and shown[name].asked > turn
            and not shown[name].draining
        }


def there(now, seen):
    return seen is not None and now - seen.asked < GONE
