"""The root of the exceptions that gaproute raises itself.

Each says what was being done, with what, what was found and what was expected. Errors of the operating system
stay `OSError`.
"""


class GaprouteError(Exception):
    """The base of all exceptions of this project."""
