"""A stand-in model host: a model of it without a protocol (`machine`), servers on it; `Host`: KServe."""

from gaproute.standins.host.facts import Make, Model
from gaproute.standins.host.kserve import Host

__all__ = ["Host", "Make", "Model"]
