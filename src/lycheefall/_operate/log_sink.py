"""Non-blocking, rate-limited output of log lines to a file descriptor."""

import asyncio
import contextlib
import os

from lycheefall._core.events import Event
from lycheefall._core.log import log

# Lines are written in batches, so a line is delayed by at most this period.
FLUSH_PERIOD_S = 0.05
# When a slow reader lets the buffer grow to this size, lines are dropped instead of blocking.
BUFFER_BYTES = 524_288
# About six lines per request at 100 requests per second.
LINES_PER_S = 600


class LogSink:
    """Buffer of log lines for a file descriptor, with a token bucket that limits their rate."""

    # structlog keeps its lock by a weak reference to the file.
    __slots__ = ("__weakref__", "_buffer", "_descriptor", "_dropped", "_line_tokens")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped = 0
        self._line_tokens = float(LINES_PER_S)

    def write(self, line: bytes) -> int:
        """Append a line to the buffer, or drop and count it; return its length in bytes."""
        if self._line_tokens < 1.0 or len(self._buffer) + len(line) > BUFFER_BYTES:
            self._dropped += 1
            return len(line)
        self._line_tokens -= 1.0
        self._buffer += line
        return len(line)

    def flush(self) -> None:
        """Do nothing; `run` writes the lines periodically."""

    async def run(self) -> None:
        """Write the lines periodically until cancelled, then write the rest."""
        os.set_blocking(self._descriptor, False)
        try:
            while True:
                await asyncio.sleep(FLUSH_PERIOD_S)
                self._refill()
                self._write_buffer()
        finally:
            self._write_buffer()

    def _refill(self) -> None:
        self._line_tokens = min(
            float(LINES_PER_S), self._line_tokens + LINES_PER_S * FLUSH_PERIOD_S
        )
        if self._dropped and self._line_tokens >= LINES_PER_S / 2:
            dropped, self._dropped = self._dropped, 0
            log(Event.LINES_DROPPED, lines=dropped)

    def _write_buffer(self) -> None:
        # A closed or full pipe must not stop the process.
        with contextlib.suppress(OSError):
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
