"""The memory that the members of the host list use, within a limit."""

from gaproute.discovery.changelog.member_records import MemberRecord
from gaproute.errors import GaprouteError

DEFAULT_MAX_LIST_BYTES = 256 << 20
MAX_EVENT_DIVISOR = 15  # of the memory for the list: so much may one event of the change log have
MEMBERS_SHARE = 0.6  # of it, for the members; decoding an event takes about six times its size
MEMBER_BYTES = 1_750  # of a member, with what the decisions and the connections know of its host
MAX_NAME_CHARS = 256  # of an id, an address or a zone
NAMES_DIVISOR = 16_000  # bytes of memory for the list, for each name of a zone or cell that is not in use


class MemberNameError(GaprouteError):
    """A name of a member is too long."""


class ListFullError(GaprouteError):
    """The members of the list use all memory."""


def max_event_bytes(list_bytes: int) -> int:
    """The bytes that one event may have, with so much memory for the list."""
    return list_bytes // MAX_EVENT_DIVISOR


def check_names(member: MemberRecord) -> None:
    """Checks the length of a member's names. Errors: MemberNameError."""
    for name in (member.id, member.host_port, member.locality, member.cell):
        if isinstance(name, str) and len(name) > MAX_NAME_CHARS:
            raise MemberNameError(f"a name has {len(name)} characters, allowed: {MAX_NAME_CHARS}")


class MemberMemory:
    """Counts the listed members."""

    def __init__(self, list_bytes: int) -> None:
        self.max_bytes = int(MEMBERS_SHARE * list_bytes)
        self.bytes = 0
        self._counted: dict[str, int] = {}  # by the member's id

    def clear(self) -> None:
        """Begins to count the members of a complete list."""
        self._counted, self.bytes = {}, 0

    def add(self, member: MemberRecord) -> None:
        """Counts a member, whether or not it was counted before. Errors: ListFullError."""
        size = MEMBER_BYTES + len(member.id) + len(member.host_port)
        total = self.bytes - self._counted.get(member.id, 0) + size
        if total > self.max_bytes:
            raise ListFullError(f"the list needs {total} bytes, allowed: {self.max_bytes}")
        self._counted[member.id], self.bytes = size, total

    def remove(self, member_id: str) -> None:
        """Stops counting a member."""
        self.bytes -= self._counted.pop(member_id, 0)
