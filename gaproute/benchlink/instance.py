"""Drives one gateway's decisions by events of the wire and collects the lines of its actions."""

from collections.abc import Callable

from gaproute import interface
from gaproute.benchlink.decoding import COUNTED_RESULTS, encode_milliseconds
from gaproute.core.driver import Driver
from gaproute.core.ports import DecisionModule

GatewayFactory = Callable[[int, interface.Terms, int], DecisionModule]  # of seed, terms and the present time


class Instance(Driver):
    """One gateway of the simulator. Timers cannot be cancelled on the wire, so each wait has a number."""

    def __init__(self, gateway_factory: GatewayFactory, seed: int, terms: interface.Terms, now: int) -> None:
        super().__init__(gateway_factory(seed, terms, now))
        self.counted_results = COUNTED_RESULTS if terms.same_function_counted else ()
        self.wait_numbers: dict[str, str] = {}  # by key: the number of the current wait
        self.timer_count = 0
        self.reply_lines: list[str] = []  # of the reply

    def timer_fired(self, now: int, tag: str) -> None:
        """Fires a timer; nothing happens if its wait is over."""
        key, _, number = tag.rpartition("|")
        if self.wait_numbers.get(key) == number:
            self.wait_elapsed(key, now)

    def start_wait(self, key: str, until: int, now: int) -> None:
        """Sets a timer for a wait."""
        self.timer_count += 1
        self.wait_numbers[key] = str(self.timer_count)
        duration = encode_milliseconds(max(0, until - now))
        self.reply_lines.append(f"WAKE_AT {duration} {key}|{self.timer_count}")

    def cancel_wait(self, key: str) -> None:
        """Cancels the wait of the key; its timer is ignored when it fires."""
        self.wait_numbers.pop(key, None)

    def start_attempt(self, key: str, number: int, attempt: interface.Attempt, now: int) -> None:
        """Sends a request to a host."""
        self.reply_lines.append(f"ATTEMPT {key} {attempt.host} 0")

    def cancel_attempt(self, key: str, number: int) -> None:
        """Cancels an attempt."""
        self.reply_lines.append(f"RECALL {key} {number}")

    def order_load(self, host: str, function: str, copies: int) -> None:
        """Orders a host to load a function."""
        self.reply_lines.append(f"HOLD_THERE {host} {copies} {function}")

    def probe_host(self, host: str) -> None:
        """Checks a host's health."""
        self.reply_lines.append(f"SAMPLE {host}")

    def broadcast(self, payload: bytes) -> None:
        """Sends a payload to all other instances."""
        self.reply_lines.append(f"SAY all {payload.hex()}")

    def watch_host_list(self) -> None:
        """Asks for the host list and its changes."""
        self.reply_lines.append("LISTEN 1")

    def reject_request(self, key: str, rejection: interface.Reject) -> None:
        """Gives the final answer that the request did not run, or may run again."""
        self.reply_lines.append(f"BOUNCE {key} {encode_milliseconds(rejection.retry_after)}")

    def fail_request(self, key: str) -> None:
        """Gives the final answer that the request has failed: it may have run."""
        self.reply_lines.append(f"LOSE {key}")
