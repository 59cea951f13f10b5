"""The file and the environment that a gateway of the platform is started with."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from os import PathLike
from pathlib import Path
from typing import NamedTuple

from gaproute.standins.json_objects import JsonObject
from gaproute.standins.platform.deployment_settings import Settings
from gaproute.standins.platform.host_list import Snapshot

DEFAULT_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


class StartCommand(NamedTuple):
    """How a gateway is started."""

    command: list[str]
    environment: dict[str, str]  # to be added to the own one


@dataclass(frozen=True, kw_only=True)
class GatewayConfiguration:
    """What one gateway is started with."""

    name: str
    listen: str
    change_log: str  # address
    known: Snapshot  # the host list: see `VersionedHostList.snapshot`
    settings: Settings  # see `deployment_settings`
    seed: int = 1
    peer_listen: str = ""  # where it receives from other gateways; empty: it has none
    peers: Sequence[str] = ()
    peers_all: str = ""  # the address of all others
    limits: Mapping[str, float] = field(default_factory=dict)  # of the process, in place of the usual ones

    def as_json(self) -> JsonObject:
        """The file's object."""
        content: JsonObject = {
            "name": self.name,
            "listen": self.listen,
            "seed": f"{self.seed:x}",
            "changelog": self.change_log,
            "known": self.known,
            "limits": {**DEFAULT_LIMITS, **self.limits},
            "settings": self.settings,
        }
        if self.peer_listen:
            content |= {
                "peer_listen": self.peer_listen,
                "peers": list(self.peers),
                "peers_all": self.peers_all,
            }
        return content

    def write(self, folder: str | PathLike[str]) -> StartCommand:
        """Writes the file anew, whole: before a start, or before a SIGHUP that tells where the change log has
        moved. Errors: OSError."""
        path = Path(folder) / f"{self.name}.json"
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(self.as_json()))
        fresh.replace(path)
        environment = {"EDGE_NAME": self.name, "EDGE_LISTEN": self.listen, "EDGE_CONFIG": str(path)}
        return StartCommand([sys.executable, "-m", "gaproute.platform"], environment)
