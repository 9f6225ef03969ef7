"""Metrics over statsd, aggregated in the process and sent once per second."""

import asyncio
from collections import Counter
from collections.abc import Callable

import statsd

from lycheefall._core.ids import Address

FLUSH_PERIOD_S = 1.0

# Adds a number to the counter with a name.
IncrementCounter = Callable[[str, int], None]
# Sets the gauge with a name.
SetGauge = Callable[[str, float], None]


class Metrics:
    """Counters and gauges since the last flush; without a server, flush discards them."""

    __slots__ = ("_client", "_counters", "_gauges")

    def __init__(self, address: Address | None, prefix: str) -> None:
        self._client: statsd.StatsClient | None = None
        if address is not None:
            host, _, port = address.rpartition(":")
            self._client = statsd.StatsClient(host, int(port), prefix=prefix)
        self._counters: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}

    def count(self, name: str, increment: int) -> None:
        """Add to a counter; the sum is sent at the next flush."""
        self._counters[name] += increment

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge; the last value is sent at the next flush."""
        self._gauges[name] = value

    async def run(self) -> None:
        """Flush periodically until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()

    def flush(self) -> None:
        """Send the counters and gauges set since the last flush in one batch, and reset them."""
        if self._client is not None:
            with self._client.pipeline() as batch:
                for name, increment in self._counters.items():
                    batch.incr(name, increment)
                for name, value in self._gauges.items():
                    batch.gauge(name, value)
        self._counters.clear()
        self._gauges.clear()
