"""The document that is disseminated, as the dissemination sees it."""

from typing import Protocol

from gaproute.decisions.cells.version import Version
from gaproute.errors import GaprouteError
from gaproute.shared.dissemination.messages import Change


class DocumentError(GaprouteError, ValueError):
    """A change or a whole document that cannot be taken; the text is a short reason.

    The current document stays.
    """


class Document(Protocol):
    """The one copy that a gateway has. `version` is `NOTHING` before the first; it only grows.

    Equal documents have equal digests; others of the same version have not.
    """

    fleet: str
    digest: int

    @property
    def version(self) -> Version:
        """The current version."""

    def apply(self, change: Change) -> None:
        """Takes a change whose base is the current version. Errors: DocumentError."""

    def replace(self, version: Version, digest: int, data: bytes) -> None:
        """Takes a whole document of a higher version. Errors: DocumentError."""

    def whole(self) -> bytes:
        """The whole document, encoded; at most `MAX_WHOLE` bytes."""
