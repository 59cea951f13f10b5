"""Scripts of clusters: the lines of a scripted day, and lines for faults of links, processes and host lists.

Any line of a cluster's own makes a script a cluster's. All mistakes are reported at once.
"""

from __future__ import annotations

from typing import Any

from gaproute.cluster.script_checks import find_mistakes
from gaproute.cluster.script_lines import (
    CLUSTER_LINES,
    ClusterLine,
    HostListFaultLine,
    LeaseClientsLine,
    LinkFaultLine,
    ProcessFaultLine,
)
from gaproute.config.parsing import NamedDirective
from gaproute.scenarios import script as day_script


class ClusterScript(day_script.Script):
    """A scripted day with a cluster's lines.

    `cluster` is None where it has none of these; `settings` is its `cluster` line or that line's defaults.
    """

    def __init__(self, text: str, found: list[NamedDirective]) -> None:
        super().__init__(text, found)

        def lines(keyword: str) -> list[Any]:
            return [line for each, line in found if each == keyword]

        self.cluster: ClusterLine | None = next(iter(lines("cluster")), None)
        if self.cluster is None and any(keyword in CLUSTER_LINES for keyword, _ in found):
            self.cluster = ClusterLine()
        self.settings = self.cluster or ClusterLine()
        self.link_faults: list[LinkFaultLine] = lines("fault")
        self.process_faults: list[ProcessFaultLine] = lines("strike")
        self.host_list_faults: list[HostListFaultLine] = lines("list")
        self.lease_clients: LeaseClientsLine | None = next(iter(lines("crews")), None)


def read_script(name: str) -> ClusterScript:
    """Reads a script by its name or its path. Errors: `ConfigurationError` with all mistakes."""
    script, found = day_script.read_script(name, CLUSTER_LINES, find_mistakes)
    return ClusterScript(script.text, found)
