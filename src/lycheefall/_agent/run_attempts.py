"""Run one task for each attempt and steer it."""

import asyncio
from collections.abc import Callable
from functools import partial

import aiohttp
from msgspec import structs

from lycheefall._agent.forward import Window, cancelled, forward, trace_sent
from lycheefall._agent.messages import AttemptEnded, AttemptId, Forward
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import RouteKind, UpstreamKind
from lycheefall._core.ids import Address, Incarnation
from lycheefall._core.messages.dispatch import Cancel, Crash, Credit, Dispatch, Finished, ToEntry

# A process that ends may break its connections before it stops listening.
DOWN_PROBES = 6
PROBE_PERIOD_S = 0.05
PROBE_TIMEOUT_S = 0.5

SendToPeer = Callable[[bytes, ToEntry], bool]


class Attempts:
    """Tasks of the attempts that run, and their flow-control windows."""

    __slots__ = (
        "_cancelled",
        "_crash_s",
        "_crashes",
        "_ended",
        "_incarnation",
        "_kept",
        "_kind",
        "_send",
        "_single",
        "_tasks",
        "_upstream",
        "_watch",
        "_windows",
    )

    def __init__(
        self,
        incarnation: Incarnation,
        upstream: Address,
        kind: UpstreamKind,
        send: SendToPeer,
        ended: Callable[[AttemptEnded], None],
    ) -> None:
        self._incarnation = incarnation
        self._upstream = upstream
        self._crashes = 0
        # When the last crash was found; an attempt that started later ran after a restart.
        self._crash_s = float("-inf")
        self._kind = kind
        self._send = send
        self._ended = ended
        self._kept = aiohttp.ClientSession(
            connector=_connector(force_close=False), trace_configs=[trace_sent()]
        )
        # A booking gets a new connection: a kept one may close under the call, and the HTTP
        # client would then send an idempotent method again.
        self._single = aiohttp.ClientSession(connector=_connector(force_close=True))
        self._tasks: dict[AttemptId, asyncio.Task[ToEntry]] = {}
        self._windows: dict[AttemptId, Window] = {}
        # Attempts that were cancelled, with their starts; they may still bring the upstream down.
        self._cancelled: list[tuple[Forward, float]] = []
        self._watch: asyncio.Task[None] | None = None

    def start(self, message: Forward) -> None:
        """Start the task of an attempt."""
        dispatch = message.dispatch
        attempt = AttemptId(dispatch.request, dispatch.attempt)
        self._windows[attempt] = Window(dispatch.credit)
        started_s = asyncio.get_running_loop().time()
        task = asyncio.create_task(self._call(message, self._windows[attempt], started_s))
        self._tasks[attempt] = task
        # A task that is cancelled before it first runs executes nothing of its coroutine.
        task.add_done_callback(partial(self._done, attempt, message, started_s))

    def steer(self, message: Cancel | Credit) -> None:
        """Pass a cancel or a credit on to the attempt, if it still runs."""
        attempt = AttemptId(message.request, message.attempt)
        if isinstance(message, Credit):
            if attempt in self._windows:
                self._windows[attempt].grant(message.frames)
        elif attempt in self._tasks:
            self._tasks[attempt].cancel()

    async def close(self) -> None:
        """Close the connections to the upstream."""
        if self._watch is not None:
            self._watch.cancel()
        await self._kept.close()
        await self._single.close()

    async def _call(self, message: Forward, window: Window, started_s: float) -> ToEntry:
        dispatch = message.dispatch
        booking = dispatch.kind is RouteKind.BOOKING
        result = await forward(
            self._single if booking else self._kept,
            self._upstream,
            self._kind,
            dispatch,
            window,
            lambda part: self._send(message.peer, part),
        )
        is_lost = isinstance(result, Finished) and result.code is ResultCode.UPSTREAM_LOST
        if is_lost and await is_down(self._upstream):
            return structs.replace(result, crash=self._crash(dispatch, started_s))
        return result

    def _crash(self, dispatch: Dispatch, started_s: float) -> Crash:
        """Return the crash that ended an attempt, the same one for all that it ended."""
        if started_s > self._crash_s:
            self._crashes += 1
            self._crash_s = asyncio.get_running_loop().time()
        run = Incarnation(f"{self._incarnation}/{self._crashes}")
        return Crash(run, dispatch.fingerprint)

    def _done(
        self, attempt: AttemptId, message: Forward, started_s: float, task: asyncio.Task[ToEntry]
    ) -> None:
        del self._tasks[attempt]
        del self._windows[attempt]
        if not task.cancelled():
            self._ended(AttemptEnded(message.peer, task.result()))
            return
        self._ended(cancelled(message.peer, message.dispatch))
        self._cancelled.append((message, started_s))
        if self._watch is None or self._watch.done():
            self._watch = asyncio.create_task(self._watch_cancelled())

    async def _watch_cancelled(self) -> None:
        """Name the crash of an upstream that goes down just after attempts were cancelled.

        Entries cancel copies of a suspect. Without the name such a crash would not count, and the
        suspect would be run once more.
        """
        while self._cancelled:
            watched, self._cancelled = self._cancelled, []
            if not await is_down(self._upstream):
                continue
            for message, started_s in watched:
                crash = self._crash(message.dispatch, started_s)
                self._ended(cancelled(message.peer, message.dispatch, crash))


async def is_down(upstream: Address) -> bool:
    """Tell whether the upstream refuses connections, now or a moment after it broke one."""
    host, _, port = upstream.rpartition(":")
    for _ in range(DOWN_PROBES):
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            continue
        writer.close()
        await asyncio.sleep(PROBE_PERIOD_S)
    return False


def _connector(*, force_close: bool) -> aiohttp.TCPConnector:
    return aiohttp.TCPConnector(limit=0, force_close=force_close)
