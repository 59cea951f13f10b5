"""Drives one gateway's decisions by the wire's events and collects the lines of its actions."""

from collections.abc import Callable

from gaproute import interface
from gaproute.benchlink.decoding import encode_milliseconds
from gaproute.core.driver import Driver
from gaproute.core.ports import DecisionModule

MakeGateway = Callable[[int, interface.Terms, int], DecisionModule]  # of seed, terms and now


class Instance(Driver):
    """One gateway of the simulator. Timers cannot be cancelled on the wire, so each wait has a number."""

    def __init__(self, make_gateway: MakeGateway, seed: int, terms: interface.Terms, now: int) -> None:
        super().__init__(make_gateway(seed, terms, now))
        self.same_function_counted = terms.same_function_counted
        self.wait_numbers: dict[str, str] = {}  # of the current wait, by key
        self.timer_count = 0
        self.lines: list[str] = []  # of the reply

    def timer_fired(self, now: int, tag: str) -> None:
        """A timer is due; it may be of a wait that is over."""
        key, _, number = tag.rpartition("|")
        if self.wait_numbers.get(key) == number:
            self.wait_elapsed(key, now)

    def wait(self, key: str, until: int, now: int) -> None:
        """Sets a timer."""
        self.timer_count += 1
        self.wait_numbers[key] = str(self.timer_count)
        duration = encode_milliseconds(max(0, until - now))
        self.lines.append(f"WAKE_AT {duration} {key}|{self.timer_count}")

    def cancel_wait(self, key: str) -> None:
        """The key waits no more; its timer will be passed over."""
        self.wait_numbers.pop(key, None)

    def start_attempt(self, key: str, number: int, attempt: interface.Attempt, now: int) -> None:
        """Sends a request to a host."""
        self.lines.append(f"ATTEMPT {key} {attempt.host} 0")

    def cancel(self, key: str, number: int) -> None:
        """Cancels an attempt."""
        self.lines.append(f"RECALL {key} {number}")

    def order(self, host: str, function: str, copies: int) -> None:
        """Orders a host to load a function."""
        self.lines.append(f"HOLD_THERE {host} {copies} {function}")

    def probe(self, host: str) -> None:
        """Checks a host's health."""
        self.lines.append(f"SAMPLE {host}")

    def broadcast(self, payload: bytes) -> None:
        """Sends a payload to all other instances."""
        self.lines.append(f"SAY all {payload.hex()}")

    def watch_hosts(self) -> None:
        """Asks for the host list and its changes."""
        self.lines.append("LISTEN 1")

    def reject(self, key: str, rejection: interface.Reject) -> None:
        """Gives the final answer that nothing ran."""
        self.lines.append(f"BOUNCE {key} {encode_milliseconds(rejection.retry_after)}")

    def fail(self, key: str) -> None:
        """Gives the final answer that promises nothing."""
        self.lines.append(f"LOSE {key}")
