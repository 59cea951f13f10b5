"""The learning side: at its start a gateway asks its peers, chunk by chunk, then for what changed, and books
the hints.

What has come from a peer that dies or stalls in the middle stays usable. Answers are booked as they come, so
that the first chunk, which holds what was used last, helps while the rest is on its way.
"""

from gaproute.decisions.reports.exchange_limits import (
    ANSWER,
    ANSWER_TIME,
    ASKED,
    CHANGES,
    CHUNKS,
    LEARN_TIME,
    TRIES,
    TRY_AGAIN,
)
from gaproute.decisions.reports.shared_observations import SharedObservations
from gaproute.http1 import Exchange
from gaproute.loop import Promise
from gaproute.loop.streams import address
from gaproute.peers import observation_wire

MILLI, SECOND = 1_000_000, 1_000_000_000


class ObservationClient:
    """`book(subjects)` hands the module what the lore now holds of them; `done()` at a snapshot's end."""

    def __init__(self, loop, peers, lore, book, done, record):
        self.loop, self.lore, self.book, self.done, self.record = loop, lore, book, done, record
        self.booked = 0
        self.ends = loop.now() + LEARN_TIME
        self.state, self.routines = {}, []
        self.listed(peers)

    def listed(self, peers):
        """Peers as they are listed now: those not asked yet are asked, while there is time and there are not
        too many."""
        for peer in peers:
            if peer.name not in self.state and self.loop.now() < self.ends:
                asked = sum(state == "asked" for state in self.state.values())
                if asked >= ASKED:
                    break
                self.state[peer.name] = "asked"
                self.routines.append(self.loop.spawn(self.ask(peer)))

    def ask(self, peer):
        cursor, life, mark, came, tries = 0, 0, 0, 0, 0
        for _ in range(CHUNKS):
            asked = self.loop.now()
            if asked > self.ends:
                self.state[peer.name] = f"told {came} facts" if mark else f"out of time after {came} facts"
                return
            answer, stalled = yield self.exchange(peer, observation_wire.ask(cursor, life, mark))
            if answer is not None and answer.status == 503:
                wait = answer.headers.get(b"gaproute-retry-after-ms", b"")
                yield self.loop.sleep(min(SECOND, int(wait) * MILLI) if wait.isdigit() else 100 * MILLI)
                continue
            if answer is None and not came and not stalled and tries < TRIES:
                tries += 1  # not there: it may be starting as well
                yield self.loop.sleep(TRY_AGAIN)
                continue
            told = (
                observation_wire.read_told(answer.body)
                if answer is not None and answer.status == 200
                else None
            )
            if told is None:
                self.state[peer.name] = f"dropped after {came} facts"
                self.record.event("warning", "peer dropped", peer=peer.name, facts=came)
                return
            came += self.take(peer.name, asked, told)
            cursor = told.next
            if cursor:
                continue
            if not mark:
                self.done()
                self.record.event(
                    "info",
                    "learnt",
                    peer=peer.name,
                    facts=came,
                    booked=self.booked,
                    refused=dict(self.lore.refused),
                )
            self.state[peer.name] = f"told {came} facts"
            life, mark = told.life, told.mark
            if not mark:
                return  # version 1 tells no changes
            yield self.loop.sleep(CHANGES)

    def exchange(self, peer, body):
        """A promise of (answer or None, whether the time was up)."""
        came = Promise()
        data = b"POST /lore HTTP/1.1\r\nHost: peer\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(
            body
        )
        exchange = Exchange(self.loop, data + body, lambda answer, fault: came.set((answer, False)))
        exchange.open(address(peer.where), ANSWER_TIME, 16384, ANSWER)
        timer = self.loop.after(ANSWER_TIME, lambda: (exchange.drop(), came.set((None, True))))
        came.then(lambda promise: timer.cancel())
        return came

    def take(self, origin, asked, told):
        """Merges an answer and books what it brought; how many facts it held."""
        lore = SharedObservations()
        observation_wire.put(told, asked, origin, lore)
        self.lore.merge(lore)
        # Only this answer's subjects are looked at, by what all peers told of them: news of a host that is
        # gone holds whoever told it.
        self.booked += self.book(lore.facts)
        return len(lore.facts)

    def close(self):
        for routine in self.routines:
            routine.cancel()
