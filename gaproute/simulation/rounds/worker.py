"""The worker that restarts hosts which a scheduler has handed over."""

from gaproute.simulation.process_slot import OutgoingMessages
from gaproute.simulation.rounds.messages import HostHandover, ReadyHostsQuery, Restart
from gaproute.units import MILLI

QUERY_INTERVAL = 500 * MILLI
MAX_OPEN_QUERIES = 100


class MaintenanceWorker:
    """Asks the schedulers for hosts and restarts each while it still may: time counts from the question."""

    def __init__(self, schedulers: tuple[str, ...], now: int) -> None:
        self.due = now
        self._schedulers = schedulers
        self._number = 0
        self._asked_at: dict[int, int] = {}  # by the query's number

    def tick(self, now: int) -> OutgoingMessages:
        """Asks all schedulers."""
        self.due = now + QUERY_INTERVAL
        self._number += 1
        self._asked_at[self._number] = now
        self._asked_at.pop(self._number - MAX_OPEN_QUERIES, None)
        return [(name, ReadyHostsQuery(self._number)) for name in self._schedulers]

    def hear(self, now: int, sender: str, message: object) -> OutgoingMessages:
        """Restarts the host that was handed over, if there is time left."""
        if not isinstance(message, HostHandover) or message.number not in self._asked_at:
            return []
        if now >= self._asked_at[message.number] + message.time_left:
            return []
        return [(message.host, Restart(message.fencing_token, message.mark, message.round_name))]
