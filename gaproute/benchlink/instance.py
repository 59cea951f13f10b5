"""Drives one gateway's decisions by events of the wire and collects the lines of its actions."""

from collections.abc import Callable

from gaproute import interface
from gaproute.benchlink.decoding import COUNTED_RESULTS, encode_milliseconds
from gaproute.core.driver import Driver
from gaproute.core.ports import DecisionModule

MakeGateway = Callable[
    [int, interface.RoutingSettings, int], DecisionModule
]  # of seed, terms and the present time


class Instance(Driver):
    """One gateway of the simulator. Timers cannot be cancelled on the wire, so each wait has a number."""

    def __init__(
        self, make_gateway: MakeGateway, seed: int, terms: interface.RoutingSettings, now: int
    ) -> None:
        super().__init__(make_gateway(seed, terms, now))
        self.counted_results = COUNTED_RESULTS if terms.same_function_counted else ()
        self.wait_numbers: dict[str, str] = {}  # by key: the number of the current wait
        self.timer_count = 0
        self.lines: list[str] = []  # of the reply

    def timer_fired(self, now: int, tag: str) -> None:
        """Fires a timer; nothing happens if its wait is over."""
        key, _, number = tag.rpartition("|")
        if self.wait_numbers.get(key) == number:
            self.wait_elapsed(key, now)

    def wait(self, key: str, until: int, now: int) -> None:
        """Sets a timer for a wait."""
        self.timer_count += 1
        self.wait_numbers[key] = str(self.timer_count)
        duration = encode_milliseconds(max(0, until - now))
        self.lines.append(f"WAKE_AT {duration} {key}|{self.timer_count}")

    def cancel_wait(self, key: str) -> None:
        """Cancels the wait of the key; its timer is ignored when it fires."""
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
        """Gives the final answer that the request did not run, or may run again."""
        self.lines.append(f"BOUNCE {key} {encode_milliseconds(rejection.retry_after)}")

    def fail(self, key: str) -> None:
        """Gives the final answer that the request has failed: it may have run."""
        self.lines.append(f"LOSE {key}")
