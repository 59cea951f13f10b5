"""What the parts of one link emulator share."""

from __future__ import annotations

from typing import NamedTuple

from gaproute.cluster.links.conditions import NetworkConditions
from gaproute.cluster.links.lateness import LinkLateness
from gaproute.loop import Loop


class EmulatorContext(NamedTuple):
    """The loop, the conditions that decide about messages, and the record of how late they leave."""

    loop: Loop
    conditions: NetworkConditions
    lateness: LinkLateness
