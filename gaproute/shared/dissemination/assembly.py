"""Assembles a complete document that arrives in parts."""

from gaproute.shared.dissemination.bounds import MAX_DOCUMENT_BYTES
from gaproute.shared.dissemination.messages import NO_VERSION, PartAnswer


class DocumentAssembly:
    """The parts of one version, taken in order; a part of another version starts again."""

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Drops the parts."""
        self.version, self.digest, self.size = NO_VERSION, 0, 0
        self.data = bytearray()

    def add_part(self, part: PartAnswer) -> bool:
        """Takes a part; returns whether it was the next one."""
        if not 0 < part.size <= MAX_DOCUMENT_BYTES or not part.data:
            return False
        if (part.version, part.digest, part.size) != (self.version, self.digest, self.size):
            if part.offset != 0:
                return False
            self.clear()
            self.version, self.digest, self.size = part.version, part.digest, part.size
        if part.offset != len(self.data) or part.offset + len(part.data) > self.size:
            return False
        self.data += part.data
        return True

    @property
    def has_parts(self) -> bool:
        """Whether some parts have come, but not all."""
        return bool(self.data)

    @property
    def is_complete(self) -> bool:
        """Whether the last part has come."""
        return 0 < self.size == len(self.data)
