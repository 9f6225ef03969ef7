"""Run one task for each attempt and steer it."""

import asyncio
from collections.abc import Callable

import aiohttp

from lycheefall._agent.forward import Window, cancelled, forward
from lycheefall._agent.messages import AttemptEnded, AttemptId, Forward
from lycheefall._core.enums import RouteKind, UpstreamKind
from lycheefall._core.ids import Address
from lycheefall._core.messages.dispatch import Cancel, Credit, ToEntry

SendToPeer = Callable[[bytes, ToEntry], bool]


class Attempts:
    """Tasks of the attempts that run, and their flow-control windows."""

    __slots__ = ("_ended", "_kept", "_kind", "_send", "_single", "_tasks", "_upstream", "_windows")

    def __init__(
        self,
        upstream: Address,
        kind: UpstreamKind,
        send: SendToPeer,
        ended: Callable[[AttemptEnded], None],
    ) -> None:
        self._upstream = upstream
        self._kind = kind
        self._send = send
        self._ended = ended
        self._kept = aiohttp.ClientSession(connector=_connector(force_close=False))
        # A booking gets a new connection: a kept one may close under the call, and the HTTP
        # client would then send an idempotent method again.
        self._single = aiohttp.ClientSession(connector=_connector(force_close=True))
        self._tasks: dict[AttemptId, asyncio.Task[None]] = {}
        self._windows: dict[AttemptId, Window] = {}

    def start(self, message: Forward) -> None:
        """Start the task of an attempt."""
        dispatch = message.dispatch
        attempt = AttemptId(dispatch.request, dispatch.attempt)
        self._windows[attempt] = Window(dispatch.credit)
        self._tasks[attempt] = asyncio.create_task(self._run(attempt, message))

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

    async def _run(self, attempt: AttemptId, message: Forward) -> None:
        dispatch = message.dispatch
        booking = dispatch.kind is RouteKind.BOOKING
        try:
            result = await forward(
                self._single if booking else self._kept,
                self._upstream,
                self._kind,
                dispatch,
                self._windows[attempt],
                lambda part: self._send(message.peer, part),
            )
            ended = AttemptEnded(message.peer, result)
        except asyncio.CancelledError:
            ended = cancelled(message.peer, dispatch)
        del self._tasks[attempt]
        del self._windows[attempt]
        self._ended(ended)


def _connector(*, force_close: bool) -> aiohttp.TCPConnector:
    return aiohttp.TCPConnector(limit=0, force_close=force_close)
