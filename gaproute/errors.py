"""The base class of the exceptions that gaproute raises itself.

Each message says what was being done, with what, what was found and what was expected. Errors of the
operating system remain `OSError`.
"""


class GaprouteError(Exception):
    """The base of all exceptions of this project."""
