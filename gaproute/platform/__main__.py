"""`python -m gaproute.platform`: one gateway of the platform, as the environment says.

Exit codes: 0 stopped, 2 the environment or the configuration cannot be used, 3 the address cannot be listened
on, or the operating system gives too little to start with. What may pass by itself is tried again first
(`loop.starting`).
"""

import gc
import os
import sys

from gaproute.loop import Loop
from gaproute.loop.starting import StartupRetries
from gaproute.platform.configuration import ConfigurationRefusedError, read_configuration, read_environment
from gaproute.platform.process import Process
from gaproute.telemetry.record import FOLLOWED


def followed():
    """GAPROUTE_FOLLOW=N: each Nth task has its steps in the log, 1 all, 0 none. A word that is no number is
    as if not set: a log is no reason not to start."""
    told = os.environ.get("GAPROUTE_FOLLOW", "")
    return int(told) if told.isdigit() else FOLLOWED


def main():
    patience = StartupRetries()
    try:
        name, listen, path = read_environment()
        loaded = patience.call(lambda: read_configuration(path))
        loop = patience.call(Loop)
        process = Process(path, loaded, name, listen, loop=loop, followed=followed())
        patience.call(process.heed_signals)
    except ConfigurationRefusedError as fault:
        print(fault, file=sys.stderr)
        return 2
    except OSError as fault:
        print(f"cannot start: {fault.strerror}", file=sys.stderr)
        return 3
    try:
        patience.call(process.start)
    except OSError as fault:
        print(f"cannot listen on {process.listen}: {fault.strerror}", file=sys.stderr)
        return 3
    gc.collect()
    gc.freeze()  # what stands for good is not looked through again and again
    process.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
