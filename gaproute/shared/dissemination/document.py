"""The interface of the document that is disseminated."""

from typing import Protocol

from gaproute.decisions.cells.version import Version
from gaproute.errors import GaprouteError
from gaproute.shared.dissemination.messages import Change


class DocumentError(GaprouteError, ValueError):
    """A change or a complete document is rejected; the text is a short reason.

    The current document is unchanged.
    """


class Document(Protocol):
    """A gateway's one copy of the document. `version` is `NO_VERSION` before the first one, and only grows.

    Equal documents have equal digests; different documents of one version have different digests.
    """

    fleet: str
    digest: int

    @property
    def version(self) -> Version:
        """The current version."""

    def apply(self, change: Change) -> None:
        """Applies a change whose base is the current version. Errors: DocumentError."""

    def replace(self, version: Version, digest: int, data: bytes) -> None:
        """Takes over a complete document of a higher version. Errors: DocumentError."""

    def encode(self) -> bytes:
        """The complete document, encoded; at most `MAX_DOCUMENT_BYTES` bytes."""
