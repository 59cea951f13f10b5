"""What the gateways of a simulated fleet send and receive: bytes with headers, in all and by second."""

from array import array
from collections import defaultdict

from gaproute.units import SECOND

COUNTER_BYTES = 8  # of one counter of an array of type "Q"


class TrafficCounts:
    """Bytes and messages by the gateway's index."""

    def __init__(self) -> None:
        self.sent = array("Q")  # bytes
        self.received = array("Q")  # bytes
        self.messages = array("Q")  # sent
        self.sent_in = self._by_second()  # {second: bytes by gateway}
        self.received_in = self._by_second()

    def add_gateway(self) -> None:
        """Count for one more gateway, whose index follows the last one's."""
        for counts in (self.sent, self.received, self.messages):
            counts.append(0)

    def count_message(self, index: int) -> None:
        """The gateway sent one message."""
        self.messages[index] += 1

    def count_sent(self, index: int, now: int, size: int) -> None:
        """The gateway sent that many bytes."""
        self.sent[index] += size
        self.sent_in[now // SECOND][index] += size

    def count_received(self, index: int, now: int, size: int) -> None:
        """The gateway received that many bytes."""
        self.received[index] += size
        self.received_in[now // SECOND][index] += size

    def forget_seconds(self) -> None:
        """Count the bytes of each second anew."""
        self.sent_in.clear()
        self.received_in.clear()

    def greatest_second(self) -> int:
        """The most bytes that one gateway sent and received within one second."""
        return max(
            max(map(sum, zip(self.sent_in[second], self.received_in[second], strict=True)))
            for second in sorted(self.sent_in.keys() | self.received_in.keys())
        )

    def _by_second(self) -> "defaultdict[int, array[int]]":
        return defaultdict(lambda: array("Q", bytes(COUNTER_BYTES * len(self.sent))))
