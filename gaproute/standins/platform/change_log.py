"""The stand-in change log: one address for each gateway, so that it knows whom it tells what, and when.

A `told` event (host, state, gateway, seq) is noted when the news counts as told to that gateway:

| its way | counts |
| --- | --- |
| well | once the event is written, whether the gateway is connected or not |
| `silent`, `off`, `elsewhere` | when that ends, or 4 s after it began, whichever comes first |
| `hold`, `late` | when it is sent |

Silent: nothing is sent, not even comments. Off: nothing listens. Elsewhere: cut by somebody between, who says
so. Hold: comments go on, events are withheld. Late: each event comes `by` ns later.
"""

import msgspec

from gaproute.loop import Listener, Stream
from gaproute.loop.addresses import address
from gaproute.standins.platform import change_log_invariants
from gaproute.standins.platform.host_list import STATES

SECOND = 1_000_000_000
COMMENT = SECOND  # between signs of life
COUNTS = 4 * SECOND  # after which what a dead way would have told counts as told: the platform's rule
DEAD = ("silent", "off", "elsewhere")
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
REQUEST = 4096  # bytes of a request: it has four short fields


class GatewayFeed:
    """What leads to one gateway."""

    def __init__(self, log, place, where):
        self.log, self.place, self.where = log, place, where
        self.stream, self.sent, self.due, self.counted = None, 0, 0, 0
        self.troubles = {}  # name: (since, its command)
        self.listener = None
        self.listen()

    def listen(self):
        self.listener = Listener(self.log.loop, address(self.where), self.accept)
        self.where = self.listener.address

    def accept(self, sock):
        buffer = bytearray()

        def bytes_came(data):
            buffer.extend(data)
            if b"\r\n\r\n" in buffer:
                self.asked(stream, bytes(buffer))
                buffer.clear()
            elif len(buffer) > REQUEST:
                stream.abort()

        def ended(error):
            if self.stream is stream:
                self.stream = None

        stream = Stream(self.log.loop, sock, bytes_came, ended)

    def asked(self, stream, request):
        _, _, last = request.lower().partition(b"last-event-id:")
        last = last.partition(b"\r\n")[0].strip()
        if not request.startswith(b"GET /changes ") or not last.isdigit():
            self.log.tap.note("void", gateway=self.place, why=repr(request[:200]))
            stream.abort()
            return
        if self.stream is not None:
            self.stream.abort()
        self.stream, self.sent = stream, int(last)
        self.log.tap.note("asked", gateway=self.place, last=self.sent)
        if "silent" not in self.troubles:
            stream.write(HEAD)
            self.push()

    # What is told

    def published(self):
        """A new event has been written."""
        if "late" in self.troubles:
            by = self.troubles["late"][1]["by"]
            self.log.loop.after(by, self.let_out, len(self.log.events))
        self.push()

    def let_out(self, upto):
        self.due = max(self.due, upto)
        self.push()

    def push(self):
        """Sends what may go, and counts what has been told by that."""
        if "hold" in self.troubles:
            return
        upto = self.due if "late" in self.troubles else len(self.log.events)
        self.due = max(self.due, upto)
        if self.stream is not None and "silent" not in self.troubles:
            for number in range(max(self.sent, 0) + 1, upto + 1):
                self.stream.write(self.log.event(number, self.place))
            self.sent = max(self.sent, upto)
        if not any(name in self.troubles for name in DEAD):
            self.count(upto)

    def count(self, upto):
        for number in range(self.counted + 1, upto + 1):
            for member in self.log.told[number - 1]:
                self.log.tap.note(
                    "told", host=member["id"], state=STATES[member["phase"]], gateway=self.place, seq=number
                )
        self.counted = max(self.counted, upto)

    def look(self):
        """Each second: a comment, and what counts as told on a dead way."""
        now = self.log.loop.now()
        dead = [
            since + told.get("counts", COUNTS)
            for name, (since, told) in self.troubles.items()
            if name in DEAD
        ]
        if dead and now >= min(dead):
            self.count(len(self.log.events))
        if self.stream is not None and "silent" not in self.troubles:
            self.stream.write(b":\n\n")

    # Troubles

    def trouble(self, name, told):
        if told.get("on", True):
            self.troubles[name] = (self.log.loop.now(), told)
            if name == "off":
                self.cut()
                self.listener.close()
            return
        if self.troubles.pop(name, None) is None:
            return
        if name == "off":
            self.listen()
        if name == "silent":
            self.cut()  # it answered nothing: the gateway asks again
        self.push()

    def cut(self):
        if self.stream is not None:
            self.stream.abort()
            self.stream = None

    def move(self):
        """From now on at another port of its host."""
        self.cut()
        self.listener.close()
        self.where = self.where.rpartition(":")[0] + ":0"
        self.listen()


class ChangeLogServer:
    """`gateways`: the address to listen on for each, by its place."""

    def __init__(self, loop, gateways, tap, say):
        self.loop, self.tap, self.say = loop, tap, say
        self.events, self.told = [], []  # as they were commanded; their members
        self.ways = [GatewayFeed(self, place, where) for place, where in enumerate(gateways)]
        self.tell_addresses()
        self.look()

    def tell_addresses(self):
        addresses = [way.where for way in self.ways]
        self.say({"address": addresses[0] if addresses else "", "addresses": addresses})

    def event(self, number, place):
        """The event's bytes for the gateway of this place. A member's `host_port` may be a list with an
        address for each: then every gateway finds the host by one of its own."""
        told = self.events[number - 1]
        members = [
            row | {"host_port": row["host_port"][place]} if isinstance(row["host_port"], list) else row
            for row in told["fleet"]["members"]
        ]
        told = told | {"fleet": told["fleet"] | {"members": members}}
        return b"id: %d\ndata: %b\n\n" % (told["seq"], msgspec.json.encode(told))

    def look(self):
        for way in self.ways:
            way.look()
        for check, text in change_log_invariants.breaches(self):
            self.tap.note("breach", check=check, text=text)
        self.loop.after(COMMENT, self.look)

    def command(self, told):
        """An event of a `VersionedHostList`; {"trouble": NAME, "on": ..., "by": ns, "counts": ns};
        {"do": "cut" or "move"}; the last two for the places in `gateways`, or for all. After a move the
        addresses are told anew. `counts`: in place of the 4 s."""
        if "fleet" in told:
            if told["seq"] != len(self.events) + 1:
                raise ValueError(f"event {told['seq']} after {len(self.events)}")
            self.events.append(told)
            self.told.append(told["fleet"]["members"])
            for way in self.ways:
                way.published()
            return
        self.tap.note(
            "trouble",
            name=told.get("trouble") or told["do"],
            on=told.get("on", True),
            gateways=told.get("gateways"),
        )
        for place in told.get("gateways", range(len(self.ways))):
            if "trouble" in told:
                self.ways[place].trouble(told["trouble"], told)
            elif told["do"] == "cut":
                self.ways[place].cut()
            else:
                self.ways[place].move()
        if told.get("do") == "move":
            self.tell_addresses()
