"""Counts and the last events of one gateway."""

from collections import Counter, deque
from zlib import crc32

from gaproute.interface import Result

LAST = 256  # events kept for an operator's look
TIMES = 512  # last answer times kept for each track
FOLLOWED = 32  # of so many tasks one is followed, by its mark: the same at every gateway


class Record:
    def __init__(self, log, tracks, followed=FOLLOWED):
        self.followed = followed  # 1: each task; 0: none
        self.log, self.tracks = log, tracks  # names of the tracks, in their order
        self.counts = Counter()  # (what, track name or worker, ...): how often
        self.times = [deque(maxlen=TIMES) for _ in tracks]  # ns from first byte to final answer
        self.events = deque(maxlen=LAST)

    def event(self, level, what, /, **told):
        self.events.append((what, told))
        getattr(self.log, level)(what, **told)

    def taken(self, track):
        self.counts["taken", self.tracks[track]] += 1

    def left(self, track):
        self.counts["left", self.tracks[track]] += 1

    def ended(self, track, ending, took):
        self.counts[ending.value, self.tracks[track]] += 1
        self.times[track].append(took)

    def outcome(self, worker, track, result, took):
        self.counts["relay", worker, result.value] += 1
        if result is not Result.OK:
            self.counts["failed", self.tracks[track], worker, result.value] += 1

    def ordered(self, worker, function, copies):
        self.counts["order", worker] += 1

    def forget(self, worker):
        """The worker is gone for good: its counts go with it."""
        for key in [key for key in self.counts if worker in key]:
            del self.counts[key]

    def follows(self, mark):
        return bool(mark) and self.followed > 0 and crc32(mark.encode()) % self.followed == 0

    def step(self, mark, what, **told):
        """One step of a task that is followed."""
        self.log.info("step", mark=mark, step=what, **told)

    def fault(self, text, key):
        self.event("error", "fault", text=text, task=key)

    def table(self):
        """The counts as nested plain data: {what: {subject: count or {detail: count}}}."""
        told = {}
        for (what, *path), count in sorted(self.counts.items()):
            place = told.setdefault(what, {})
            for part in path[:-1]:
                place = place.setdefault(part, {})
            place[path[-1]] = count
        return told
