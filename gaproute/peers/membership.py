"""Membership by datagrams.

The address for datagrams follows from the address for peers: for UDP it is the same one, for Unix sockets
`.words` is appended to the path.
"""

import time
from collections.abc import Callable, Iterable

from gaproute.loop.timers import Timer
from gaproute.peers.membership_wire import (
    Payload,
    PayloadKind,
    decode_datagram,
    encode_message,
    encode_payload,
)
from gaproute.peers.ports import EventLog, OpenDatagrams, PayloadHandler, Peer, TimerLoop
from gaproute.shared.membership import Membership, MembershipMessage
from gaproute.shared.membership.message_builder import Outgoing
from gaproute.shared.membership.messages import Member
from gaproute.shared.randomness import RandomSource
from gaproute.units import MILLI, SECOND

# Decoded in one second: 20 times the usual number at 1,000 gateways. A flood beyond it also costs messages of
# other members, as the sender is known only after decoding
MAX_DATAGRAMS_PER_SECOND = 2000
UNIX_DATAGRAM_SUFFIX = ".words"  # appended to the path of the Unix socket


def datagram_address(address: str) -> str:
    """The address for datagrams of the gateway that has this address for peers."""
    return address + UNIX_DATAGRAM_SUFFIX if address.startswith("unix:") else address


class MembershipTransport:
    """Sends and receives the messages of `Membership`, and the payloads of other parts.

    `wall_clock` returns ns since 1970. Errors: OSError where the address cannot be bound.
    """

    def __init__(
        self,
        loop: TimerLoop,
        name: str,
        address: str,
        random: RandomSource,
        record: EventLog,
        open_datagrams: OpenDatagrams,
        wall_clock: Callable[[], int] = time.time_ns,
    ) -> None:
        self.loop, self.record = loop, record
        self.membership = Membership(name, address, random, loop.now(), wall_clock() // MILLI)
        self.datagram_socket = open_datagrams(datagram_address(address), self._handle_datagram)
        self.sent_datagrams = self.sent_bytes = 0
        self.undecodable_datagrams = self.rate_limited_datagrams = 0
        self.datagrams_in_second = 0  # datagrams received in the present second
        self.second_started_at = 0  # ns
        self.payload_handlers: dict[PayloadKind, PayloadHandler] = {}  # by kind of payload
        self._timer: Timer | None = None
        self._reschedule_timer()

    def set_configured_peers(self, peers: Iterable[Peer]) -> None:
        """Takes over the configured gateways, which are never forgotten."""
        self.membership.configure(self.loop.now(), {peer.name: peer.where for peer in peers})
        self._log_member_changes()

    def register(self, kind: PayloadKind, handler: PayloadHandler) -> None:
        """Has the handler called with each payload of that kind from now on."""
        self.payload_handlers[kind] = handler

    def unregister(self, kind: PayloadKind) -> None:
        """From now on payloads of that kind count as undecodable."""
        self.payload_handlers.pop(kind, None)

    def send_payload(self, address: str, kind: PayloadKind, data: bytes) -> None:
        """Sends a payload of another part to the gateway at that address."""
        self._send_datagram(address, encode_payload(kind, self.membership.name, data))

    def member_rows(self) -> list[dict[str, object]]:
        """All members as the operators' address shows them, by name."""
        return [self._member_row(member) for _, member in sorted(self.membership.members.items())]

    def stop(self) -> None:
        """Announces to a few members that this gateway shuts down."""
        self._send_messages(self.membership.leave())

    def close(self) -> None:
        """Closes the socket."""
        if self._timer is not None:
            self._timer.cancel()
        self.datagram_socket.close()

    def _reschedule_timer(self) -> None:
        due, timer = self.membership.due, self._timer
        if timer is not None and timer.call is not None and timer.when == due:
            return
        if timer is not None:
            timer.cancel()
        self._timer = self.loop.call_at(due, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._send_messages(self.membership.tick(self.loop.now()))
        self._log_member_changes()
        self._reschedule_timer()

    def _handle_datagram(self, data: bytes) -> None:
        now = self.loop.now()
        if now - self.second_started_at >= SECOND:
            self.datagrams_in_second, self.second_started_at = 0, now
        self.datagrams_in_second += 1
        if self.datagrams_in_second > MAX_DATAGRAMS_PER_SECOND:
            self.rate_limited_datagrams += 1
            return
        message = decode_datagram(data)
        if isinstance(message, Payload) and message.kind in self.payload_handlers:
            self.payload_handlers[message.kind](message.sender, message.data)
        elif isinstance(message, MembershipMessage):
            self._send_messages(self.membership.receive(now, message))
            self._log_member_changes()
            self._reschedule_timer()
        else:
            self.undecodable_datagrams += 1

    def _send_messages(self, messages: Iterable[Outgoing]) -> None:
        for address, message in messages:
            self._send_datagram(address, encode_message(message))

    def _send_datagram(self, address: str, data: bytes) -> None:
        self.sent_datagrams += 1
        self.sent_bytes += len(data)
        self.datagram_socket.send(data, datagram_address(address))

    def _log_member_changes(self) -> None:
        for name in self.membership.table.changed:
            member = self.membership.members.get(name)
            if member is not None:
                self.record.event(
                    "info",
                    "member_changed",
                    member=name,
                    state=member.state.label,
                    incarnation=member.incarnation,
                )
        self.membership.table.changed.clear()

    def _member_row(self, member: Member) -> dict[str, object]:
        now = self.loop.now()
        running_time = now - self.membership.stalled_time
        return {
            "name": member.name,
            "where": member.address,
            "state": member.state.label,
            "incarnation": member.incarnation,
            "since_ms": (running_time - member.state_since) // MILLI,
            "heard_ms": None if member.last_heard is None else (now - member.last_heard) // MILLI,
            "configured": member.configured,
        }
