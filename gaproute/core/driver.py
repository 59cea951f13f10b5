"""Drives the generators of one gateway's decisions, both in a running gateway and in the bench adapter."""

from abc import ABC, abstractmethod

from gaproute import interface
from gaproute.core.ports import Action, ActionGenerator, DecisionModule, Resumption

HOUSEKEEPING = ""  # key of the housekeeping generator; all other keys are ids of requests


class Driver(ABC):
    """Drives one gateway's decision module and the generators of its requests.

    A subclass carries out the actions. A key is the id of a request or `HOUSEKEEPING`; times are ns.
    """

    def __init__(self, gateway: DecisionModule) -> None:
        self.gateway = gateway
        self.generators: dict[str, ActionGenerator] = {}  # by the id of the request
        self.attempt_counts: dict[str, int] = {}  # by the id of the request: attempts started
        self.housekeeping_generator: ActionGenerator | None = None

    # Actions, carried out by the subclass

    @abstractmethod
    def start_wait(self, key: str, until: int, now: int) -> None:
        """Schedules a call of `wait_elapsed` at `until`; replaces an earlier wait of the key."""

    @abstractmethod
    def cancel_wait(self, key: str) -> None:
        """Cancels the wait of the key, if there is one."""

    @abstractmethod
    def start_attempt(self, key: str, number: int, attempt: interface.Attempt, now: int) -> None:
        """Sends the attempt `number` of a request to a host."""

    @abstractmethod
    def cancel_attempt(self, key: str, number: int) -> None:
        """Cancels an attempt, unless it has ended."""

    @abstractmethod
    def order_load(self, host: str, function: str, instances: int) -> None:
        """Sends a load order to a host; `instances` as in `interface.LoadOrder`."""

    @abstractmethod
    def probe_host(self, host: str) -> None:
        """Sends a health check to a host; its end leads to a call of `probe_answered`."""

    @abstractmethod
    def broadcast(self, payload: bytes) -> None:
        """Sends a payload to all other gateways."""

    @abstractmethod
    def watch_host_list(self) -> None:
        """Requests the host list and its changes."""

    @abstractmethod
    def reject_request(self, key: str, rejection: interface.Reject) -> None:
        """Gives the final answer that a retry is safe: the request did not run, or may run again."""

    @abstractmethod
    def fail_request(self, key: str) -> None:
        """Gives the final answer that the request has failed and may have run."""

    # Events, reported by the subclass

    def start_housekeeping(self, now: int) -> None:
        """Starts the housekeeping generator, unless it runs; called for each host list."""
        if self.housekeeping_generator is None:
            self.housekeeping_generator = self.gateway.housekeep(now)
            self.advance_generator(HOUSEKEEPING, self.housekeeping_generator, None, now)

    def start_request(self, now: int, request: interface.Request) -> None:
        """Creates and starts the generator of a request."""
        generator = self.request_generator(now, request)
        self.generators[request.id] = generator
        self.attempt_counts[request.id] = 0
        self.advance_generator(request.id, generator, None, now)

    def request_generator(self, now: int, request: interface.Request) -> ActionGenerator:
        """Creates the generator that makes the decisions about a request; a subclass may replace it."""
        return self.gateway.serve(now, request)

    def wait_elapsed(self, key: str, now: int) -> None:
        """Resumes a generator whose wait has elapsed before any outcome arrived."""
        self.resume_generator(key, now, None)

    def handle_outcome(self, now: int, outcome: interface.Outcome) -> None:
        """Accounts for an attempt that has ended, then resumes the generator of its request."""
        self.gateway.attempt_ended(now, outcome)
        self.resume_generator(outcome.request_id, now, outcome)

    def abandon_request(self, now: int, key: str) -> None:
        """Ends the generator of a request whose client has left and needs no final answer."""
        if key in self.generators:
            self.resume_generator(key, now, _client_left_outcome(key))
            self.drop_generator(key)

    def probe_answered(
        self, now: int, host: str, report: interface.HostLoadReport | None, *, good: bool
    ) -> None:
        """Accounts for the end of a health check; broadcasts the message that the decisions return."""
        payload = self.gateway.probe_ended(now, host, report, good=good)
        if payload is not None:
            self.broadcast(payload)

    # Generators

    def resume_generator(self, key: str, now: int, outcome: interface.Outcome | None) -> None:
        """Resumes the generator of the key, if there is one; `outcome` is None if its wait has elapsed."""
        generator = self.housekeeping_generator if key == HOUSEKEEPING else self.generators.get(key)
        if generator is not None:
            self.cancel_wait(key)
            self.advance_generator(key, generator, (now, outcome), now)

    def advance_generator(self, key: str, generator: ActionGenerator, value: Resumption, now: int) -> None:
        """Resumes a generator with `value` and carries out its actions until it waits or ends."""
        while True:
            try:
                action = generator.send(value)
            except StopIteration:
                self.drop_generator(key)
                return
            value = None
            match action:
                case interface.Wait(until):
                    self.start_wait(key, until, now)
                    return
                case interface.Attempt():
                    value = self.attempt_counts[key]
                    self.attempt_counts[key] = value + 1
                    self.start_attempt(key, value, action, now)
                case _:
                    self._carry_out(key, action)

    def _carry_out(self, key: str, action: Action) -> None:
        """Carries out an action that the generator does not wait for."""
        match action:
            case interface.Cancel(number):
                self.cancel_attempt(key, number)
            case interface.LoadOrder(host, function, instances):
                self.order_load(host, function, instances)
            case interface.Probe(host):
                self.probe_host(host)
            case interface.Reject():
                self.reject_request(key, action)
            case interface.Fail():
                self.fail_request(key)
            case interface.PollHostList():
                self.watch_host_list()
            case _:
                raise TypeError(f"the decision module yielded {action!r}, which is no action")

    def drop_generator(self, key: str) -> None:
        """Drops a generator that has ended, with its wait."""
        self.generators.pop(key, None)
        self.attempt_counts.pop(key, None)
        self.cancel_wait(key)


def _client_left_outcome(request_id: str) -> interface.Outcome:
    """Creates the outcome that tells a generator that the client of its request has left."""
    return interface.Outcome(
        request_id,
        -1,
        "",
        interface.Result.CLIENT_LEFT,
        0,
        True,
        interface.InstanceStatus.UNKNOWN,
        None,
        None,
    )
