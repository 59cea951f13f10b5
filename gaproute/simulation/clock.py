"""The monotonic clock of one simulated process beside true time: an offset and a rate, in whole numbers."""

from gaproute.simulation.units import MILLION

STOPPED = -MILLION  # the drift of a clock that stands still


class SimulatedClock:
    """Shows `shown` at the true time `now` and drifts from there; all times are ns.

    `drift`: by how many millionths the clock is faster than true time, negative where it is slower. A clock
    never goes back. Where its machine is started again (`restart`) it begins at any value, as a monotonic
    clock does.
    """

    __slots__ = ("_base", "_shown", "_rate")

    def __init__(self, now: int = 0, shown: int = 0, drift: int = 0) -> None:
        self._base, self._shown, self._rate = now, shown, MILLION + drift

    def own_time(self, true: int) -> int:
        """What the clock shows at this true time."""
        return self._shown + (true - self._base) * self._rate // MILLION

    def true_time(self, own: int) -> int | None:
        """The first true time at which the clock shows `own` or more; None where it stands still before."""
        if self._rate <= 0:
            return None if own > self._shown else self._base
        return self._base - (self._shown - own) * MILLION // self._rate

    def set_drift(self, true: int, drift: int) -> None:
        """Drifts by so many millionths from this true time on."""
        self._shown, self._base, self._rate = self.own_time(true), true, MILLION + drift

    def restart(self, true: int, shown: int) -> None:
        """Shows `shown` at this true time, whatever it showed before."""
        self._shown, self._base = shown, true
