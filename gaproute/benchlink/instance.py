"""Drives the decisions of one gateway by the events of the wire and collects the lines of its actions."""

from collections.abc import Callable

from gaproute import interface
from gaproute.benchlink.decoding import RESULTS_WITH_REQUEST_COUNT, encode_milliseconds
from gaproute.core.driver import Driver
from gaproute.core.ports import DecisionModule

GatewayFactory = Callable[[int, interface.RoutingSettings, int], DecisionModule]  # takes seed, settings, time


class Instance(Driver):
    """One gateway of the simulator.

    Timers cannot be cancelled on the wire. Each wait therefore has a number, which the tag of its timer
    contains.
    """

    def __init__(
        self,
        gateway_factory: GatewayFactory,
        seed: int,
        routing_settings: interface.RoutingSettings,
        now: int,
    ) -> None:
        super().__init__(gateway_factory(seed, routing_settings, now))
        self.results_with_request_count = (
            RESULTS_WITH_REQUEST_COUNT if routing_settings.same_function_counted else ()
        )
        self.wait_numbers: dict[str, str] = {}  # by key: the number of the current wait
        self.timer_count = 0
        self.reply_lines: list[str] = []  # lines of the next reply

    def timer_fired(self, now: int, tag: str) -> None:
        """Handles a timer that has fired; ignores it if its wait is over."""
        key, _, number = tag.rpartition("|")
        if self.wait_numbers.get(key) == number:
            self.wait_elapsed(key, now)

    def start_wait(self, key: str, until: int, now: int) -> None:
        """Sets a timer for the wait of the key; the timer of an earlier wait is ignored when it fires."""
        self.timer_count += 1
        self.wait_numbers[key] = str(self.timer_count)
        duration = encode_milliseconds(max(0, until - now))
        self.reply_lines.append(f"WAKE_AT {duration} {key}|{self.timer_count}")

    def cancel_wait(self, key: str) -> None:
        """Cancels the wait of the key, if there is one; its timer is ignored when it fires."""
        self.wait_numbers.pop(key, None)

    def start_attempt(self, key: str, number: int, attempt: interface.Attempt, now: int) -> None:
        """Sends a request to a host."""
        self.reply_lines.append(f"ATTEMPT {key} {attempt.host} 0")

    def cancel_attempt(self, key: str, number: int) -> None:
        """Cancels an attempt."""
        self.reply_lines.append(f"RECALL {key} {number}")

    def order_load(self, host: str, function: str, instances: int) -> None:
        """Sends a load order to a host."""
        self.reply_lines.append(f"HOLD_THERE {host} {instances} {function}")

    def probe_host(self, host: str) -> None:
        """Sends a health check to a host."""
        self.reply_lines.append(f"SAMPLE {host}")

    def broadcast(self, payload: bytes) -> None:
        """Sends a payload to all other instances."""
        self.reply_lines.append(f"SAY all {payload.hex()}")

    def watch_host_list(self) -> None:
        """Requests the host list and its changes."""
        self.reply_lines.append("LISTEN 1")

    def reject_request(self, key: str, rejection: interface.Reject) -> None:
        """Gives the final answer that a retry is safe: the request did not run, or may run again."""
        self.reply_lines.append(f"BOUNCE {key} {encode_milliseconds(rejection.retry_after)}")

    def fail_request(self, key: str) -> None:
        """Gives the final answer that the request has failed and may have run."""
        self.reply_lines.append(f"LOSE {key}")
