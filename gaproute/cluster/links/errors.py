"""Errors of the link emulator."""

from gaproute.errors import GaprouteError


class LinkCommandError(GaprouteError, ValueError):
    """A command that cannot be carried out: it is malformed, or names a slot or fault that there is not."""
