"""A small event loop on `select.epoll`: timers, coroutines, streams, listeners, signals."""

from gaproute.loop.dialing import connect
from gaproute.loop.listening import Listener
from gaproute.loop.loop import Loop
from gaproute.loop.polling import SteppedClock
from gaproute.loop.promises import Promise
from gaproute.loop.streams import Stream

__all__ = ["Listener", "Loop", "Promise", "SteppedClock", "Stream", "connect"]
