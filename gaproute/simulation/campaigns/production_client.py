"""The requests of production that one gateway sends."""

from typing import NamedTuple

from gaproute.simulation.campaigns.messages import Task
from gaproute.simulation.campaigns.scene import Scene
from gaproute.simulation.process_slot import OutgoingMessages
from gaproute.units import MILLI

MAX_REQUEST_TIME = 1500 * MILLI  # until a request without an answer counts as lost
DURATIONS_MS = (50, 350)  # least and most


class _SentRequest(NamedTuple):
    host: str
    sent_at: int


class ProductionClient:
    """Sends each request to the one of two random hosts that has fewer of this gateway's requests.

    It does not look at campaigns, so that the same production is played with and without them.
    """

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self._requests: dict[str, _SentRequest] = {}

    def send(self, now: int) -> OutgoingMessages:
        """A request of production comes."""
        scene, random = self.scene, self.scene.production_random
        hosts = scene.running_hosts()
        one, other = random.choice(hosts), random.choice(hosts)
        host = other if self._in_flight(other) < self._in_flight(one) else one
        name = f"p{scene.numbers.next()}"
        self._requests[name] = _SentRequest(host, now)
        duration = random.between(*DURATIONS_MS) * MILLI
        return [(host, Task(name, None, duration, MAX_REQUEST_TIME, scene.true_time()))]

    def record_end(self, name: str) -> bool:
        """The request was answered; whether it is one of this gateway's."""
        return self._requests.pop(name, None) is not None

    def expire(self, now: int) -> None:
        """Forgets the requests that were never answered."""
        lost = [name for name, sent in self._requests.items() if now - sent.sent_at > MAX_REQUEST_TIME]
        for name in lost:
            del self._requests[name]

    def _in_flight(self, host: str) -> int:
        return sum(sent.host == host for sent in self._requests.values())
