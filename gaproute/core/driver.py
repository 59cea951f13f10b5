"""Drives the generators of one gateway's decisions, in a running gateway and in the bench adapter alike."""

from abc import ABC, abstractmethod

from gaproute import interface
from gaproute.core.ports import Action, Actions, DecisionModule, Resumption

HOUSEKEEPING = ""  # the key of the housekeeper's generator, beside the ids of requests


class Driver(ABC):
    """One gateway: its decision module and the generators of its requests.

    A subclass carries out the actions. A key is a request's id or `HOUSEKEEPING`; times are ns.
    """

    def __init__(self, gateway: DecisionModule) -> None:
        self.gateway = gateway
        self.generators: dict[str, Actions] = {}  # by the request's id
        self.attempt_counts: dict[str, int] = {}  # attempts started, by the request's id
        self.housekeeper: Actions | None = None

    # Carried out by the derived class

    @abstractmethod
    def wait(self, key: str, until: int, now: int) -> None:
        """Calls `wait_elapsed` at `until`, in place of any earlier wait of the key."""

    @abstractmethod
    def cancel_wait(self, key: str) -> None:
        """Cancels the wait of the key, if there is one."""

    @abstractmethod
    def start_attempt(self, key: str, number: int, attempt: interface.Attempt, now: int) -> None:
        """Sends a request to a host as its attempt `number`."""

    @abstractmethod
    def cancel(self, key: str, number: int) -> None:
        """Cancels an attempt, unless it has ended."""

    @abstractmethod
    def order(self, host: str, function: str, copies: int) -> None:
        """Orders a host to load a function."""

    @abstractmethod
    def probe(self, host: str) -> None:
        """Checks a host's health; `probe_answered` follows."""

    @abstractmethod
    def broadcast(self, payload: bytes) -> None:
        """Sends a payload to all other gateways."""

    @abstractmethod
    def watch_hosts(self) -> None:
        """Asks for the host list and its changes."""

    @abstractmethod
    def reject(self, key: str, rejection: interface.Reject) -> None:
        """Gives the final answer that the request did not run, or may run again."""

    @abstractmethod
    def fail(self, key: str) -> None:
        """Gives the final answer that the request has failed: it may have run."""

    # Called as something happens

    def start_housekeeping(self, now: int) -> None:
        """Starts the housekeeper at the first host list; does nothing at later ones."""
        if self.housekeeper is None:
            self.housekeeper = self.gateway.housekeep(now)
            self.advance(HOUSEKEEPING, self.housekeeper, None, now)

    def start_request(self, now: int, request: interface.Request) -> None:
        """Starts a request's generator."""
        generator = self.serve(now, request)
        self.generators[request.id] = generator
        self.attempt_counts[request.id] = 0
        self.advance(request.id, generator, None, now)

    def serve(self, now: int, request: interface.Request) -> Actions:
        """The generator of a request."""
        return self.gateway.serve(now, request)

    def wait_elapsed(self, key: str, now: int) -> None:
        """Resumes a generator whose wait has ended by its time, before any outcome."""
        self.resume(key, now, None)

    def handle_outcome(self, now: int, outcome: interface.Outcome) -> None:
        """Accounts for an attempt that has ended, then resumes the generator of its request."""
        self.gateway.attempt_ended(now, outcome)
        self.resume(outcome.request_id, now, outcome)

    def abandon(self, now: int, key: str) -> None:
        """Ends the generator of a request whose client has left; no final answer is owed."""
        if key in self.generators:
            self.resume(key, now, _departed(key))
            self.forget(key)

    def probe_answered(
        self, now: int, host: str, report: interface.HostLoadReport | None, *, good: bool
    ) -> None:
        """Accounts for a health check that has ended; broadcasts the message that the decisions return."""
        payload = self.gateway.probe_ended(now, host, report, good=good)
        if payload is not None:
            self.broadcast(payload)

    # Generators

    def resume(self, key: str, now: int, outcome: interface.Outcome | None) -> None:
        """Ends a generator's wait by an outcome, or by its time (None); does nothing without a generator."""
        generator = self.housekeeper if key == HOUSEKEEPING else self.generators.get(key)
        if generator is not None:
            self.cancel_wait(key)
            self.advance(key, generator, (now, outcome), now)

    def advance(self, key: str, generator: Actions, value: Resumption, now: int) -> None:
        """Resumes a generator and carries out its actions until it waits or ends."""
        while True:
            try:
                action = generator.send(value)
            except StopIteration:
                self.forget(key)
                return
            value = None
            match action:
                case interface.Wait(until):
                    self.wait(key, until, now)
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
                self.cancel(key, number)
            case interface.LoadOrder(host, function, copies):
                self.order(host, function, copies)
            case interface.Probe(host):
                self.probe(host)
            case interface.Reject():
                self.reject(key, action)
            case interface.Fail():
                self.fail(key)
            case interface.PollHostList():
                self.watch_hosts()
            case _:
                raise TypeError(f"unknown action {action!r}")

    def forget(self, key: str) -> None:
        """Drops a generator that has ended, with its wait."""
        self.generators.pop(key, None)
        self.attempt_counts.pop(key, None)
        self.cancel_wait(key)


def _departed(request_id: str) -> interface.Outcome:
    """The outcome by which a generator learns that the client has left."""
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
