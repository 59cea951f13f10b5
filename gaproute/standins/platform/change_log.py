"""The stand-in change log: one address for each gateway, so that it knows what it sends whom, and when."""

from __future__ import annotations

from collections.abc import Sequence
from typing import cast

import msgspec

from gaproute.errors import GaprouteError
from gaproute.loop import Loop
from gaproute.standins.invariant_violation import note_violations
from gaproute.standins.json_objects import JsonObject, WriteLine
from gaproute.standins.platform.change_log_invariants import find_violations
from gaproute.standins.platform.gateway_feed import FeedFaultCommand, GatewayFeed
from gaproute.standins.platform.host_list import ChangeEvent
from gaproute.standins.tap import EventRecorder
from gaproute.units import SECOND

UPKEEP_INTERVAL = SECOND  # also between signs of life


class EventOrderError(GaprouteError):
    """An event was commanded that is not the next one."""


class ChangeLogServer:
    """Holds all events, and a feed for each gateway. Errors: OSError."""

    def __init__(
        self,
        loop: Loop,
        gateways: Sequence[str],
        tap: EventRecorder,
        report: WriteLine,
    ) -> None:
        """`gateways`: the address to listen on for each, by its number; `report(line)`: tells the addresses
        to whoever started the stand-in."""
        self.loop, self.tap, self.report = loop, tap, report
        self.events: list[ChangeEvent] = []
        self.feeds = [GatewayFeed(self, number, where) for number, where in enumerate(gateways)]
        self._report_addresses()
        self._upkeep()

    def _report_addresses(self) -> None:
        addresses = [feed.where for feed in self.feeds]
        self.report({"address": addresses[0] if addresses else "", "addresses": addresses})

    def _upkeep(self) -> None:
        for feed in self.feeds:
            feed.upkeep()
        note_violations(self.tap, find_violations(self.feeds, len(self.events)))
        self.loop.call_later(UPKEEP_INTERVAL, self._upkeep)

    # Commands

    def command(self, command: JsonObject) -> None:
        """Takes an event of a `VersionedHostList`; a `FeedFaultCommand`; or `{"do": "cut"}` (connections are
        reset) or `{"do": "move"}` (other ports, which are reported). The last two are for the gateways of
        `gateways`, or for all. Errors: EventOrderError, msgspec.ValidationError."""
        if "fleet" in command:
            self._append(cast(ChangeEvent, command))
            return
        self.tap.note(
            "trouble",
            name=command.get("trouble") or command["do"],
            on=command.get("on", True),
            gateways=command.get("gateways"),
        )
        feeds = [self.feeds[number] for number in command.get("gateways", range(len(self.feeds)))]
        if "trouble" in command:
            fault = msgspec.convert(command, FeedFaultCommand)
            for feed in feeds:
                feed.apply(fault)
        elif command["do"] == "cut":
            for feed in feeds:
                feed.cut()
        else:
            for feed in feeds:
                feed.move()
            self._report_addresses()

    def _append(self, event: ChangeEvent) -> None:
        if event["seq"] != len(self.events) + 1:
            raise ValueError(f"change log: event {event['seq']} was commanded after event {len(self.events)}")
        self.events.append(event)
        for feed in self.feeds:
            feed.event_written()
