"""The instances of one model at a stand-in host, and the requests that wait for one."""

from __future__ import annotations

from gaproute.standins.model_server.requests import HostRequest


class ModelInstances:
    """The instances of one model. Each runs as many requests at a time as the model has lanes."""

    def __init__(self) -> None:
        self.loaded = 0
        self.loading = 0
        self.busy_lanes = 0
        self.idle_since = 0  # or since when they were last used or ordered, ns
        self.waiting: list[HostRequest] = []  # for a lane, the first first

    @property
    def total(self) -> int:
        """Instances that take memory."""
        return self.loaded + self.loading

    @property
    def unused(self) -> bool:
        """Whether no request runs or waits here."""
        return not self.busy_lanes and not self.waiting

    def has_free_lane(self, lanes: int) -> bool:
        """Whether a request can run now; `lanes`: of one instance."""
        return self.busy_lanes < self.loaded * lanes
