"""Run each attempt in a task of its own, and attribute crashes of the upstream to attempts."""

import asyncio
from collections.abc import Callable
from functools import partial

import aiohttp
from msgspec import structs

from lycheefall._agent.forward import (
    CreditWindow,
    cancelled_attempt,
    forward,
    send_once,
    trace_request_sent,
)
from lycheefall._agent.messages import AttemptEnded, AttemptId, Forward
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import RouteKind, UpstreamKind
from lycheefall._core.ids import Address, Incarnation
from lycheefall._core.messages.dispatch import Cancel, Crash, Credit, Dispatch, Finished, ToEntry
from lycheefall._rules.byte_budget import ByteBudget

# Several probes, because a process that exits may break its connections before it stops listening.
DOWN_PROBES = 6
PROBE_PERIOD_S = 0.05
PROBE_TIMEOUT_S = 0.5
# Answers of the upstream that are being read.
ANSWERS_BYTES = 64 * 1024 * 1024

SendToPeer = Callable[[bytes, ToEntry], bool]


class AttemptRunner:
    """Tasks of the running attempts and their flow-control windows.

    `send` sends a message to an entry, and `on_end` is called with the result of each attempt.
    """

    __slots__ = (
        "_answers",
        "_booking_session",
        "_cancelled",
        "_crash_count",
        "_crash_s",
        "_incarnation",
        "_kind",
        "_on_end",
        "_pooled_session",
        "_send",
        "_tasks",
        "_upstream",
        "_watch_task",
        "_windows",
    )

    def __init__(
        self,
        incarnation: Incarnation,
        upstream: Address,
        kind: UpstreamKind,
        send: SendToPeer,
        on_end: Callable[[AttemptEnded], None],
    ) -> None:
        self._incarnation = incarnation
        self._upstream = upstream
        self._crash_count = 0
        # Time at which the last crash was detected; later attempts ran after a restart.
        self._crash_s = float("-inf")
        self._kind = kind
        self._answers = ByteBudget(ANSWERS_BYTES)
        self._send = send
        self._on_end = on_end
        self._pooled_session = aiohttp.ClientSession(
            connector=_connector(force_close=False), trace_configs=[trace_request_sent()]
        )
        # A booking gets a new connection: a pooled one may close just before it is used.
        self._booking_session = aiohttp.ClientSession(
            connector=_connector(force_close=True), middlewares=[send_once]
        )
        self._tasks: dict[AttemptId, asyncio.Task[ToEntry]] = {}
        self._windows: dict[AttemptId, CreditWindow] = {}
        # Cancelled attempts and the times they started; they may still crash the upstream.
        self._cancelled: list[tuple[Forward, float]] = []
        self._watch_task: asyncio.Task[None] | None = None

    def start(self, message: Forward) -> None:
        """Start the task of an attempt."""
        dispatch = message.dispatch
        attempt = AttemptId(dispatch.request, dispatch.attempt)
        self._windows[attempt] = CreditWindow(dispatch.credit)
        started_s = asyncio.get_running_loop().time()
        task = asyncio.create_task(self._call(message, self._windows[attempt], started_s))
        self._tasks[attempt] = task
        # A callback, because a task cancelled before its first step executes none of its coroutine.
        task.add_done_callback(partial(self._on_task_done, attempt, message, started_s))

    def signal(self, message: Cancel | Credit) -> None:
        """Pass a cancel or a flow-control credit to the attempt if it is running."""
        attempt = AttemptId(message.request, message.attempt)
        if isinstance(message, Credit):
            if attempt in self._windows:
                self._windows[attempt].grant(message.frames)
        elif attempt in self._tasks:
            self._tasks[attempt].cancel()

    async def close(self) -> None:
        """Close the connections to the upstream."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        await self._pooled_session.close()
        await self._booking_session.close()

    async def _call(self, message: Forward, window: CreditWindow, started_s: float) -> ToEntry:
        dispatch = message.dispatch
        is_booking = dispatch.kind is RouteKind.BOOKING
        result = await forward(
            self._booking_session if is_booking else self._pooled_session,
            self._upstream,
            self._kind,
            dispatch,
            window,
            lambda part: self._send(message.peer, part),
            self._answers,
        )
        upstream_lost = isinstance(result, Finished) and result.code is ResultCode.UPSTREAM_LOST
        if upstream_lost and await is_down(self._upstream):
            return structs.replace(result, crash=self._attributed_crash(dispatch, started_s))
        return result

    def _attributed_crash(self, dispatch: Dispatch, started_s: float) -> Crash:
        """Return the crash that ended an attempt; attempts ended by one crash share its id."""
        if started_s > self._crash_s:
            self._crash_count += 1
            self._crash_s = asyncio.get_running_loop().time()
        run = Incarnation(f"{self._incarnation}/{self._crash_count}")
        return Crash(run, dispatch.fingerprint)

    def _on_task_done(
        self, attempt: AttemptId, message: Forward, started_s: float, task: asyncio.Task[ToEntry]
    ) -> None:
        del self._tasks[attempt]
        del self._windows[attempt]
        if not task.cancelled():
            self._on_end(AttemptEnded(message.peer, task.result()))
            return
        self._on_end(cancelled_attempt(message.peer, message.dispatch))
        self._cancelled.append((message, started_s))
        if self._watch_task is None or self._watch_task.done():
            self._watch_task = asyncio.create_task(self._watch_cancelled())

    async def _watch_cancelled(self) -> None:
        """Report the crash of an upstream that goes down just after attempts were cancelled.

        Entries cancel copies of a suspect. Without this report such a crash would not be counted,
        and the suspect would run once more.
        """
        while self._cancelled:
            watched, self._cancelled = self._cancelled, []
            if not await is_down(self._upstream):
                continue
            for message, started_s in watched:
                crash = self._attributed_crash(message.dispatch, started_s)
                self._on_end(cancelled_attempt(message.peer, message.dispatch, crash))


async def is_down(upstream: Address) -> bool:
    """Return whether the upstream refuses connections, now or shortly after it broke one."""
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
