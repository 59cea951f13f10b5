"""Maintenance in steps: hosts are taken out one group after another, warm capacity never under a floor.

    words.Round, words.Host; words.mistakes(round, fleet, demand) -> [text]
    schedule.plan(...) -> Plan(steps, end, why)          whether it can be done at all, and how long it takes
    Running(round, me, holder, now, span).tick(now, View) -> orders; .ask(now, host, View) -> out for a crew
    invariants.check_round(running, now, fleet) -> [text]

Decisions only: no clock, no chance, no sockets. Off: nothing in the program makes a Running yet.
"""

from gaproute.maintenance.round import Running
from gaproute.maintenance.view import View
from gaproute.maintenance.words import Host, Round, mistakes

__all__ = ["Host", "Round", "Running", "View", "mistakes"]
