"""A document for simulations of its dissemination, of which only the version matters."""

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination import Change, DocumentError
from gaproute.shared.dissemination.messages import NO_VERSION

FLEET = "north"
WHOLE_BYTES = 22_500  # of a table of 490 cells with three entries each, encoded and compressed
CHANGE_BYTES = 200


def digest_of(version: Version, salt: int = 0) -> int:
    """The digest of the one document that has this version."""
    return (version.term * 1_000_003 + version.number) * 0x9E3779B97F4A7C15 + salt & (2**64 - 1)


class StubDocument:
    """A document whose content is the same in each version."""

    def __init__(self, version: Version = NO_VERSION, whole_bytes: int = WHOLE_BYTES) -> None:
        self.fleet, self.version, self.digest = FLEET, version, digest_of(version)
        self.data = bytes(whole_bytes)

    def apply(self, change: Change) -> None:
        """Apply a change. Raises DocumentError for one whose digest is not that of its version."""
        if change.digest != digest_of(change.version):
            raise DocumentError("digest")
        self.version, self.digest = change.version, change.digest

    def replace(self, version: Version, digest: int, data: bytes) -> None:
        """Take a complete document. Raises DocumentError where digest or data are not those expected."""
        if digest != digest_of(version) or data != self.data:
            raise DocumentError("digest")
        self.version, self.digest = version, digest

    def encode(self) -> bytes:
        """The complete document's bytes."""
        return self.data


def change_from(base: Version, data: bytes = bytes(CHANGE_BYTES)) -> Change:
    """The change that follows a version."""
    version = Version(base.term, base.number + 1)
    return Change(base, version, digest_of(version), data)
