"""One small event loop on `select.epoll`: timers, coroutines, streams, listeners, signals. Knows nothing of
tasks."""

from gaproute.loop.connecting import Listener, connect
from gaproute.loop.loop import Loop, Promise, Stepped
from gaproute.loop.streams import Stream

__all__ = ["Listener", "Loop", "Promise", "Stepped", "Stream", "connect"]
