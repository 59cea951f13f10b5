"""The weak word of one gateway: it sees, tells, hears and reads; decisions only, no sockets, the clock and
the chance handed in. Nothing in it raises on what others send; what cannot be is counted by its reason."""

from collections import Counter

from gaproute.shared.gossip.estimates import WITNESSES, Reading, Sums, median
from gaproute.shared.gossip.hosts import ListedHosts
from gaproute.shared.gossip.local_observations import Own
from gaproute.shared.gossip.messages import DEMAND, HANDS, KINDS, LIFE, ROOM, SECOND, SLOTS, WARM
from gaproute.shared.gossip.scheduler import RATE, Told
from gaproute.shared.gossip.table import TOMB_LIFE, Store

REFRESH = SECOND // 2  # sums serve so long: a figure of the fleet is seconds old anyway
WORDS = 8  # of one sender a second, four times what an honest one sends; BURST at once
BURST = 16


class GossipNode:
    """`tick` at the time `due` returns [(peer, GossipMessage)]; `hear` takes each word that came from a peer.

    `rate`: bytes a second that it may tell.
    """

    def __init__(self, name, incarnation, chance, now, rate=RATE):
        self.name, self.incarnation = name, incarnation
        self.own, self.store, self.told, self.hosts = (
            Own(now),
            Store(),
            Told(chance, now, rate),
            ListedHosts(),
        )
        self.purses = {}  # sender: (words it may still send, when that was so)
        self.sums = {}  # kind: (when made, Sums)
        self.turn = 0
        self.heard = 0
        self.refused = Counter()

    # What this gateway sees

    def record_arrival(self, now, function, track, count=1):
        """`track`: its place among the tracks, 0 to 255."""
        self.own.arrivals.record(now, self.own.key(function), track & 255, count)

    def record_in_flight(self, now, host, tasks):
        """Own tasks in hand there now."""
        self.own.figure(HANDS, host, tasks)

    def record_available_capacity(self, now, host, lanes):
        """Lanes believed spare there."""
        self.own.figure(ROOM, host, lanes)

    def record_warm_instance(self, now, host, function):
        """An answer or a probe just showed a copy."""
        self.own.warm(now, host, function)

    def record_unloaded_instance(self, now, host, function):
        self.own.cold(host, function)

    # Who is there

    def peers(self, now, names):
        """Who is up now, with or without this gateway. What one that went had told counts no more; it counts
        again once it is back under a higher incarnation."""
        names = [name for name in names if name != self.name]
        kept = dict.fromkeys(names)
        for name in self.told.names:
            if name not in kept:
                self.purses.pop(name, None)
                last = self.store.last(name)
                if last:
                    self.store.bury(now, name, last)
        self.told.listed(names)

    def listed(self, now, hosts):
        """{host: its start} as listed now; what was seen of a host before it went or started anew is void."""
        gone = self.hosts.update(now, hosts, self.own.key)
        if gone:
            self.own.forget(dict.fromkeys(gone))
            self.sums.clear()

    def renew(self, incarnation):
        """This gateway goes on under another incarnation: others held it dead."""
        self.incarnation = max(self.incarnation, incarnation)

    # Telling and hearing

    @property
    def due(self):
        return self.told.next

    def tick(self, now):
        names = list(self.store.tellers) if self.turn % 64 == 0 else ()
        self.turn += 1
        for name in names:  # every few seconds: what faded goes, so that nothing grows
            self.store.fade(now, name)
        self.hosts.expire(now, TOMB_LIFE)
        return self.told.tick(now, self.own, self.incarnation)

    def hear(self, now, sender, word):
        """`word`: a GossipMessage, or a function that decodes one (None where it is none), called only where
        the sender may still speak. Returns how many pages were news."""
        if sender not in self.told.peers:
            self.refused["stranger"] += 1
            return 0
        left, at = self.purses.get(sender, (BURST, now))
        left = min(BURST, left + (now - at) * WORDS / SECOND)
        if left < 1:
            self.refused["flood"] += 1
            return 0
        self.purses[sender] = left - 1, now
        word = word() if callable(word) else word
        if word is None or len(word.pages) > sum(SLOTS):
            self.refused["nonsense"] += 1
            return 0
        self.heard += 1
        return sum([self.store.take(now, sender, word.incarnation, page) for page in word.pages])

    # Reading

    def hands(self, now, host):
        """Tasks in hand at the host, of the whole fleet."""
        name = self.own.key(host)
        return self._sums(now, HANDS).reading(
            name, self.own.figures[HANDS].get(name, 0.0), len(self.told.names)
        )

    def demand(self, now, function, track):
        """Arrivals a second in the whole fleet, with their spread as if gateways' arrivals were independent.
        Of a function that few gateways have among their most it is a lower bound: see `rest`."""
        name = self.own.key(function), track
        self.own.arrivals.advance(now)
        own, spread = self.own.arrivals.rate(name)
        return self._sums(now, DEMAND).reading(name, own, len(self.told.names), spread)

    def rest(self, now):
        """Arrivals a second of functions that their tellers do not name."""
        sums = self._sums(now, DEMAND)
        return Reading(
            self.own.page(now, DEMAND).rest, sums.rest, sums.tellers, len(self.told.names), sums.age
        )

    def room(self, now, host):
        """(the median of what is believed spare there, own belief among it, by how many, mean age in ns),
        None where nobody tells. A median: beliefs of one thing do not add up."""
        name, found = self.own.key(host), []
        for _, held in self.store.fresh(now, ROOM):
            if self.hosts.is_current(name, held.seen):
                found += [(lanes, now - held.seen) for other, lanes in held.entries if other == name]
        if name in self.own.figures[ROOM]:
            found.append((self.own.figures[ROOM][name], 0))
        if not found:
            return None
        return median([lanes for lanes, _ in found]), len(found), sum(age for _, age in found) // len(found)

    def warm(self, now, function):
        """{host: (age of the latest sight in ns, who saw the copy, latest first)}: a lower bound of the
        copies that stand, as tellers name only those that they saw last."""
        name, found = self.own.key(function), {}
        slot = name % SLOTS[WARM]
        pages = [(teller, held.seen, held.entries) for teller, held in self.store.fresh(now, WARM, (slot,))]
        pages.append(
            (
                self.name,
                now,
                [(host, other, now - seen) for (host, other), seen in self.own.copies[slot].items()],
            )
        )
        for teller, at, entries in pages:
            for host, other, age in entries:
                if other == name and now - at + age <= LIFE[WARM] and self.hosts.is_current(host, at - age):
                    found.setdefault(self.hosts.names[host], []).append((now - at + age, teller))
        return {
            host: (min(seen)[0], tuple(teller for _, teller in sorted(seen)[:WITNESSES]))
            for host, seen in found.items()
        }

    def _sums(self, now, kind):
        made, sums = self.sums.get(kind, (now - 2 * REFRESH, None))
        if now - made >= REFRESH:
            if kind == HANDS:
                sums = Sums(
                    now,
                    kind,
                    self.store.fresh(now, kind),
                    sum(self.own.figures[HANDS].values()),
                    lambda entry: entry[1],
                    lambda entry: entry[0],
                    None,
                    lambda held, entry: self.hosts.is_current(entry[0], held.seen),
                )
            else:
                sums = Sums(
                    now,
                    kind,
                    self.store.fresh(now, kind),
                    self.own.arrivals.total(),
                    lambda entry: entry[2],
                    lambda entry: entry[:2],
                    lambda entry: entry[3],
                )
            self.sums[kind] = now, sums
        return sums

    def status(self, now):
        """For operators: what is told and heard, and by how many tellers each kind is known."""
        return {
            "peers": len(self.told.names),
            "sent": self.told.sent,
            "bytes": self.told.bytes,
            "heard": self.heard,
            "refused": dict(self.refused + self.store.refused),
            "tellers": {KINDS[kind]: len(self.store.fresh(now, kind)) for kind in (HANDS, ROOM, DEMAND)},
            "clipped": sum(sums.clipped for _, sums in self.sums.values()),
            "alike": self.hosts.key_collisions,
        }
