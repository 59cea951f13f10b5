"""A fleet of disseminating gateways on a simulated network, from a seed: the same play every time.

Delays are one way: 1 to 3 ms within a zone, 5 ms between zones, 40 to 100 ms between regions. Datagrams are
lost by chance. An exchange is a TCP connection: a lost SYN costs a second, a lost segment one retransmission
timeout, doubled each time. Bytes are counted with headers, at the sender and at the receiver.
"""

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from functools import partial

from benchmarks.scale.dissemination_links import PERMILLE, Links, Place
from benchmarks.scale.dissemination_traffic import TrafficCounts
from benchmarks.scale.stub_document import StubDocument, change_from
from gaproute.decisions.cells.version import Version
from gaproute.decisions.chance import RandomGenerator
from gaproute.shared.dissemination import Candidates, Change, Disseminator, OutgoingMessage, Peer
from gaproute.shared.dissemination.bounds import EXCHANGE_TIMEOUT, MAX_LOG_CHANGES
from gaproute.shared.dissemination.messages import (
    Announcement,
    BusyAnswer,
    ChangesAnswer,
    PartAnswer,
    Pull,
    Push,
    wire_size,
)
from gaproute.units import MILLI, SECOND

REGIONS, ZONES = 5, 13
CELL_GATEWAYS, CELL_ENTRIES = 33, 3  # 16,000 gateways in 490 cells
SEED_FACTOR = 1_000_003  # by which the gateways' seeds of two fleets lie apart
CONNECT_TIMEOUT = SECOND  # of TCP, for a lost SYN
DATA_TIMEOUT = 200 * MILLI  # of TCP at least, for a lost segment
SEGMENT = 1_400  # bytes

PullAnswer = ChangesAnswer | PartAnswer | BusyAnswer | None


class DisseminationGateway:
    """One gateway: its place in the fleet, its disseminator, when its timer is due."""

    def __init__(self, index: int, place: Place, disseminator: Disseminator, document: StubDocument) -> None:
        self.index, self.place = index, place
        self.disseminator, self.document = disseminator, document
        self.peer = Peer(f"gateway{index}", f"10.0.{index >> 8}.{index & 255}:7000")
        self.timer: int | None = None  # when it fires, ns; None: it is not set
        self.alive = True
        self.taken_at = 0  # when it took the version that it has, ns

    @property
    def region(self) -> int:
        """The region that it stands in."""
        return self.place.region

    @property
    def slow(self) -> bool:
        """Whether it delays each message."""
        return self.place.slow


class DisseminationFleet:
    """`count` gateways that all have version 1.1 and know their peers.

    `loss` of messages and `slow` gateways in parts of a thousand.
    """

    def __init__(self, count: int, seed: int, loss: int = 0, slow: int = 0) -> None:
        self.now, self.scheduled = SECOND, 0
        self.chance = RandomGenerator(seed)
        self.links, self.traffic = Links(loss, self.chance), TrafficCounts()
        self.events: list[tuple[int, int, Callable[[], None]]] = []  # (when, number, action)
        self.gateways: list[DisseminationGateway] = []
        self.cells = max(1, -(-count // CELL_GATEWAYS))
        for _ in range(count):
            self._add(Version(1, 1), seed, slow)
        self._set_candidates()

    def _add(self, version: Version, seed: int, slow: int) -> None:
        """Start one more gateway, which knows no peers yet."""
        index = len(self.gateways)
        cell = index % self.cells
        zone = cell % ZONES
        is_slow = slow > 0 and self.chance.below(PERMILLE) < slow
        document = StubDocument(version)
        chance = RandomGenerator(seed * SEED_FACTOR + index)
        disseminator = Disseminator(f"gateway{index}", document, chance, self.now)
        gateway = DisseminationGateway(
            index, Place(cell, zone, zone % REGIONS, is_slow), disseminator, document
        )
        self.gateways.append(gateway)
        self.traffic.add_gateway()
        self._set_timer(gateway)

    def _set_candidates(self) -> None:
        """Give each gateway the members of its own cell and the entry gateways of the others."""
        members: defaultdict[int, list[Peer]] = defaultdict(list)
        for gateway in self.gateways:
            members[gateway.place.cell].append(gateway.peer)
        for cell, peers in members.items():
            entries: defaultdict[str, list[Peer]] = defaultdict(list)
            for other, others in members.items():
                if other != cell:
                    entries[f"zone{other % ZONES}"] += others[:CELL_ENTRIES]
            by_zone = {zone: tuple(listed) for zone, listed in entries.items()}
            candidates = Candidates(tuple(peers), by_zone, (), len(self.gateways))
            for peer in peers:
                self.gateway_of(peer).disseminator.set_candidates(candidates)

    def gateway_of(self, peer: Peer) -> DisseminationGateway:
        """The gateway of that name."""
        return self.gateways[int(peer.name.removeprefix("gateway"))]

    # Running

    def publish(self, gateway: DisseminationGateway) -> Version:
        """Make a change at that gateway; returns its version."""
        change = change_from(gateway.document.version)
        self.handle(gateway, gateway.disseminator.publish(self.now, change))
        gateway.taken_at = self.now
        return change.version

    def run(self, until: int) -> None:
        """Play until that time, ns."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = max(self.now, until)

    def handle(self, gateway: DisseminationGateway, sends: Iterable[OutgoingMessage]) -> None:
        """Send what a gateway returned, and set its timer."""
        for send in sends:
            self._send(gateway, send)
        self._set_timer(gateway)

    def _at(self, when: int, action: Callable[[], None]) -> None:
        """Call `action` at that time, ns; actions of one time are called in the order of their scheduling."""
        self.scheduled += 1
        heapq.heappush(self.events, (when, self.scheduled, action))

    def _set_timer(self, gateway: DisseminationGateway) -> None:
        due = gateway.disseminator.due
        if gateway.timer is None or due < gateway.timer:
            gateway.timer = due
            self._at(max(due, self.now), partial(self._tick, gateway, due))

    def _tick(self, gateway: DisseminationGateway, when: int) -> None:
        if gateway.timer != when:
            return
        gateway.timer = None
        if gateway.alive:
            self.handle(gateway, gateway.disseminator.tick(self.now))

    def _receive(
        self, gateway: DisseminationGateway, receive: Callable[[int], list[OutgoingMessage]]
    ) -> None:
        """Let the gateway handle what arrived, and note when it took a newer version."""
        if not gateway.alive:
            return
        before = gateway.document.version
        sends = receive(self.now)
        if gateway.document.version > before:
            gateway.taken_at = self.now
        self.handle(gateway, sends)

    # Messages

    def _send(self, sender: DisseminationGateway, send: OutgoingMessage) -> None:
        receiver = self.gateway_of(send.to)
        if isinstance(send.message, Pull):
            self._start_exchange(sender, receiver, send.message)
            return
        self.traffic.count_message(sender.index)
        self.traffic.count_sent(sender.index, self.now, wire_size(send.message))
        if not self.links.is_lost() and not self.links.is_cut(sender.place, receiver.place):
            arrival = self.now + self.links.delay(sender.place, receiver.place)
            self._at(arrival, partial(self._deliver, sender, receiver, send.message))

    def _deliver(
        self, sender: DisseminationGateway, receiver: DisseminationGateway, message: Announcement | Push
    ) -> None:
        self.traffic.count_received(receiver.index, self.now, wire_size(message))
        if receiver.alive and receiver.disseminator.admits(self.now, sender.peer.name):
            self._receive(receiver, lambda now: receiver.disseminator.receive(now, sender.peer, message))

    # Exchanges: a pull and its answer

    def _start_exchange(self, client: DisseminationGateway, server: DisseminationGateway, pull: Pull) -> None:
        self.traffic.count_message(client.index)
        sent = wire_size(pull) // 2
        self.traffic.count_sent(client.index, self.now, sent)
        self.traffic.count_received(client.index, self.now, wire_size(pull) - sent)
        end = self.now + EXCHANGE_TIMEOUT
        cut = self.links.is_cut(client.place, server.place) or self.links.is_cut(server.place, client.place)
        if cut:
            self._at(end, partial(self._end_exchange, client, server, None))
            return
        arrival = self.now + 3 * self.links.delay(client.place, server.place)
        arrival += self.links.retransmission_delay(CONNECT_TIMEOUT, 2)
        arrival += self.links.retransmission_delay(DATA_TIMEOUT, 1)
        self._at(arrival, partial(self._answer, client, server, pull, end))

    def _answer(
        self, client: DisseminationGateway, server: DisseminationGateway, pull: Pull, end: int
    ) -> None:
        if not server.alive or self.now > end:
            self._at(max(self.now, end), partial(self._end_exchange, client, server, None))
            return
        answer = server.disseminator.answer_pull(self.now, pull)
        assert answer is not None, f"{server.peer.name} rejected {pull!r}"
        size = wire_size(answer)
        self.traffic.count_message(server.index)
        self.traffic.count_sent(server.index, self.now, size)
        arrival = self.now + self.links.delay(server.place, client.place)
        segments = 1 if isinstance(answer, BusyAnswer) else -(-size // SEGMENT)
        arrival += self.links.retransmission_delay(DATA_TIMEOUT, segments)
        received = answer if arrival <= end else None
        self._at(min(arrival, end), partial(self._end_exchange, client, server, received))

    def _end_exchange(
        self, client: DisseminationGateway, server: DisseminationGateway, answer: PullAnswer
    ) -> None:
        if answer is not None:
            self.traffic.count_received(client.index, self.now, wire_size(answer))
        self._receive(client, lambda now: client.disseminator.receive_pull_answer(now, server.peer, answer))

    # States that would take long to play

    def advance(self, gateways: Sequence[DisseminationGateway], count: int) -> Version:
        """Put these gateways where `count` changes and a long rest would have; returns their version."""
        log: list[Change] = []
        version = gateways[0].document.version
        for _ in range(count):
            log.append(change_from(version))
            version = log[-1].version
        for gateway in gateways:
            replica = gateway.disseminator.replica
            gateway.document.version, gateway.document.digest = version, log[-1].digest
            for change in log[-MAX_LOG_CHANGES:]:
                replica.log.append(change)
        return version
