"""Decisions that decide nothing, to compare the real ones with: MODULE:CLASS for a gateway's `decisions`."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from gaproute.decisions.routing import Gateway
from gaproute.interface import Action, Attempt, Outcome, Request, Wait


class NextInTurn(Gateway):
    """Sends each request to the next host in turn and takes no account of anything."""

    turn = 0

    def serve(self, now: int, request: Request) -> Generator[Action, Any, None]:
        """One attempt."""
        self.turn += 1
        hosts = self.active_hosts
        yield Attempt(hosts[self.turn % len(hosts)].id)
        yield Wait(now + request.time_left)

    def attempt_ended(self, now: int, outcome: Outcome) -> None:
        """Of no interest."""
