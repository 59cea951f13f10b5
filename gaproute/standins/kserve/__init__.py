"""Stand-ins on KServe v2 REST: model hosts and clients."""

from gaproute.standins.kserve.host import KServeHost

__all__ = ["KServeHost"]
