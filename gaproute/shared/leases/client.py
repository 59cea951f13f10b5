"""The lease client: sends one command at a time, again and again until the leader answers it.

The client counts a lease's duration by its own clock from when the command was FIRST sent, before the group
grants the lease. So a lease that is not renewed expires at the client before it expires at the group
(`commands.expiry_wait`). Every action under a lease carries its fencing token, as a process may be stopped
between checking `is_valid_at` and acting. Times are ns of the client's clock.
"""

from collections import Counter, deque
from collections.abc import Iterable
from typing import TypeAlias

from gaproute.shared.leases.commands import (
    MAX_LEASE_DURATION,
    MAX_LEASES_PER_CLIENT,
    MIN_LEASE_DURATION,
    AcquireLease,
    CommandResult,
    ReleaseLease,
    RenewLease,
    ResizePool,
    encode,
)
from gaproute.shared.leases.requests import (
    LeaseRequest,
    LeaseRequestError,
    LeaseState,
    OutstandingCommand,
    QueuedCommand,
    decode_command_result,
)
from gaproute.shared.messages import MAX_COUNT
from gaproute.shared.raft.messages import Reply, ReplyStatus, Request
from gaproute.shared.randomness import RandomSource
from gaproute.units import MILLI

# After this time a command without an answer is sent to the next member; longer than a disk sync and a round
# trip, shorter than an election
COMMAND_RESEND_TIMEOUT = 500 * MILLI
COMMAND_RETRY_DELAY = 100 * MILLI  # until the next attempt, after a member that knew no leader or was busy
MAX_IMMEDIATE_REDIRECTS = 2  # members that redirect to each other must not cause a flood of messages

ClientOutbox: TypeAlias = list[tuple[str, Request]]  # (name of the receiving member, message)


class LeaseClient:
    """Acquires leases for the holder `name` from the group `members`, and renews them until their release.

    `requests` contains the leases that are requested or held. `due`, `tick` and `hear` work as in `RaftNode`.
    """

    def __init__(self, name: str, members: Iterable[str], random: RandomSource, now: int) -> None:
        self.name, self.random = name, random
        self.session = self.nonce = 0  # session 0: no session is open
        self.urgent_queue: deque[QueuedCommand] = (
            deque()
        )  # sent first: renewals, releases and repeated commands
        self.normal_queue: deque[QueuedCommand] = deque()  # acquisitions and pool resizes
        self.outstanding: OutstandingCommand | None = None
        self.resend_at, self.redirect_count = now, 0
        self.requests: list[LeaseRequest] = []
        self.rejected_messages: Counter[str] = Counter()  # how many, by reason
        self.members: tuple[str, ...] = ()
        self.receiver = ""  # the name of the member to which commands are sent
        self.set_configured_members(now, members)

    def set_configured_members(self, now: int, members: Iterable[str]) -> None:
        """Replaces the names of the group's members by those in the configuration."""
        self.members = tuple(sorted(set(members)))
        if self.receiver not in self.members:
            self.receiver = self.members[self.random.below(len(self.members))]

    def acquire(self, now: int, resource: str, duration: int, amount: int = 1) -> LeaseRequest:
        """Requests a lease of `duration` ns. Errors: `LeaseRequestError`."""
        if not MIN_LEASE_DURATION <= duration <= MAX_LEASE_DURATION or not 1 <= amount <= MAX_COUNT:
            raise LeaseRequestError(
                f"cannot request a lease of {amount} of {resource} for {duration} ns: expected an amount of "
                f"1 to {MAX_COUNT} and a duration of {MIN_LEASE_DURATION} to {MAX_LEASE_DURATION} ns"
            )
        if len(self.requests) >= MAX_LEASES_PER_CLIENT:
            raise LeaseRequestError(f"the limit of {MAX_LEASES_PER_CLIENT} open lease requests is reached")
        request = LeaseRequest(resource, amount, duration)
        self.requests.append(request)
        self.normal_queue.append(QueuedCommand(AcquireLease(resource, self.name, amount, duration), request))
        return request

    def release(self, now: int, request: LeaseRequest) -> None:
        """Ends the lease at this client at once; the group ends it when the release arrives, or by expiry."""
        if request.state == LeaseState.HELD:
            self._queue_release(request.fencing_token)
        self.normal_queue = deque(queued for queued in self.normal_queue if queued.request is not request)
        if request.is_open:
            self._end_request(request, LeaseState.RELEASED)

    def release_all(self, now: int) -> None:
        """Releases all leases when the gateway stops; a lease whose release is lost expires at the group."""
        for request in list(self.requests):
            self.release(now, request)

    def resize_pool(self, now: int, resource: str, amount: int) -> None:
        """Sets how much of the resource may be held. Errors: `LeaseRequestError` if the queue is full."""
        if len(self.normal_queue) >= 2 * MAX_LEASES_PER_CLIENT:
            raise LeaseRequestError(f"cannot resize {resource}: {len(self.normal_queue)} commands are queued")
        self.normal_queue.append(QueuedCommand(ResizePool(resource, self.name, amount)))

    @property
    def due(self) -> int | None:
        """The time of the next call of `tick`; None while there is nothing to do."""
        times = [
            time
            for request in self.requests
            if request.expires_at is not None
            for time in (request.expires_at, request.renew_at)
            if time is not None
        ]
        if self.outstanding is not None or self.urgent_queue or self.normal_queue:
            times.append(self.resend_at)
        return min(times, default=None)

    def tick(self, now: int) -> ClientOutbox:
        """Expires leases, queues renewals and sends the command that is due; returns the messages to send."""
        self._release_expired(now)
        self._queue_renewals(now)
        if now < self.resend_at:
            return []
        if self.outstanding is None:
            return self._send_next_command(now)
        next_position = self.members.index(self.receiver) + 1 if self.receiver in self.members else 0
        self.receiver = self.members[next_position % len(self.members)]
        return self._send_command(now, self.outstanding)

    def hear(self, now: int, sender: str, message: object) -> ClientOutbox:
        """Handles a reply of a member; returns the messages to send."""
        if sender not in self.members or not isinstance(message, Reply):
            self.rejected_messages["stranger"] += 1
            return []
        command = self.outstanding
        if command is None or (message.session, message.nonce) != (command.session, command.nonce):
            self.rejected_messages["late"] += 1
            return []
        if message.state == ReplyStatus.NOT_LEADER:
            return self._redirect(now, sender, message.leader, command)
        opens_session = message.state == ReplyStatus.DONE and not command.session
        if message.state == ReplyStatus.BUSY or (opens_session and not message.opened):
            self._schedule_retry(now, sender)
            return []
        self.receiver, self.outstanding, self.resend_at = sender, None, now
        if message.state == ReplyStatus.UNKNOWN_SESSION:
            self._handle_lost_session(command)
        elif opens_session:
            self.session, self.nonce = message.opened, 0
        else:
            self._handle_result(now, command, decode_command_result(message))
        return self.tick(now)

    def _queue_release(self, fencing_token: int) -> None:
        self.urgent_queue.append(QueuedCommand(ReleaseLease(fencing_token, self.name)))

    def _end_request(self, request: LeaseRequest, state: LeaseState, reason: str = "") -> None:
        request.state, request.reason, request.renew_at = state, reason, None
        self.requests.remove(request)

    def _release_expired(self, now: int) -> None:
        for request in list(self.requests):
            if request.expires_at is not None and now >= request.expires_at:
                self._queue_release(request.fencing_token)
                self._end_request(request, LeaseState.EXPIRED, "not renewed in time")

    def _queue_renewals(self, now: int) -> None:
        for request in self.requests:
            if request.renew_at is not None and now >= request.renew_at:
                request.renew_at = None
                command = RenewLease(request.fencing_token, self.name, request.duration)
                self.urgent_queue.append(QueuedCommand(command, request))

    def _send_next_command(self, now: int) -> ClientOutbox:
        self.redirect_count = 0
        self.outstanding = self._next_command(now)
        return [] if self.outstanding is None else self._send_command(now, self.outstanding)

    def _next_command(self, now: int) -> OutstandingCommand | None:
        """The next queued command that is not outdated, or the command that opens a session for it."""
        while self.urgent_queue or self.normal_queue:
            if not self.session:
                nonce = 1 + self.random.below(MAX_COUNT)
                return OutstandingCommand(
                    command=None, request=None, session=0, nonce=nonce, body=b"", first_sent_at=now
                )
            queued = (self.urgent_queue or self.normal_queue).popleft()
            if queued.is_outdated:
                continue
            self.nonce += 1
            body = encode(queued.command)
            return OutstandingCommand(queued.command, queued.request, self.session, self.nonce, body, now)
        return None

    def _send_command(self, now: int, command: OutstandingCommand) -> ClientOutbox:
        self.resend_at = now + COMMAND_RESEND_TIMEOUT
        return [(self.receiver, Request(command.session, command.nonce, command.body))]

    def _schedule_retry(self, now: int, sender: str) -> None:
        """Schedules the command to be sent to the same member again after a delay."""
        self.resend_at = now + COMMAND_RETRY_DELAY + self.random.below(COMMAND_RETRY_DELAY)
        # `tick` sends the command to the member after `receiver`, which is `sender`
        self.receiver = self.members[self.members.index(sender) - 1]

    def _redirect(self, now: int, sender: str, leader: str, command: OutstandingCommand) -> ClientOutbox:
        if leader in self.members and leader != sender and self.redirect_count < MAX_IMMEDIATE_REDIRECTS:
            self.redirect_count, self.receiver = self.redirect_count + 1, leader
            return self._send_command(now, command)
        self.resend_at = min(self.resend_at, now + COMMAND_RETRY_DELAY)
        return []

    def _handle_lost_session(self, lost: OutstandingCommand) -> None:
        """Handles a session that the group has forgotten: the command may have been carried out or not."""
        self.session = 0
        if isinstance(lost.command, AcquireLease):
            if lost.request is not None and lost.request.state == LeaseState.REQUESTED:
                self._end_request(lost.request, LeaseState.REJECTED, "outcome unknown")
        elif lost.command is not None:  # repeating a renewal, release or resize is harmless
            self.urgent_queue.append(QueuedCommand(lost.command, lost.request))

    def _handle_result(self, now: int, command: OutstandingCommand, result: CommandResult) -> None:
        request = command.request
        if request is None:
            return
        if isinstance(command.command, AcquireLease):
            self._handle_grant(now, request, command.first_sent_at, result)
        elif request.state == LeaseState.HELD:
            if result.error:
                self._end_request(request, LeaseState.EXPIRED, result.error)
            else:
                request.extend(command.first_sent_at)

    def _handle_grant(
        self, now: int, request: LeaseRequest, first_sent_at: int, result: CommandResult
    ) -> None:
        still_wanted = request.state == LeaseState.REQUESTED
        if result.error:
            if still_wanted:
                self._end_request(request, LeaseState.REJECTED, result.error)
            return
        request.fencing_token = result.fencing_token
        if still_wanted and now < first_sent_at + request.duration:
            request.state = LeaseState.HELD
            request.extend(first_sent_at)
            return
        self._queue_release(result.fencing_token)  # the lease is no longer valid or wanted
        if still_wanted:
            self._end_request(request, LeaseState.EXPIRED, "answered too late")
