"""`python -m gaproute`: the same as the command `gaproute`."""

from gaproute.cli.main import main

main()
