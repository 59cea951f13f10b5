"""The faults of links: what each kind does, and on which links a fault lies.

A fault lies on what travels from a source slot to a destination slot, whoever opened the connection; with
`both_ways` on the way back as well. `share` is the share of messages that it touches, 1 if not given.

| kind | datagrams | streams |
| --- | --- | --- |
| delay | `delay` and up to `jitter` later, in order | the same; order and bytes stay |
| delay with `rate` | a queue of a second, beyond it lost | a queue, then the sender is held back |
| lose | lost | 200 ms late, twice that if lost again, and so on; all behind it wait |
| double | come twice | nothing: TCP hides it |
| reorder | come `delay` (10 ms if not given) and up to `jitter` late, overtaken by others | nothing |
| cut | lost | held back until the cut ends; a new connection does not open |
| hold | held back, all at once when it ends | the same; a new connection waits for it |
| reset | nothing | those that stand when it begins are reset at both ends, once |

Where this is kinder than a network: what was held back continues at once when a cut ends, TCP would try again
only after up to as long as the cut was; in a one-way cut the way back goes on, though its acknowledgements
are lost; a loss is drawn for each piece read (up to 64 KiB), not for each packet; a sender under
TCP_USER_TIMEOUT never learns of a cut, as the emulator has acknowledged its bytes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from gaproute.cluster.addresses import Link
from gaproute.cluster.links.slots import ANY, Slot, slots_named
from gaproute.units import MILLI

DEFAULT_REORDER_DELAY = 10 * MILLI  # ns: many other datagrams pass meanwhile


class LinkFaultKind(StrEnum):
    """What a fault does; the module's table says how."""

    DELAY = "delay"
    LOSE = "lose"
    DOUBLE = "double"
    REORDER = "reorder"
    CUT = "cut"
    HOLD = "hold"
    RESET = "reset"


BLOCKING_KINDS = (LinkFaultKind.CUT, LinkFaultKind.HOLD)  # nothing of a stream passes while they last


class LinkTraffic(StrEnum):
    """The sorts of traffic that a fault may lie on."""

    STREAMS = "streams"
    DATAGRAMS = "datagrams"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class FaultSpec:
    """A fault as the harness describes it.

    `sources` and `destinations` are terms that name slots, also ones that come later. `delay` and `jitter`
    are ns, `rate` is bytes a second of each link, 0 without a limit.
    """

    kind: LinkFaultKind
    sources: tuple[str, ...] = (ANY,)
    destinations: tuple[str, ...] = (ANY,)
    both_ways: bool = False
    traffic: LinkTraffic = LinkTraffic.ALL
    share: float = 1.0
    delay: int = 0
    jitter: int = 0
    rate: float = 0.0

    @property
    def base_delay(self) -> int:
        """The least delay, in ns, of what the fault touches, without the queue of a limited rate."""
        if self.kind is LinkFaultKind.REORDER and not self.delay:
            return DEFAULT_REORDER_DELAY
        return self.delay


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A fault that is on, over the slots that there are now: numbers of those that its terms name."""

    fault_id: str
    spec: FaultSpec
    sources: frozenset[int]
    destinations: frozenset[int]

    @classmethod
    def resolve(cls, fault_id: str, spec: FaultSpec, slots: Mapping[int, Slot]) -> LinkFault:
        """The fault over these slots. Errors: `LinkCommandError` for a term that names none."""
        return cls(fault_id, spec, slots_named(spec.sources, slots), slots_named(spec.destinations, slots))

    @property
    def on_streams(self) -> bool:
        """Whether it lies on streams."""
        return self.spec.traffic is not LinkTraffic.DATAGRAMS

    @property
    def on_datagrams(self) -> bool:
        """Whether it lies on datagrams."""
        return self.spec.traffic is not LinkTraffic.STREAMS

    @property
    def blocks(self) -> bool:
        """Whether nothing of a stream passes while it lasts."""
        return self.spec.kind in BLOCKING_KINDS

    def touches(self, link: Link) -> bool:
        """Whether it lies on what travels over the link."""
        if link.source in self.sources and link.destination in self.destinations:
            return True
        return self.spec.both_ways and link.destination in self.sources and link.source in self.destinations
