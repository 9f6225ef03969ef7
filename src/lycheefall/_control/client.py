"""Control client: one owner task with one connection to a replica at a time."""

import asyncio
from collections.abc import Callable
from uuid import uuid4

from msgspec import Struct, field

from lycheefall._control.held import Held, resolve
from lycheefall._core.codes import ResultCode
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
    Proposed,
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
# A connection without an answer for this long is replaced by one to the next address.
SILENT_AFTER_S = 1.0
# A replica that knows no leader for this long is left for another one.
STALE_AFTER_S = 1.0
# A connection that takes no message for this long is down, which is found before the silence.
DOWN_AFTER_S = 0.25
# A proposal without a result is sent again after this time, with the same command id.
RESEND_AFTER_S = 0.5
# Longer ones could be resent after the replicas forgot the result.
MAX_TIMEOUT_S = 20.0
# Control counts as lost after this time without a replica that knows a leader; within it each
# of three addresses has been tried.
LOST_AFTER_S = 3.0
CLIENT_INBOX_MESSAGES = 10_000


class Poll(Struct, frozen=True):
    """Let time pass: poll, resend and replace a silent connection."""


class Submit(Struct, frozen=True):
    """Propose a command and set the reply when its result arrives."""

    command_id: CommandId
    command: Command
    reply: asyncio.Future[Result]


class Ask(Struct, frozen=True):
    """Ask the connected replica for its status."""

    reply: asyncio.Future[StatusReport]


class Received(Struct, frozen=True):
    """A message of the connection with this number."""

    link: int
    message: FromControl


ToClient = Poll | Submit | Ask | Received | Announce


class Pending(Struct, eq=False):
    """A command without a result."""

    command: Command
    reply: asyncio.Future[Result]
    send_due_s: float


class Client(Struct, eq=False, kw_only=True):
    """State of the owner task."""

    addresses: tuple[Address, ...]
    watch: Callable[[Changes], bool]
    link: int = 0
    position: int = -1
    address: Address = Address("")
    end: DealerSocket | None = None
    heard_s: float = 0.0
    # When the connection took the last message.
    taken_s: float = 0.0
    connected_s: float = 0.0
    # When the replica knew a leader last.
    current_s: float = 0.0
    # As `current_s`, but over all connections.
    reached_s: float = 0.0
    is_lost: bool = False
    sequence: int = 0
    held: Held = Held()
    replica: Incarnation = Incarnation("")
    membership_version: int = 0
    suspects_version: int = 0
    pending: dict[CommandId, Pending] = field(default_factory=dict)
    asked: dict[int, asyncio.Future[StatusReport]] = field(default_factory=dict)


class ControlClient(Struct, frozen=True):
    """Handle by which other tasks reach the owner task."""

    inbox: Inbox[ToClient]

    async def propose(
        self, command: Command, timeout_s: float, command_id: CommandId | None = None
    ) -> Result:
        """Have a command carried out once, and return its result.

        Raises ControlUnavailable after `timeout_s` (at most 20 s); the command may then have
        taken effect, or may still do so.
        """
        reply: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        chosen = CommandId(uuid4().hex) if command_id is None else command_id
        try:
            async with asyncio.timeout(min(timeout_s, MAX_TIMEOUT_S)):
                await self.inbox.put(Submit(chosen, command, reply))
                return await reply
        except TimeoutError:
            raise ControlUnavailable(f"no result of {chosen} within {timeout_s} s") from None

    async def status(self, timeout_s: float) -> StatusReport:
        """Return the status of the replica that is connected."""
        reply: asyncio.Future[StatusReport] = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(timeout_s):
                await self.inbox.put(Ask(reply))
                return await reply
        except TimeoutError:
            raise ControlUnavailable(f"no status within {timeout_s} s") from None

    def announce(self, message: Announce) -> bool:
        """Send a heartbeat to the connected replica; return False if it was dropped."""
        return self.inbox.offer(message)


def new_client() -> ControlClient:
    """Return a handle; `run_client` serves it."""
    return ControlClient(Inbox(CLIENT_INBOX_MESSAGES))


def _ignore(changes: Changes) -> bool:
    return True


async def run_client(
    client: ControlClient,
    addresses: tuple[Address, ...],
    watch: Callable[[Changes], bool] = _ignore,
) -> None:
    """Own the connection to control until cancelled.

    `watch` is the `offer` of an inbox or the like. It gets `Changes` with configurations of
    rising revisions only; those that it refuses are asked for again.
    """
    loop = asyncio.get_running_loop()
    state = Client(addresses=addresses, watch=watch)
    poll = asyncio.ensure_future(tick(client.inbox, Poll(), POLL_PERIOD_S))
    state.reached_s = loop.time()
    _connect_next(state, client.inbox, loop.time())
    try:
        while True:
            for message in await client.inbox.drain():
                _take(state, message, client.inbox, loop.time())
    finally:
        poll.cancel()
        if state.end is not None:
            state.end.close()


def _take(state: Client, message: ToClient, inbox: Inbox[ToClient], now_s: float) -> None:
    match message:
        case Poll():
            _poll(state, inbox, now_s)
        case Submit():
            pending = Pending(message.command, message.reply, now_s)
            state.pending[message.command_id] = pending
            _send_command(state, message.command_id, pending, now_s)
        case Ask():
            state.sequence += 1
            state.asked[state.sequence] = message.reply
            _send(state, StatusQuery(state.sequence))
        case Announce():
            _send(state, message)
        case Received() if message.link == state.link:
            state.heard_s = now_s
            _on_received(state, message.message, inbox, now_s)


def _poll(state: Client, inbox: Inbox[ToClient], now_s: float) -> None:
    if not state.is_lost and now_s - state.reached_s > LOST_AFTER_S:
        state.is_lost = True
        log(Event.CONTROL_LOST, addresses=state.addresses)
    is_down = now_s - state.taken_s > DOWN_AFTER_S
    is_silent = now_s - state.heard_s > SILENT_AFTER_S
    if is_down or is_silent or now_s - state.current_s > STALE_AFTER_S:
        _connect_next(state, inbox, now_s)
    # The reply of a caller that gave up is cancelled.
    state.pending = {key: each for key, each in state.pending.items() if not each.reply.done()}
    for command_id, pending in state.pending.items():
        if now_s >= pending.send_due_s:
            _send_command(state, command_id, pending, now_s)
    state.asked = {key: each for key, each in state.asked.items() if not each.done()}
    for sequence in state.asked:
        # The first one is lost while the connection is being opened.
        _send(state, StatusQuery(sequence))
    if _send_watch(state):
        state.taken_s = now_s


def _send_watch(state: Client) -> bool:
    state.sequence += 1
    watch = Watch(
        state.sequence,
        state.held.revision,
        state.replica,
        state.membership_version,
        state.suspects_version,
        state.held.digest,
    )
    return _send(state, watch)


def _send_command(state: Client, command_id: CommandId, pending: Pending, now_s: float) -> None:
    # Without a connection it is tried again at the next poll.
    if _send(state, Propose(command_id, pending.command)):
        pending.send_due_s = now_s + RESEND_AFTER_S


def _send(state: Client, message: Propose | Watch | StatusQuery | Announce) -> bool:
    return state.end is not None and state.end.send(encode(message))


def _connect_next(state: Client, inbox: Inbox[ToClient], now_s: float) -> None:
    state.position = (state.position + 1) % len(state.addresses)
    _connect(state, state.addresses[state.position], inbox, now_s)


def _connect(state: Client, address: Address, inbox: Inbox[ToClient], now_s: float) -> None:
    if state.end is not None:
        state.end.close()
    state.link += 1
    state.address = address
    state.heard_s = state.taken_s = state.connected_s = state.current_s = now_s
    state.end = DealerSocket(address, _receiver(state.link, inbox))
    for pending in state.pending.values():
        pending.send_due_s = now_s


def _receiver(link: int, inbox: Inbox[ToClient]) -> Callable[[bytes], None]:
    def receive(payload: bytes) -> None:
        try:
            message = decode_from_control(payload)
        except DecodeError:
            return
        inbox.offer(Received(link, message))

    return receive


def _on_received(state: Client, message: FromControl, inbox: Inbox[ToClient], now_s: float) -> None:
    match message:
        case Proposed():
            _on_proposed(state, message, inbox, now_s)
        case Changes():
            _on_changes(state, message, inbox, now_s)
        case StatusReport():
            reply = state.asked.pop(message.sequence, None)
            if reply is not None and not reply.done():
                reply.set_result(message)


def _on_proposed(state: Client, message: Proposed, inbox: Inbox[ToClient], now_s: float) -> None:
    result = message.result
    pending = state.pending.get(message.command_id)
    if pending is None:
        return
    if isinstance(result, Failed) and result.code is ResultCode.NOT_LEADER:
        _follow_hint(state, result.leader, pending, inbox, now_s)
        return
    del state.pending[message.command_id]
    if not pending.reply.done():
        pending.reply.set_result(result)


def _follow_hint(
    state: Client,
    leader: Address | None,
    pending: Pending,
    inbox: Inbox[ToClient],
    now_s: float,
) -> None:
    if leader is not None and leader != state.address:
        _connect(state, leader, inbox, now_s)
    elif now_s - state.connected_s >= POLL_PERIOD_S:
        # A replica that is cut off from the others never learns of a leader.
        _connect_next(state, inbox, now_s)
    else:
        pending.send_due_s = now_s + POLL_PERIOD_S


def _on_changes(state: Client, message: Changes, inbox: Inbox[ToClient], now_s: float) -> None:
    if message.leader is not None:
        state.current_s = now_s
        _note_reached(state, now_s)
    is_first = state.held.revision == NO_REVISION
    _deliver(state, message)
    if is_first:
        _move_for_first_copy(state, message, inbox, now_s)


def _note_reached(state: Client, now_s: float) -> None:
    state.reached_s = now_s
    if state.is_lost:
        state.is_lost = False
        log(Event.CONTROL_REACHED, address=state.address)


def _deliver(state: Client, message: Changes) -> None:
    """Deliver changes, without a configuration that is older than the one delivered last."""
    held, message = resolve(state.held, message)
    if not state.watch(message):
        return
    state.held = held
    state.replica = message.replica
    state.membership_version = message.membership_version
    state.suspects_version = max(state.suspects_version, message.suspects_version)


def _move_for_first_copy(
    state: Client, message: Changes, inbox: Inbox[ToClient], now_s: float
) -> None:
    """Go to the leader for the first copy and then back, so that watches are spread."""
    home = state.addresses[state.position]
    if state.held.revision == NO_REVISION:
        if message.leader is not None and message.leader != state.address:
            _connect(state, message.leader, inbox, now_s)
    elif state.address != home and not state.pending:
        _connect(state, home, inbox, now_s)
