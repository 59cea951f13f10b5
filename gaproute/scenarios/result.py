"""What the taps of a played day say: the rules, the service, what was sent and fetched."""

from gaproute.judge import DayTerms, HostPlace, RequestClassTerms, judge
from gaproute.standins.tap import read_tap

MILLI, SECOND = 1_000_000, 1_000_000_000


class DayResult:
    """What the taps of a played day say."""

    def __init__(self, trial):
        script, out = trial.script, trial.out
        self.tracks = [line.name for line in script.tracks]
        day_hosts = trial.hosts.by_name
        hosts = {
            name: [read_tap(path) for path in sorted(out.glob(f"host-{name}.*.tap"))] for name in day_hosts
        }
        self.clients, self.run = trial.clients.events(), read_tap(out / "run.tap")
        store = read_tap(out / "store.tap")
        copies = script.copies
        terms = DayTerms(
            request_classes={
                line.name: RequestClassTerms.from_track(line.effect, line.group, line.remembers)
                for line in script.tracks
            },
            places={seat.name: HostPlace(seat.zone, seat.rack) for seat in day_hosts.values()},
            load_orders_free=copies.free,
            load_order_share=copies.share,
            load_order_window=copies.window if copies.orders else 0,
            harness_lateness=trial.harness_lateness(),
            longest_deadline=trial.longest_deadline,
        )
        self.broken = judge(terms, hosts, self.clients, self.run)
        self.exit_codes = trial.gateways.exit_codes
        # clients that ended before all their tasks had: what they still waited for is on no tap
        self.unfinished = len(trial.clients.processes) - sum(
            event["what"] == "done" for event in self.clients
        )
        self.fetches = sum(event["what"] == "fetch" for event in store)
        self.turned_away = sum(event["what"] == "turned away" for event in store)
        arrivals = [event for runs in hosts.values() for events in runs for event in events]
        self.relays = sum(event["what"] == "task" for event in arrivals)
        self.orders = sum(event["what"] == "order" and event["count"] > 0 for event in arrivals)
        self.fell = sum(event["what"] == "fell over" for event in arrivals)
        self.ends = [
            event for event in self.clients if event["what"] in ("answer", "overdue", "left", "broken")
        ]
        self.begun = next((event["at"] for event in self.run if event["what"] == "begun"), 0)
        self.length = script.day.length
        worth = {line.name: line.earnings for line in script.tracks}
        contract = {line.name: line.contract for line in script.tracks}
        # A client's retries count with its first try: served if any answer came within the contract time of
        # it.
        firsts = {}
        # one that found no gateway was not served either
        tried = [event for event in self.clients if event["what"] == "unreachable"]
        for event in sorted([*self.ends, *tried], key=lambda event: event["asked"]):
            first = firsts.setdefault(
                event["first"], [event["asked"], event["track"], False, event["what"] == "left"]
            )
            if (
                event["what"] == "answer"
                and event["outcome"] == "delivered"
                and event["status"] == 200
                and event["at"] - first[0] <= contract[event["track"]]
            ):
                first[2] = True
        self.firsts = [(asked, track, good) for asked, track, good, left in firsts.values() if not left]
        self.service = self._service(worth, lambda asked, track: True)
        self.by_track = {
            track: self._service(worth, lambda asked, of, track=track: of == track) for track in self.tracks
        }
        self.windows = [
            self._service(worth, lambda asked, track, at=at: at <= (asked - self.begun) // SECOND < at + 5)
            for at in range(0, self.length // SECOND, 5)
        ]

    def _service(self, worth, within):
        asked = [(worth[track], good) for at, track, good in self.firsts if within(at, track)]
        total = sum(each for each, _ in asked)
        return sum(each for each, good in asked if good) / total if total else None

    def outcomes(self, track):
        ends = [event for event in self.ends if event["track"] == track]
        return {
            name: sum(
                (event["outcome"] if event["what"] == "answer" else event["what"]) == name for event in ends
            )
            for name in ("delivered", "declined", "scrapped", "left", "broken", "overdue")
        }

    @property
    def well(self):
        ended_well = all(code == 0 for code in self.exit_codes.values())
        return not self.broken and bool(self.ends) and not self.unfinished and ended_well

    def plain(self):
        """The result as plain data."""
        return {
            "service": self.service,
            "by_track": self.by_track,
            "windows": self.windows,
            "outcomes": {track: self.outcomes(track) for track in self.tracks},
            "relays": self.relays,
            "orders": self.orders,
            "fetches": self.fetches,
            "turned_away": self.turned_away,
            "fell_over": self.fell,
            "exit_codes": self.exit_codes,
            "clients_unfinished": self.unfinished,
            "broken": [broken._asdict() for broken in self.broken],
        }
