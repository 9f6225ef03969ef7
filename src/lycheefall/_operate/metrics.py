"""Metrics by statsd, summed up in the process and sent once a second."""

import asyncio
from collections import Counter
from collections.abc import Callable

import statsd

from lycheefall._core.ids import Address

FLUSH_PERIOD_S = 1.0

# Adds a number to the counter of a name.
Count = Callable[[str, int], None]


def ignore_counts(name: str, number: int) -> None:
    """Drop a count; used when no statsd server is set."""


class Metrics:
    """Counters since the last flush."""

    __slots__ = ("_client", "_counters")

    def __init__(self, address: Address, prefix: str) -> None:
        host, _, port = address.rpartition(":")
        self._client = statsd.StatsClient(host, int(port), prefix=prefix)
        self._counters: Counter[str] = Counter()

    def count(self, name: str, number: int) -> None:
        """Add to a counter; the sum is sent at the next flush."""
        self._counters[name] += number

    async def run(self) -> None:
        """Send the counters once a period."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()

    def flush(self) -> None:
        """Send the counters in one batch."""
        with self._client.pipeline() as batch:
            for name, number in self._counters.items():
                batch.incr(name, number)
        self._counters.clear()
