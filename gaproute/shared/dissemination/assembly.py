"""Assembles a complete document from the parts in which it arrives."""

from gaproute.shared.dissemination.bounds import MAX_DOCUMENT_BYTES
from gaproute.shared.dissemination.messages import NO_VERSION, PartAnswer


class DocumentAssembly:
    """The parts of one version, which are added in order; the first part of another version replaces them."""

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Drops all parts."""
        self.version, self.digest, self.size = NO_VERSION, 0, 0
        self.data = bytearray()

    def add_part(self, part: PartAnswer) -> bool:
        """Adds a part; returns False, and does not add it, if it is not the next one or is invalid."""
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
        """Whether at least one part has been added."""
        return bool(self.data)

    @property
    def is_complete(self) -> bool:
        """Whether all parts have been added."""
        return 0 < self.size == len(self.data)
