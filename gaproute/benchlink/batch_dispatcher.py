"""Passes the lines of the simulator's batches to instances and collects their replies."""

import traceback
from collections.abc import Callable
from typing import Any, NamedTuple

from gaproute import interface
from gaproute.benchlink import decoding, lines
from gaproute.benchlink.events import EVENT_HANDLERS
from gaproute.benchlink.instance import GatewayFactory, Instance
from gaproute.decisions.routing import Gateway

COMPLETE_LIST_KINDS = ("all", "remembered")
CHANGES_KIND, REFUSED_KIND = "changes", "refused"


class UnfinishedList(NamedTuple):
    """A host list that lacks rows."""

    number: str
    missing_rows: int


class DueTimer(NamedTuple):
    """A timer of an instance that fires at the end of this batch."""

    instance: int
    line: lines.TimerFired


class BatchDispatcher:
    """Dispatches lines to the instances of the process, which share the wire and its numbered host lists."""

    def __init__(self, gateway_factory: GatewayFactory = Gateway) -> None:
        self.gateway_factory = gateway_factory
        self.instances: dict[int, Instance] = {}
        self.host_lists: dict[str, list[interface.ListedHost]] = {}  # by number
        self.unfinished_list: UnfinishedList | None = None
        self.now = 0
        self.sequence = "0"  # sequence number of the batch
        self.selected_instance: int | None = None  # target of the following lines
        self.failures: dict[int, str] = {}  # by instance: error of its decisions in this batch
        self.due_timers: list[DueTimer] = []  # timers fire after all other events of the batch
        self.batch_handlers: dict[type, Callable[[Any], None]] = {
            lines.BatchStart: self._start_batch,
            lines.SelectInstance: self._select_instance,
            lines.HostListStart: self._start_host_list,
            lines.HostListRow: self._add_host_list_row,
        }

    def handle_line(self, text: str) -> list[str] | None:
        """Handles one line; returns the lines of the reply if the line ends a batch, else None.

        Errors: ValueError, including `WireFormatError`, if the line breaks the wire format.
        """
        name, line = lines.split_line(text)
        kind = type(line)
        if self.unfinished_list is not None and kind is not lines.HostListRow:
            raise lines.WireFormatError(
                f"{name} line inside a host list that lacks {self.unfinished_list.missing_rows} rows"
            )
        if kind is lines.BatchEnd:
            return self._reply()
        if (handle := self.batch_handlers.get(kind)) is not None:
            handle(line)
        elif self.selected_instance is None:
            raise lines.WireFormatError(f"{name} line before any FOR line of the batch")
        elif isinstance(line, lines.TimerFired):
            self.due_timers.append(DueTimer(self.selected_instance, line))
        else:
            self._handle_event(self.selected_instance, line)
        return None

    # Lines that concern no instance

    def _start_batch(self, line: lines.BatchStart) -> None:
        self.now, self.sequence = decoding.decode_clock(line.clock), line.sequence
        self.selected_instance = None

    def _select_instance(self, line: lines.SelectInstance) -> None:
        self.selected_instance = int(line.instance)

    def _start_host_list(self, line: lines.HostListStart) -> None:
        self.host_lists[line.number] = []
        self._expect_rows(line.number, int(line.row_count))

    def _add_host_list_row(self, line: lines.HostListRow) -> None:
        if self.unfinished_list is None:
            raise lines.WireFormatError("host list row without a preceding LIST line")
        number, missing_rows = self.unfinished_list
        self.host_lists[number].append(decoding.decode_host(line))
        self._expect_rows(number, missing_rows - 1)

    def _expect_rows(self, number: str, missing_rows: int) -> None:
        self.unfinished_list = UnfinishedList(number, missing_rows) if missing_rows > 0 else None

    # Events of instances

    def _handle_event(self, number: int, line: lines.Line) -> None:
        """Passes an event to an instance; an error of its decisions affects no other instance."""
        try:
            if isinstance(line, lines.OpenInstance):
                self._open_instance(number, line)
            elif isinstance(line, lines.KillInstance):
                self._kill_instance(number)
            elif (instance := self.instances.get(number)) is None:
                return
            elif isinstance(line, lines.HostListUpdate):
                self._update_hosts(instance, line)
            else:
                EVENT_HANDLERS[type(line)](instance, self.now, line)
        except lines.WireFormatError:
            raise
        except Exception as error:  # noqa: BLE001 - any error is reported in the reply
            self.failures[number] = _describe_error(error)

    def _open_instance(self, number: int, line: lines.OpenInstance) -> None:
        seed, routing_settings = (
            decoding.decode_integer(line.seed),
            decoding.decode_routing_settings(line.settings),
        )
        self.instances[number] = Instance(self.gateway_factory, seed, routing_settings, self.now)

    def _kill_instance(self, number: int) -> None:
        self.instances.pop(number, None)
        self.due_timers = [timer for timer in self.due_timers if timer.instance != number]

    def _update_hosts(self, instance: Instance, line: lines.HostListUpdate) -> None:
        if line.kind == REFUSED_KIND:
            instance.gateway.host_list_poll_failed(self.now)
        elif line.kind == CHANGES_KIND or line.kind in COMPLETE_LIST_KINDS:
            if line.list_number not in self.host_lists:
                raise lines.WireFormatError(f"host list {line.list_number} is not defined")
            rows = self.host_lists[line.list_number]
            instance.gateway.update_hosts(self.now, rows, complete=line.kind in COMPLETE_LIST_KINDS)
        instance.start_housekeeping(self.now)

    # Replies

    def _reply(self) -> list[str]:
        due_timers, self.due_timers = self.due_timers, []
        for timer in due_timers:
            self._handle_event(timer.instance, timer.line)
        reply: list[str] = []
        for number, instance in self.instances.items():
            if instance.reply_lines:
                reply += [f"SOURCE {number}", *instance.reply_lines]
                instance.reply_lines = []
        for number, text in self.failures.items():
            reply += [f"SOURCE {number}", f"INTERNAL_ERROR {text}"]
        self.failures = {}
        reply.append(f"NEXT {self.sequence}")
        return reply


def _describe_error(error: Exception) -> str:
    """Returns one line with the type and message of an error and the place that raised it."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    text = f"{type(error).__name__}: {error} at {frame.name}, line {frame.lineno}"
    return text.replace("\n", " ")
