"""`python -m gaproute.platform`: runs one gateway of the platform, configured by environment variables.

Exit codes: 0 stopped; 2 the environment or the configuration is unusable; 3 the gateway cannot listen on its
address, or the operating system lacks descriptors or memory. Transient errors are retried first
(`loop.starting`).
"""

import gc
import os
import sys

from gaproute.loop import Loop
from gaproute.loop.starting import StartupRetries
from gaproute.platform.configuration import ConfigurationRejectedError, read_configuration, read_environment
from gaproute.platform.process import GatewayProcess
from gaproute.telemetry.record import DEFAULT_TRACE_ONE_IN

EXIT_STOPPED, EXIT_UNUSABLE_CONFIGURATION, EXIT_CANNOT_START = 0, 2, 3


def read_trace_one_in() -> int:
    """Reads GAPROUTE_FOLLOW=N: the steps of one request in N are logged; 1 logs all requests, 0 none.

    An invalid value is replaced by the default, since it is no reason to refuse to start.
    """
    text = os.environ.get("GAPROUTE_FOLLOW", "")
    return int(text) if text.isdigit() else DEFAULT_TRACE_ONE_IN


def main() -> int:
    """Runs the gateway until it stops; returns the exit code."""
    startup_retries = StartupRetries()
    try:
        process = make_process(startup_retries)
    except ConfigurationRejectedError as error:
        print(error, file=sys.stderr)
        return EXIT_UNUSABLE_CONFIGURATION
    except OSError as error:
        print(f"cannot start the gateway: {error.strerror}", file=sys.stderr)
        return EXIT_CANNOT_START
    try:
        startup_retries.call(process.start)
    except OSError as error:
        print(f"cannot listen on {process.listen}: {error.strerror}", file=sys.stderr)
        return EXIT_CANNOT_START
    gc.collect()
    gc.freeze()  # later collections skip the objects that live as long as the process
    process.run()
    return EXIT_STOPPED


def make_process(startup_retries: StartupRetries) -> GatewayProcess:
    """Creates the gateway that the environment describes, and sets its signal handlers.

    Errors: ConfigurationRejectedError; OSError if the operating system lacks descriptors or memory.
    """
    name, listen, path = read_environment()
    loaded = startup_retries.call(lambda: read_configuration(path))
    loop = startup_retries.call(Loop)
    process = GatewayProcess(
        path, loaded, name=name, listen=listen, loop=loop, trace_one_in=read_trace_one_in()
    )
    startup_retries.call(process.handle_signals)
    return process


if __name__ == "__main__":
    sys.exit(main())
