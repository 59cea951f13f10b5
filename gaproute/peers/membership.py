"""Sends and receives membership messages as datagrams.

A gateway's datagram address is derived from the address at which it listens for its peers: a UDP socket uses
the same host and port, and a Unix datagram socket appends `.words` to the path.
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

# Datagrams that are decoded in one second: 20 times the usual number in a fleet of 1,000 gateways. Further
# datagrams are dropped undecoded. A flood from one sender thus costs messages of other members too, because
# the sender is known only after decoding.
MAX_DATAGRAMS_PER_SECOND = 2000
UNIX_DATAGRAM_SUFFIX = ".words"  # appended to the path of the Unix socket for peers


def datagram_address(address: str) -> str:
    """The datagram address of the gateway that listens for its peers at `address`."""
    return address + UNIX_DATAGRAM_SUFFIX if address.startswith("unix:") else address


class MembershipTransport:
    """Sends and receives the messages of `Membership`, and the payloads of other components.

    `wall_clock` returns ns since 1970. Raises OSError if the address cannot be bound.
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
        self.datagrams_in_second = 0  # datagrams received in the current second
        self.second_started_at = 0  # when the current second started, ns on the loop's clock
        self.payload_handlers: dict[PayloadKind, PayloadHandler] = {}
        self._timer: Timer | None = None
        self._reschedule_timer()

    def set_configured_peers(self, peers: Iterable[Peer]) -> None:
        """Replaces the configured gateways; these stay in the member table even while unreachable."""
        self.membership.set_configured_members(self.loop.now(), {peer.name: peer.where for peer in peers})
        self._log_member_changes()

    def register(self, kind: PayloadKind, handler: PayloadHandler) -> None:
        """Calls the handler with each payload of that kind that arrives from now on."""
        self.payload_handlers[kind] = handler

    def unregister(self, kind: PayloadKind) -> None:
        """Removes the handler; later payloads of that kind are counted as undecodable datagrams."""
        self.payload_handlers.pop(kind, None)

    def send_payload(self, address: str, kind: PayloadKind, data: bytes) -> None:
        """Sends a payload of another component to the gateway at that address."""
        self._send_datagram(address, encode_payload(kind, self.membership.name, data))

    def member_rows(self) -> list[dict[str, object]]:
        """The members in the form that the operators' HTTP address shows, sorted by name."""
        return [self._member_row(member) for _, member in sorted(self.membership.members.items())]

    def stop(self) -> None:
        """Tells a few members that this gateway is shutting down."""
        self._send_messages(self.membership.leave())

    def close(self) -> None:
        """Cancels the timer and closes the socket."""
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
        for name in self.membership.table.changed_names:
            member = self.membership.members.get(name)
            if member is not None:
                self.record.event(
                    "info",
                    "member_changed",
                    member=name,
                    state=member.state.label,
                    incarnation=member.incarnation,
                )
        self.membership.table.changed_names.clear()

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
