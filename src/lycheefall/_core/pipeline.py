"""Primitives that connect filters: function composition, inboxes and actor loops."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeVar, overload

A = TypeVar("A")
B = TypeVar("B")
C = TypeVar("C")
D = TypeVar("D")
E = TypeVar("E")
S = TypeVar("S")
T = TypeVar("T")
M = TypeVar("M")

# Applies a message to an actor's state at a time in seconds; returns the new state and the results.
Step = Callable[[S, T, float], tuple[S, list[M]]]


@overload
def pipe(first: Callable[[A], B], /) -> Callable[[A], B]: ...
@overload
def pipe(first: Callable[[A], B], second: Callable[[B], C], /) -> Callable[[A], C]: ...
@overload
def pipe(
    first: Callable[[A], B], second: Callable[[B], C], third: Callable[[C], D], /
) -> Callable[[A], D]: ...
@overload
def pipe(
    first: Callable[[A], B],
    second: Callable[[B], C],
    third: Callable[[C], D],
    fourth: Callable[[D], E],
    /,
) -> Callable[[A], E]: ...
def pipe(*filters: Callable[[Any], Any]) -> Callable[[Any], Any]:
    """Compose stateless filters into one; each receives the result of the previous one."""

    def composed(item: Any) -> Any:
        for apply in filters:
            item = apply(item)
        return item

    return composed


class Inbox(Generic[T]):
    """Bounded queue of messages for one task."""

    __slots__ = ("_capacity", "_has_room", "_queue")

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._queue: asyncio.Queue[T] = asyncio.Queue()
        self._has_room = asyncio.Event()

    def offer(self, message: T) -> bool:
        """Add a message without waiting; return False if the queue is full."""
        if self._queue.qsize() >= self._capacity:
            return False
        self._queue.put_nowait(message)
        return True

    def add(self, message: T) -> None:
        """Add a message even if the queue is full.

        For messages that end what an earlier message began, whose number is bounded by that.
        """
        self._queue.put_nowait(message)

    async def put(self, message: T) -> None:
        """Add a message, waiting while the queue is full."""
        while not self.offer(message):
            self._has_room.clear()
            await self._has_room.wait()

    async def get(self) -> T:
        """Remove and return the next message, waiting until there is one."""
        message = await self._queue.get()
        self._has_room.set()
        return message

    async def drain(self) -> list[T]:
        """Remove and return all queued messages, waiting until there is at least one."""
        batch = [await self._queue.get()]
        while not self._queue.empty():
            batch.append(self._queue.get_nowait())
        self._has_room.set()
        return batch

    def __len__(self) -> int:
        return self._queue.qsize()


class Latest(Generic[T]):
    """Latest value of a single writer; readers see only the newest one, without a queue."""

    __slots__ = ("_published", "value")

    def __init__(self, value: T) -> None:
        self.value = value
        self._published = asyncio.Event()

    def publish(self, value: T) -> None:
        """Replace the value and wake waiting readers."""
        self.value = value
        self._published.set()

    async def wait_published(self, timeout_s: float) -> None:
        """Wait until the first value has been published, or until the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._published.wait()


async def run_actor(
    inbox: Inbox[T],
    state: S,
    step: Step[S, T, M],
    emit: Callable[[M], None],
) -> None:
    """Run an actor: apply the step to its state and each message, and emit the results."""
    loop = asyncio.get_running_loop()
    while True:
        for message in await inbox.drain():
            state, results = step(state, message, loop.time())
            _emit_all(emit, results)


def _emit_all(emit: Callable[[M], None], messages: Iterable[M]) -> None:
    for message in messages:
        emit(message)


async def tick(inbox: Inbox[T], message: T, period_s: float) -> None:
    """Offer a message to the inbox every period; drop it if the inbox is full."""
    while True:
        await asyncio.sleep(period_s)
        inbox.offer(message)
