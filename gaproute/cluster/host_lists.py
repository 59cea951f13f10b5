"""A host list for each gateway, with the addresses by which it alone finds the hosts; late or deaf by
gateway."""

import os

from gaproute.scenarios.processes import MILLI

SLICE = 16  # files written in one turn: some milliseconds, so that the parent keeps time
GATHER = 5 * MILLI  # changes that come together are told together


class GatewayHostLists:
    """Has the face of a trial's `HostListFile`; `late` is the lateness that strikes all gateways."""

    def __init__(self, loop, tap, seats, table, folder):
        self.loop, self.tap, self.hosts, self.table, self.folder = loop, tap, seats, table, folder
        self.delay, self.asked, self.count = 0, False, 0
        self.behind = {}  # gateway: ns that its list is late, or None where it is not told at all
        self.newest = [0] * table.day.gateways  # snapshot written: a late one never undoes a newer
        self.told = [{} for _ in range(table.day.gateways)]  # by gateway: {host: state last told}
        folder.mkdir(exist_ok=True)

    def path(self, number):
        return self.folder / f"g{number}.list"

    def publish(self):
        """All gateways are told, soon; a late one of what stands now, later."""
        if not self.asked:
            self.asked = True
            self.loop.spawn(self._publish())

    def _publish(self):
        yield self.loop.sleep(GATHER)
        self.asked = False
        now = self.snapshot()
        for number in range(self.table.day.gateways):
            late = self.behind.get(number, 0)
            if late:
                self.loop.after(late, self.write, number, now)
            elif late == 0:
                self.write(number, now)
            if number % SLICE == SLICE - 1:
                yield self.loop.sleep(0)

    def snapshot(self):
        """(its number, [(seat, its state, what stands before and after its address)]) as of now."""
        self.count += 1
        return self.count, [
            (seat, "gone", ())
            if seat.state == "absent"
            else (seat, seat.state, seat.list_line("@").split("@"))
            for seat in self.hosts.by_name.values()
            if seat.process is not None
        ]

    def write(self, number, rows):
        """The gateway's file, whole and at once; `told` notes what is new to it."""
        count, rows = rows
        before = self.newest[number]
        if count <= before:
            return
        self.newest[number] = count
        path, told = self.path(number), self.told[number]
        fresh, link = path.with_suffix(f".{count}"), path.with_suffix(".new")
        fresh.write_text(
            "".join(
                f"{parts[0]}{self.table.host(number, seat)}{parts[1]}\n" for seat, _, parts in rows if parts
            )
        )
        # A link is put in place of a link: a file in place of a file is first written to the disk by ext4,
        # 40 ms each on a busy one.
        os.symlink(fresh.name, link)
        os.replace(link, path)
        if before:
            path.with_suffix(f".{before}").unlink()
        for seat, state, _ in rows:
            if told.get(seat.name) != state:
                told[seat.name] = state
                self.tap.note("told", gateway=number, host=seat.name, state=state)

    def first(self):
        """Before the gateways start: all files, at once."""
        rows = self.snapshot()
        for number in range(self.table.day.gateways):
            self.write(number, rows)
        self.tap.flush()

    def publish_state(self, seat, state, delay):
        """A coroutine: the list tells of the seat after the delay, later still while the list is late."""
        yield self.loop.sleep(delay + self.delay)
        seat.state = state
        self.publish()

    def strike(self, line, numbers):
        """A coroutine: a `list` line, on these gateways; healed, they are told at once what stands."""
        yield self.loop.sleep(line.at)
        struck = dict.fromkeys(numbers, line.back if line.kind == "late" else None)
        self.behind |= struck
        self.tap.note("list", kind=line.kind, gateways=numbers, lasts=line.lasts)
        yield self.loop.sleep(line.lasts)
        for number in struck:
            self.behind.pop(number, None)
        rows = self.snapshot()
        for place, number in enumerate(struck):
            self.write(number, rows)
            if place % SLICE == SLICE - 1:
                yield self.loop.sleep(0)
