"""An event loop on `select.epoll` with timers, coroutines, streams, listeners and signal handlers."""

from gaproute.loop.dialing import connect
from gaproute.loop.listening import Listener
from gaproute.loop.loop import Loop
from gaproute.loop.polling import SteppedClock
from gaproute.loop.promises import Promise
from gaproute.loop.streams import Stream

__all__ = ["Listener", "Loop", "Promise", "SteppedClock", "Stream", "connect"]
