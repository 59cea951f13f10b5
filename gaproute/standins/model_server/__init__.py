"""The behaviour of a model host without a protocol: its cores, loaded instances, queues and faults."""

from gaproute.standins.model_server.profiles import HostProfile, ModelProfile

__all__ = ["HostProfile", "ModelProfile"]
