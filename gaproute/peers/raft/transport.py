"""Sends and receives batches of Raft messages between gateways over HTTP: `POST /keepers`.

Batches are sent to the address at which a gateway listens for its peers, or to a separate address. There is
one exchange at a time with each peer, on a connection that stays open. A message is dropped if the queue is
full or the peer cannot be reached, which Raft tolerates.

A batch is rejected if its sender's name is not the name of a peer. The name is not verified otherwise:
exchanges between gateways need a private network (see docs/operators.md).
"""

from collections import Counter, deque
from collections.abc import Callable, Mapping

from gaproute.http1 import Exchange, Limits, Request, Response, Server
from gaproute.http1.client import ClientConnection
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.loop.timers import Timer
from gaproute.peers.raft import wire
from gaproute.shared.raft.messages import RaftMessage
from gaproute.units import MILLI, SECOND

# Messages queued for one peer; beyond the limit the oldest message is dropped, as it is the most outdated.
MAX_QUEUED_MESSAGES = 256
MAX_QUEUED_BYTES = 2 * wire.MAX_BATCH_BYTES
# Long enough for a snapshot over a slow link; a peer that is down costs one exchange in this time.
EXCHANGE_TIMEOUT = 2 * SECOND
RETRY_DELAY = 200 * MILLI  # after a failed exchange; about one heartbeat interval
MAX_MESSAGES_PER_SECOND = 500  # accepted from one peer: ten times the rate of a busy leader
MAX_MESSAGE_BURST = 1000  # capacity of the token bucket for one peer
MAX_CONNECTIONS = 256
MAX_RESPONSE_BYTES = 4096  # separate limits for the head and for the body
HTTP_TARGET = b"/keepers"


class PeerState:
    """The message queue for one peer, the exchange with it, and the token bucket for its messages."""

    def __init__(self, now: int) -> None:
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.connection: ClientConnection | None = None
        self.exchange: Exchange | None = None
        self.timer: Timer | None = None  # starts the next batch, or ends the exchange by timeout
        self.retry_at = now  # nothing is sent before this time, ns
        self.tokens: float = MAX_MESSAGE_BURST
        self.refilled_at = now

    def queue_message(self, data: bytes) -> int:
        """Queues a message; returns how many older messages were dropped to make room."""
        self.queue.append(data)
        self.queued_bytes += len(data)
        dropped = 0
        while len(self.queue) > MAX_QUEUED_MESSAGES or self.queued_bytes > MAX_QUEUED_BYTES:
            self.queued_bytes -= len(self.queue.popleft())
            dropped += 1
        return dropped

    def pop_batch(self) -> list[bytes]:
        """Removes the next batch from the queue and returns its messages."""
        messages: list[bytes] = []
        size = 0
        while self.queue and len(messages) < wire.MAX_BATCH_MESSAGES:
            if messages and size + len(self.queue[0]) >= wire.FULL_BATCH_BYTES:
                break
            messages.append(self.queue.popleft())
            size += len(messages[-1])
        self.queued_bytes -= size
        return messages

    def spend_tokens(self, now: int, messages: int) -> bool:
        """Spends one token for each message; returns False and spends none if there are too few."""
        self.tokens = min(
            MAX_MESSAGE_BURST, self.tokens + (now - self.refilled_at) * MAX_MESSAGES_PER_SECOND / SECOND
        )
        self.refilled_at = now
        if self.tokens < messages:
            return False
        self.tokens -= messages
        return True

    def set_connection(self, connection: ClientConnection) -> None:
        """Stores the connection for the following exchanges."""
        self.connection = connection

    def close(self) -> None:
        """Cancels the exchange and the timer, and closes the connection."""
        if self.timer is not None:
            self.timer.cancel()
        if self.exchange is not None:
            self.exchange.cancel()
        if self.connection is not None:
            self.connection.abort()


class RaftTransport:
    """Sends messages to peers and receives messages from them.

    `peers` has addresses by name and may be changed in place. `receive(sender, message)` is called for each
    received message. `counts` has the number of messages sent, received, lost, and rejected by reason.
    """

    def __init__(
        self, loop: Loop, name: str, peers: Mapping[str, str], receive: Callable[[str, RaftMessage], None]
    ) -> None:
        self.loop, self.name, self.peers, self.receive = loop, name, peers, receive
        self.peer_states: dict[str, PeerState] = {}  # by name
        self.counts: Counter[str] = Counter()
        self.server: Server | None = None
        self.closed = False

    # Receiving

    def listen(self, address: str) -> str:
        """Listens at a separate address; returns that address as text. Raises OSError."""
        limits = Limits(
            max_body_bytes=wire.MAX_BATCH_BYTES,
            max_pipelined=1,
            max_connections=MAX_CONNECTIONS,
            max_buffered_bytes=4 * wire.MAX_BATCH_BYTES,
        )
        server: Server = Server(
            self.loop, parse_address(address), lambda request: self.handle(server, request), limits
        )
        self.server = server
        return server.address

    def handle(self, server: Server, request: Request) -> None:
        """Answers a request with a batch of messages and passes its messages to `receive`."""
        if request.target != HTTP_TARGET or request.method != b"POST":
            server.answer(request, 404, (), b"POST /keepers\n")
            return
        try:
            sender, messages = wire.decode_batch(request.body)
        except wire.MalformedBatchError as reason:
            self.counts[f"refused: {reason}"] += 1
            server.answer(request, 400, (), b"not understood\n")
            return
        if sender not in self.peers or sender == self.name:
            self.counts["refused: stranger"] += 1
            server.answer(request, 400, (), b"not a peer\n")
            return
        if not self._peer_state(sender).spend_tokens(self.loop.now(), len(messages)):
            self.counts["refused: flood"] += len(messages)
            server.answer(request, 429, (), b"too much\n")
            return
        server.answer(request, 204, (), b"")
        self.counts["heard"] += len(messages)
        for message in messages:
            self.receive(sender, message)

    # Sending

    def _peer_state(self, name: str) -> PeerState:
        """The state of a peer; creating one also removes the states of former peers."""
        if name not in self.peer_states:
            for removed in [each for each in self.peer_states if each not in self.peers]:
                self.peer_states.pop(removed).close()
            self.peer_states[name] = PeerState(self.loop.now())
        return self.peer_states[name]

    def send(self, peer: str, message: RaftMessage) -> None:
        """Queues a message for a peer."""
        if peer not in self.peers or self.closed:
            self.counts["lost"] += 1
            return
        state = self._peer_state(peer)
        self.counts["lost"] += state.queue_message(wire.encode_message(message))
        if state.exchange is None and state.timer is None:
            # A timer runs after the current callbacks, so that all messages of one turn go into one batch.
            state.timer = self.loop.call_at(
                max(self.loop.now(), state.retry_at), self._send_batch, peer, state
            )

    def _send_batch(self, peer: str, state: PeerState) -> None:
        """Sends a batch of queued messages in one exchange."""
        state.timer = None
        if not state.queue or state.exchange is not None or peer not in self.peers or self.closed:
            return
        messages = state.pop_batch()
        body = wire.encode_batch(self.name, messages)
        data = b"POST %s HTTP/1.1\r\nHost: peer\r\nContent-Length: %d\r\n\r\n%b" % (
            HTTP_TARGET,
            len(body),
            body,
        )
        state.exchange = Exchange(
            self.loop, data, lambda answer, fault: self._finish_exchange(peer, state, len(messages), answer)
        )
        state.timer = self.loop.call_later(
            EXCHANGE_TIMEOUT, self._finish_exchange, peer, state, len(messages), None
        )
        if state.connection is not None and state.connection.open:
            state.exchange.send_on(state.connection)
            return
        state.exchange.connect(
            parse_address(self.peers[peer]),
            EXCHANGE_TIMEOUT,
            MAX_RESPONSE_BYTES,
            MAX_RESPONSE_BYTES,
            state.set_connection,
        )

    def _finish_exchange(self, peer: str, state: PeerState, messages: int, answer: Response | None) -> None:
        """Handles the end of an exchange; `answer` is None if it failed or timed out."""
        exchange, state.exchange = state.exchange, None
        if state.timer is not None:
            state.timer.cancel()
            state.timer = None
        now = self.loop.now()
        if answer is None:
            if exchange is not None:
                exchange.cancel()
            if state.connection is not None:
                state.connection.abort()
            state.connection = None
        sent = answer is not None and answer.status == 204
        self.counts["sent" if sent else "lost"] += messages
        state.retry_at = now if sent else now + RETRY_DELAY
        if state.queue and not self.closed:
            state.timer = self.loop.call_at(state.retry_at, self._send_batch, peer, state)

    def close(self) -> None:
        """Stops sending and listening."""
        self.closed = True
        for state in self.peer_states.values():
            state.close()
        self.peer_states.clear()
        if self.server is not None:
            self.server.close()
