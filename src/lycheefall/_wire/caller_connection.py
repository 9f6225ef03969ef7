"""Connections of callers, and what the listening sockets of a process share."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import h11
from msgspec import Struct, field

from lycheefall._core.events import Event
from lycheefall._core.log import log
from lycheefall._rules import byte_budget, connection_account
from lycheefall._rules.byte_budget import ByteBudget, Holding
from lycheefall._rules.connection_account import (
    CONNECTION_BYTES,
    Account,
    CallerBounds,
    CloseReason,
    Share,
)
from lycheefall._wire.caller_input import CallerInput

Headers = tuple[tuple[bytes, bytes], ...]

READ_BYTES = 65_536
# For servers whose requests have no bodies to speak of, such as that of the metrics.
DEFAULT_BODIES_BYTES = 262_144
DEFAULT_ACCOUNT_BYTES = 8_000_000
DEFAULT_CONNECTIONS = 1_000
# A crowd closes thousands of connections; one line tells how many.
LOG_PERIOD_S = 1.0


class HttpLimits(Struct, frozen=True, kw_only=True):
    """Limits on the size of requests and on the time that callers take to send them."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class IncomingRequest(Struct, frozen=True):
    """A complete request, whose parts are neither modified nor decoded."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    # Time of the event loop at which the head was complete.
    received_s: float


class Intake(Struct, eq=False, kw_only=True):
    """What the listening sockets of a process share: its limits and its turns to parse."""

    # Heads and bodies of requests that are read or in progress.
    body_bytes: ByteBudget = field(default_factory=lambda: ByteBudget(DEFAULT_BODIES_BYTES))
    account: Account = field(
        default_factory=lambda: Account(DEFAULT_ACCOUNT_BYTES, DEFAULT_CONNECTIONS)
    )
    # Set when a body is released.
    has_released_body: asyncio.Event = field(default_factory=asyncio.Event)
    # Held for one iteration of the event loop by a connection that parses much at once.
    parsing: asyncio.Lock = field(default_factory=asyncio.Lock)
    # Sockets are read into it one after the other.
    receive_buffer: memoryview = field(default_factory=lambda: memoryview(bytearray(READ_BYTES)))
    closed: Counter[CloseReason] = field(default_factory=Counter)
    # Of each reason, the time of the last log line and the connections closed since.
    logged_s: dict[CloseReason, float] = field(default_factory=dict)
    unlogged: Counter[CloseReason] = field(default_factory=Counter)


class CallerConnection(Struct, eq=False):
    """The connection of a caller, owned by the task that serves it."""

    server: "HttpServer"
    reader: CallerInput
    writer: asyncio.StreamWriter
    http: h11.Connection
    is_idle: bool = True
    handler_task: asyncio.Task[None] | None = None
    is_disconnected: bool = False
    # Closed for the sake of other connections.
    is_dropped: bool = False
    # Bytes of an incomplete body that are not charged.
    part_bytes: int = 0
    # Unsent bytes of responses when a connection to close was last chosen.
    seen_unsent_bytes: int = 0
    share: Share = field(default_factory=lambda: new_share(lambda _: None, 0.0))


RequestHandler = Callable[[IncomingRequest, CallerConnection], Awaitable[None]]


class HttpServer(Struct, eq=False, kw_only=True):
    """A listening socket and its accepted connections."""

    handle: RequestHandler
    limits: Callable[[], HttpLimits]
    intake: Intake = field(default_factory=Intake)
    # Whether responses that are not sent yet count as held by their connection. Those of upstreams
    # have a budget of their own.
    counts_output: bool = False
    # If set, each response has the header `Connection: close`.
    is_closing: bool = False
    # Connections that are open; one that is being closed stays until its output is sent.
    callers: set[CallerConnection] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    listener: asyncio.Server | None = None


def new_intake(memory_bytes: float, bounds: CallerBounds) -> Intake:
    """Return the intake of a process with these limits."""
    return Intake(
        body_bytes=ByteBudget(byte_budget.limit_for_memory(memory_bytes)),
        account=connection_account.new_account(bounds, memory_bytes),
    )


def new_share(close: Callable[[CloseReason], None], now_s: float) -> Share:
    """Return the share of a new connection."""
    # A body has room before it is read, so it never ends because of others.
    body = Holding(end=lambda: None, is_growing=False)
    return Share(close, now_s, body, CONNECTION_BYTES)


def recount(caller: CallerConnection) -> None:
    """Count what a connection holds; close others if all hold too much."""
    server = caller.server
    held_bytes = CONNECTION_BYTES + len(caller.reader.buffer) + caller.part_bytes
    if server.counts_output:
        held_bytes += unsent_bytes(caller)
    account = server.intake.account
    connection_account.hold(account, caller.share, held_bytes)
    if connection_account.is_over(account):
        now_s = asyncio.get_running_loop().time()
        for share in connection_account.choose_for_memory(account, now_s, caller.share):
            share.close(CloseReason.NO_MEMORY)


def may_accept(server: HttpServer) -> bool:
    """Return whether there is room for one more connection; make it if others are stalled.

    One listening socket leaves some connections to the others, such as that of the readiness check.
    """
    account = server.intake.account
    if not is_full(server):
        return True
    now_s = asyncio.get_running_loop().time()
    if now_s < account.next_choice_s:
        return False
    for caller in server.callers:
        _note_sent(caller, now_s)
    stalled = connection_account.choose_for_connection(account, now_s)
    for share in stalled:
        share.close(CloseReason.NO_CONNECTION)
    return bool(stalled)


def is_full(server: HttpServer) -> bool:
    """Return whether a listening socket has as many connections as it may."""
    account = server.intake.account
    own_limit = account.max_connections - connection_account.reserved_connections(account)
    return len(account.shares) >= account.max_connections or len(server.callers) >= own_limit


def _note_sent(caller: CallerConnection, now_s: float) -> None:
    """Count it as progress if a caller has read a part of its response."""
    unsent = unsent_bytes(caller)
    if 0 < unsent != caller.seen_unsent_bytes:
        caller.share.progress_s = now_s
    caller.seen_unsent_bytes = unsent


def count_closed(intake: Intake, reason: CloseReason) -> None:
    """Count a closed connection, and log the number of them from time to time."""
    now_s = asyncio.get_running_loop().time()
    intake.closed[reason] += 1
    intake.unlogged[reason] += 1
    if now_s - intake.logged_s.get(reason, -LOG_PERIOD_S) < LOG_PERIOD_S:
        return
    account = intake.account
    log(
        Event.CALLERS_CLOSED,
        reason=reason.value,
        count=intake.unlogged.pop(reason),
        connections=len(account.shares),
        held_bytes=account.held_bytes,
    )
    intake.logged_s[reason] = now_s


def unsent_bytes(caller: CallerConnection) -> int:
    """Return the bytes of responses that the process still holds for a caller."""
    return caller.writer.transport.get_write_buffer_size()
