"""The interface of a document that can be disseminated."""

from typing import Protocol

from gaproute.decisions.cells.version import Version
from gaproute.errors import GaprouteError
from gaproute.shared.dissemination.messages import Change


class DocumentError(GaprouteError, ValueError):
    """A change or a complete document is rejected; the current document is unchanged.

    The text is a short constant reason, by which rejections are counted.
    """


class Document(Protocol):
    """The one copy of the document at a gateway.

    Its `version` is `NO_VERSION` until it has a first version, and never falls. Equal documents have equal
    digests; different documents of one version have different digests.
    """

    fleet: str
    digest: int

    @property
    def version(self) -> Version:
        """The current version."""

    def apply(self, change: Change) -> None:
        """Applies a change whose base is the current version. Raises `DocumentError` if it is invalid."""

    def replace(self, version: Version, digest: int, data: bytes) -> None:
        """Replaces the content by a complete document of a newer version.

        Raises `DocumentError` if it is invalid.
        """

    def encode(self) -> bytes:
        """Encodes the complete document, in at most `MAX_DOCUMENT_BYTES` bytes."""
