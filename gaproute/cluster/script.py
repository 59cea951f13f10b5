"""Scripts of clusters: the lines of a scripted day, and lines for faults of links, processes and host lists.

Any line of a cluster's own makes a script a cluster's. All mistakes are reported at once.
"""

from __future__ import annotations

from typing import TypeVar

from gaproute.cluster.script_checks import find_mistakes
from gaproute.cluster.script_lines import (
    CLUSTER_LINES,
    ClusterLine,
    HostListFaultLine,
    LeaseClientsLine,
    LinkFaultLine,
    ProcessFaultLine,
)
from gaproute.config.parsing import Directive, NamedDirective
from gaproute.scenarios import script as day_script

Line = TypeVar("Line", bound=Directive)


class ClusterScript(day_script.Script):
    """A scripted day with a cluster's lines.

    `cluster` is None where it has none of these; `settings` is its `cluster` line or that line's defaults.
    """

    def __init__(self, text: str, found: list[NamedDirective]) -> None:
        super().__init__(text, found)

        self.cluster = next(iter(_lines_of(found, ClusterLine)), None)
        if self.cluster is None and any(keyword in CLUSTER_LINES for keyword, _ in found):
            self.cluster = ClusterLine()
        self.settings = self.cluster or ClusterLine()
        self.link_faults = _lines_of(found, LinkFaultLine)
        self.process_faults = _lines_of(found, ProcessFaultLine)
        self.host_list_faults = _lines_of(found, HostListFaultLine)
        self.lease_clients = next(iter(_lines_of(found, LeaseClientsLine)), None)


def _lines_of(found: list[NamedDirective], kind: type[Line]) -> list[Line]:
    return [line for _, line in found if isinstance(line, kind)]


def read_script(name: str) -> ClusterScript:
    """Reads a script by its name or its path. Errors: `ConfigurationError` with all mistakes."""
    script, found = day_script.read_script(name, CLUSTER_LINES, find_mistakes)
    return ClusterScript(script.text, found)
