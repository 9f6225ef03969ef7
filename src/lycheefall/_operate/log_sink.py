"""Standard output for log lines that never blocks and whose volume is bounded."""

import asyncio
import contextlib
import os

from lycheefall._core.events import Event
from lycheefall._core.log import log

# Lines are written together; a line is at most this late.
FLUSH_PERIOD_S = 0.05
# A reader that is this far behind loses lines instead of holding up the process.
BUFFER_BYTES = 524_288
# About six lines for each of a hundred requests a second.
LINES_PER_S = 600


class LogSink:
    """Lines that wait for the reader of a descriptor."""

    # The logging library keeps its lock by a weak reference to the file.
    __slots__ = ("__weakref__", "_allowance", "_buffer", "_descriptor", "_dropped")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped = 0
        self._allowance = float(LINES_PER_S)

    def write(self, line: bytes) -> int:
        """Take a line, or count it as dropped."""
        if self._allowance < 1.0 or len(self._buffer) + len(line) > BUFFER_BYTES:
            self._dropped += 1
            return len(line)
        self._allowance -= 1.0
        self._buffer += line
        return len(line)

    def flush(self) -> None:
        """Leave the lines to the next turn of `run`."""

    async def run(self) -> None:
        """Write the lines until cancelled, and what is left then."""
        os.set_blocking(self._descriptor, False)
        try:
            while True:
                await asyncio.sleep(FLUSH_PERIOD_S)
                self._refill()
                self._write_out()
        finally:
            self._write_out()

    def _refill(self) -> None:
        self._allowance = min(float(LINES_PER_S), self._allowance + LINES_PER_S * FLUSH_PERIOD_S)
        if self._dropped and self._allowance >= LINES_PER_S / 2:
            dropped, self._dropped = self._dropped, 0
            log(Event.LINES_DROPPED, lines=dropped)

    def _write_out(self) -> None:
        # A reader that is gone or behind must not end the work.
        with contextlib.suppress(OSError):
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
