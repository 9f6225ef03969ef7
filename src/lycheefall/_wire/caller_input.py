"""Bytes that a caller has sent and that are not parsed yet."""

import asyncio

from lycheefall._wire.chunked_body import ChunkedBody, decode

# More is not read from the socket until a part has been parsed.
INPUT_BYTES = 16_384


class CallerInput:
    """Buffer of bounded size between a transport and the task that parses requests."""

    __slots__ = (
        "_is_discarding",
        "_is_paused",
        "_transport",
        "_waiter",
        "buffer",
        "high_bytes",
        "is_ended",
    )

    def __init__(self, transport: asyncio.Transport | None = None) -> None:
        self._transport = transport
        self._waiter: asyncio.Future[None] | None = None
        self._is_paused = False
        self._is_discarding = False
        self.buffer = bytearray()
        self.high_bytes = INPUT_BYTES
        self.is_ended = False

    def feed_data(self, data: bytes) -> None:
        """Add received bytes; pause the transport if there are too many."""
        if self._is_discarding:
            return
        self.buffer += data
        if len(self.buffer) > self.high_bytes and not self._is_paused and self._transport:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake()

    def feed_eof(self) -> None:
        """Mark the end of the bytes."""
        self.is_ended = True
        self._wake()

    async def more(self) -> bool:
        """Wait for further bytes; return False if there will be none."""
        if self.is_ended:
            return False
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
        return True

    def take(self, count: int) -> bytes:
        """Remove and return up to so many bytes."""
        data = bytes(self.buffer[:count])
        self._drop(len(data))
        return data

    def clear(self) -> None:
        """Drop all bytes."""
        self._drop(len(self.buffer))

    def discard(self, read_bytes: int) -> None:
        """Drop all bytes, and those that are received from now on, in reads of this size."""
        self._is_discarding = True
        self.high_bytes = read_bytes
        self.clear()

    def decode_into(self, body: ChunkedBody, count: int) -> int:
        """Decode up to so many bytes of a chunked body, and return how many were used.

        Raise InvalidChunk if they are invalid.
        """
        used_bytes = decode(body, bytes(self.buffer[:count]))
        self._drop(used_bytes)
        return used_bytes

    def _drop(self, count: int) -> None:
        if count == len(self.buffer):
            # A cleared array returns its memory.
            self.buffer = bytearray()
        else:
            del self.buffer[:count]
        if self._is_paused and len(self.buffer) <= self.high_bytes and self._transport:
            self._is_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
