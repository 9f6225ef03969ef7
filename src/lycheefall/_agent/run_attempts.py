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

    def start(self, message: Forward) -> None:
        """Start the task of an attempt."""
        dispatch = message.dispatch
        attempt = AttemptId(dispatch.request, dispatch.attempt)
        self._windows[attempt] = Window(dispatch.credit)
        task = asyncio.create_task(self._call(message, self._windows[attempt]))
        self._tasks[attempt] = task
        # A task that is cancelled before it first runs executes nothing of its coroutine.
        task.add_done_callback(partial(self._done, attempt, message))

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
        await self._kept.close()
        await self._single.close()

    async def _call(self, message: Forward, window: Window) -> ToEntry:
        dispatch = message.dispatch
        booking = dispatch.kind is RouteKind.BOOKING
        started_s = asyncio.get_running_loop().time()
        result = await forward(
            self._single if booking else self._kept,
            self._upstream,
            self._kind,
            dispatch,
            window,
            lambda part: self._send(message.peer, part),
        )
        if isinstance(result, Finished) and result.code is ResultCode.UPSTREAM_LOST:
            return structs.replace(result, crash=await self._crash(dispatch, started_s))
        return result

    async def _crash(self, dispatch: Dispatch, started_s: float) -> Crash | None:
        """Return the crash that ended an attempt, the same one for all that it ended."""
        if not await is_down(self._upstream):
            return None
        if started_s > self._crash_s:
            self._crashes += 1
            self._crash_s = asyncio.get_running_loop().time()
        run = Incarnation(f"{self._incarnation}/{self._crashes}")
        return Crash(run, dispatch.fingerprint)

    def _done(self, attempt: AttemptId, message: Forward, task: asyncio.Task[ToEntry]) -> None:
        del self._tasks[attempt]
        del self._windows[attempt]
        if task.cancelled():
            self._ended(cancelled(message.peer, message.dispatch))
        else:
            self._ended(AttemptEnded(message.peer, task.result()))


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
