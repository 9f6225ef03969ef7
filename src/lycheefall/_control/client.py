"""Control client: a task that owns one connection to a replica at a time."""

import asyncio
from collections.abc import Callable
from uuid import uuid4

from msgspec import Struct, field

from lycheefall._control.configuration_cache import CachedConfiguration, apply_changes
from lycheefall._core.codes import ResultCode
from lycheefall._core.evacuations import UNKNOWN_VERSION
from lycheefall._core.events import Event
from lycheefall._core.exceptions import ControlUnavailable
from lycheefall._core.ids import NO_REVISION, Address, CommandId, Incarnation
from lycheefall._core.log import log
from lycheefall._core.messages.control import (
    Changes,
    Command,
    Failed,
    FromControl,
    Propose,
    ProposeReply,
    Result,
    StatusQuery,
    StatusReport,
    Watch,
)
from lycheefall._core.messages.membership import Announce
from lycheefall._core.pipeline import Inbox, tick
from lycheefall._wire.codec import DecodeError, decode_from_control, encode
from lycheefall._wire.zmq_sockets import DealerSocket

POLL_PERIOD_S = 0.1
# A connection without an answer for this long is replaced with one to the next address.
SILENCE_TIMEOUT_S = 1.0
# The client disconnects from a replica that has known no leader for this long.
NO_LEADER_TIMEOUT_S = 1.0
# A connection that accepts no message for this long counts as down; this detects a lost connection
# before SILENCE_TIMEOUT_S does.
DOWN_AFTER_S = 0.25
# A proposal without a result is resent after this time, under the same command id.
RESEND_AFTER_S = 0.5
# With a longer timeout, a command could be resent after the replicas discarded its result.
MAX_TIMEOUT_S = 20.0
# Control counts as lost after this time without a replica that knows a leader, which is enough to
# try each of three addresses.
LOST_AFTER_S = 3.0
CLIENT_INBOX_MESSAGES = 10_000


class Poll(Struct, frozen=True):
    """Poll for changes, resend commands and replace a silent connection."""


class Submit(Struct, frozen=True):
    """Propose a command and resolve the future with its result."""

    command_id: CommandId
    command: Command
    reply: asyncio.Future[Result]


class RequestStatus(Struct, frozen=True):
    """Request the status of the connected replica."""

    reply: asyncio.Future[StatusReport]


class Received(Struct, frozen=True):
    """A message received over the connection with this number; ignored if that was replaced."""

    connection: int
    message: FromControl


ToClient = Poll | Submit | RequestStatus | Received | Announce


class PendingCommand(Struct, eq=False):
    """A proposed command that has no result yet."""

    command: Command
    reply: asyncio.Future[Result]
    send_due_s: float


class ClientState(Struct, eq=False, kw_only=True):
    """State of the client task."""

    addresses: tuple[Address, ...]
    watch: Callable[[Changes], bool]
    connection: int = 0
    # Index of the assigned replica in `addresses`.
    address_index: int = -1
    # The connected replica; after a redirect to the leader, it may not be the assigned one.
    address: Address = Address("")
    socket: DealerSocket | None = None
    last_received_s: float = 0.0
    # When the connection last accepted a message.
    last_accepted_s: float = 0.0
    connected_s: float = 0.0
    # When the connected replica last knew a leader.
    leader_known_s: float = 0.0
    # As `leader_known_s`, but for any replica.
    last_available_s: float = 0.0
    is_lost: bool = False
    sequence: int = 0
    cached: CachedConfiguration = CachedConfiguration()
    # The process of the replica that `membership_version` refers to.
    replica: Incarnation = Incarnation("")
    membership_version: int = 0
    suspects_version: int = 0
    evacuations_version: int = UNKNOWN_VERSION
    pending: dict[CommandId, PendingCommand] = field(default_factory=dict)
    pending_status: dict[int, asyncio.Future[StatusReport]] = field(default_factory=dict)


class ControlClient(Struct, frozen=True):
    """Handle through which other tasks send messages to the client task."""

    inbox: Inbox[ToClient]

    async def propose(
        self, command: Command, timeout_s: float, command_id: CommandId | None = None
    ) -> Result:
        """Execute a command once and return its result.

        Raises ControlUnavailable after `timeout_s` seconds (at most 20); the command may have taken
        effect, or may still do so.
        """
        reply: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        effective_id = CommandId(uuid4().hex) if command_id is None else command_id
        try:
            async with asyncio.timeout(min(timeout_s, MAX_TIMEOUT_S)):
                await self.inbox.put(Submit(effective_id, command, reply))
                return await reply
        except TimeoutError:
            raise ControlUnavailable(f"no result of {effective_id} within {timeout_s} s") from None

    async def status(self, timeout_s: float) -> StatusReport:
        """Return the status of the connected replica.

        Raises ControlUnavailable after `timeout_s` seconds.
        """
        reply: asyncio.Future[StatusReport] = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(timeout_s):
                await self.inbox.put(RequestStatus(reply))
                return await reply
        except TimeoutError:
            raise ControlUnavailable(f"no status within {timeout_s} s") from None

    def announce(self, message: Announce) -> bool:
        """Send a heartbeat to the connected replica; return False if it was dropped."""
        return self.inbox.offer(message)


def new_client() -> ControlClient:
    """Return a handle to pass to `run_client`."""
    return ControlClient(Inbox(CLIENT_INBOX_MESSAGES))


def _ignore(changes: Changes) -> bool:
    return True


async def run_client(
    client: ControlClient,
    addresses: tuple[Address, ...],
    watch: Callable[[Changes], bool] = _ignore,
) -> None:
    """Own the connection to control until cancelled.

    `watch` receives `Changes`, with configurations of rising revisions only. If it returns False,
    as the `offer` of a full inbox does, the same changes are requested again.
    """
    loop = asyncio.get_running_loop()
    state = ClientState(addresses=addresses, watch=watch)
    poll = asyncio.ensure_future(tick(client.inbox, Poll(), POLL_PERIOD_S))
    state.last_available_s = loop.time()
    _connect_next(state, client.inbox, loop.time())
    try:
        while True:
            for message in await client.inbox.drain():
                _on_message(state, message, client.inbox, loop.time())
    finally:
        poll.cancel()
        if state.socket is not None:
            state.socket.close()


def _on_message(
    state: ClientState, message: ToClient, inbox: Inbox[ToClient], now_s: float
) -> None:
    match message:
        case Poll():
            _poll(state, inbox, now_s)
        case Submit():
            pending = PendingCommand(message.command, message.reply, now_s)
            state.pending[message.command_id] = pending
            _send_command(state, message.command_id, pending, now_s)
        case RequestStatus():
            state.sequence += 1
            state.pending_status[state.sequence] = message.reply
            _send(state, StatusQuery(state.sequence))
        case Announce():
            _send(state, message)
        case Received() if message.connection == state.connection:
            state.last_received_s = now_s
            _on_received(state, message.message, inbox, now_s)


def _poll(state: ClientState, inbox: Inbox[ToClient], now_s: float) -> None:
    if not state.is_lost and now_s - state.last_available_s > LOST_AFTER_S:
        state.is_lost = True
        log(Event.CONTROL_LOST, addresses=state.addresses)
    is_down = now_s - state.last_accepted_s > DOWN_AFTER_S
    is_silent = now_s - state.last_received_s > SILENCE_TIMEOUT_S
    if is_down or is_silent or now_s - state.leader_known_s > NO_LEADER_TIMEOUT_S:
        _connect_next(state, inbox, now_s)
    # The future of a caller that timed out or was cancelled is done.
    state.pending = {key: each for key, each in state.pending.items() if not each.reply.done()}
    for command_id, pending in state.pending.items():
        if now_s >= pending.send_due_s:
            _send_command(state, command_id, pending, now_s)
    state.pending_status = {
        key: each for key, each in state.pending_status.items() if not each.done()
    }
    for sequence in state.pending_status:
        # The first query is lost if the connection is still being opened.
        _send(state, StatusQuery(sequence))
    if _send_watch(state):
        state.last_accepted_s = now_s


def _send_watch(state: ClientState) -> bool:
    state.sequence += 1
    watch = Watch(
        state.sequence,
        state.cached.revision,
        state.replica,
        state.membership_version,
        state.suspects_version,
        state.cached.digest,
        state.evacuations_version,
    )
    return _send(state, watch)


def _send_command(
    state: ClientState, command_id: CommandId, pending: PendingCommand, now_s: float
) -> None:
    # Without a connection the next poll retries.
    if _send(state, Propose(command_id, pending.command)):
        pending.send_due_s = now_s + RESEND_AFTER_S


def _send(state: ClientState, message: Propose | Watch | StatusQuery | Announce) -> bool:
    return state.socket is not None and state.socket.send(encode(message))


def _connect_next(state: ClientState, inbox: Inbox[ToClient], now_s: float) -> None:
    state.address_index = (state.address_index + 1) % len(state.addresses)
    _connect(state, state.addresses[state.address_index], inbox, now_s)


def _connect(state: ClientState, address: Address, inbox: Inbox[ToClient], now_s: float) -> None:
    if state.socket is not None:
        state.socket.close()
    state.connection += 1
    state.address = address
    state.last_received_s = state.last_accepted_s = state.connected_s = state.leader_known_s = now_s
    state.socket = DealerSocket(address, _receiver(state.connection, inbox))
    for pending in state.pending.values():
        pending.send_due_s = now_s


def _receiver(connection: int, inbox: Inbox[ToClient]) -> Callable[[bytes], None]:
    def receive(payload: bytes) -> None:
        try:
            message = decode_from_control(payload)
        except DecodeError:
            return
        inbox.offer(Received(connection, message))

    return receive


def _on_received(
    state: ClientState, message: FromControl, inbox: Inbox[ToClient], now_s: float
) -> None:
    match message:
        case ProposeReply():
            _on_proposed(state, message, inbox, now_s)
        case Changes():
            _on_changes(state, message, inbox, now_s)
        case StatusReport():
            reply = state.pending_status.pop(message.sequence, None)
            if reply is not None and not reply.done():
                reply.set_result(message)


def _on_proposed(
    state: ClientState, message: ProposeReply, inbox: Inbox[ToClient], now_s: float
) -> None:
    result = message.result
    pending = state.pending.get(message.command_id)
    if pending is None:
        return
    if isinstance(result, Failed) and result.code is ResultCode.NOT_LEADER:
        _follow_redirect(state, result.leader, pending, inbox, now_s)
        return
    del state.pending[message.command_id]
    if not pending.reply.done():
        pending.reply.set_result(result)


def _follow_redirect(
    state: ClientState,
    leader: Address | None,
    pending: PendingCommand,
    inbox: Inbox[ToClient],
    now_s: float,
) -> None:
    if leader is not None and leader != state.address:
        _connect(state, leader, inbox, now_s)
    elif now_s - state.connected_s >= POLL_PERIOD_S:
        # A replica that is partitioned from the others never learns of a leader.
        _connect_next(state, inbox, now_s)
    else:
        pending.send_due_s = now_s + POLL_PERIOD_S


def _on_changes(state: ClientState, message: Changes, inbox: Inbox[ToClient], now_s: float) -> None:
    if message.leader is not None:
        state.leader_known_s = now_s
        _record_available(state, now_s)
    is_first = state.cached.revision == NO_REVISION
    _deliver(state, message)
    if is_first:
        _connect_for_first_configuration(state, message, inbox, now_s)


def _record_available(state: ClientState, now_s: float) -> None:
    state.last_available_s = now_s
    if state.is_lost:
        state.is_lost = False
        log(Event.CONTROL_REACHED, address=state.address)


def _deliver(state: ClientState, message: Changes) -> None:
    """Deliver changes, omitting a configuration that is not newer than the one delivered last."""
    cached, message = apply_changes(state.cached, message)
    if not state.watch(message):
        return
    state.cached = cached
    state.replica = message.replica
    state.membership_version = message.membership_version
    state.suspects_version = max(state.suspects_version, message.suspects_version)
    if message.evacuations is not None:
        version = message.evacuations.version
        state.evacuations_version = max(state.evacuations_version, version)


def _connect_for_first_configuration(
    state: ClientState, message: Changes, inbox: Inbox[ToClient], now_s: float
) -> None:
    """Get the first configuration from the leader, then return to the assigned replica.

    Only the leader sends a first configuration; the return spreads the watches over the replicas.
    """
    assigned = state.addresses[state.address_index]
    if state.cached.revision == NO_REVISION:
        if message.leader is not None and message.leader != state.address:
            _connect(state, message.leader, inbox, now_s)
    elif state.address != assigned and not state.pending:
        _connect(state, assigned, inbox, now_s)
