"""Client of the replicated state machine for the HTTP API."""

from asyncio import Future, get_running_loop
from itertools import count

from msgspec import Struct, field

from lycheefall._control.apply import FromStateMachine
from lycheefall._control.messages import Proposal, QueryNewestFile, ReadRequest, ToStep
from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import Address, CommandId, Incarnation
from lycheefall._core.messages.consensus import Submitted
from lycheefall._core.messages.control import (
    EvacuationResult,
    Failed,
    ProposeReply,
    SetEvacuation,
    StoreFile,
    StoreResult,
)
from lycheefall._core.pipeline import Inbox
from lycheefall._rules.replicated.newest_file import NewestFile


class NotLeader(Struct, frozen=True):
    """This replica is not the leader; names the leader if it is known."""

    leader: Address | None


class StateClient(Struct, eq=False):
    """Pending requests to the state machine, by token."""

    incarnation: Incarnation
    step: Inbox[ToStep]
    pending: dict[bytes, Future[FromStateMachine]] = field(default_factory=dict)
    tokens: "count[int]" = field(default_factory=count)


def resolve(state: StateClient, token: bytes, message: FromStateMachine) -> None:
    """Resolve the pending request of the token, if there is one."""
    reply = state.pending.pop(token, None)
    if reply is not None and not reply.done():
        reply.set_result(message)


async def store_file(state: StateClient, command: StoreFile) -> StoreResult | NotLeader:
    """Commit a file, or return the leader.

    The file may be stored even if the caller is cancelled.
    """
    token = _next_token(state)
    submitted = Submitted(CommandId(f"{state.incarnation}/{token.decode()}"), command)
    match await _request(state, token, Proposal(token, submitted)):
        case ProposeReply(result=StoreResult() as stored):
            return stored
        case ProposeReply(result=Failed(code=ResultCode.NOT_LEADER, leader=leader)):
            return NotLeader(leader)
    return NotLeader(None)


async def set_evacuation(
    state: StateClient, command: SetEvacuation
) -> EvacuationResult | Failed | NotLeader:
    """Commit an evacuation or its withdrawal, or return the leader.

    The order may be committed even if the caller is cancelled.
    """
    token = _next_token(state)
    submitted = Submitted(CommandId(f"{state.incarnation}/{token.decode()}"), command)
    match await _request(state, token, Proposal(token, submitted)):
        case ProposeReply(result=EvacuationResult() as stored):
            return stored
        case ProposeReply(result=Failed(code=ResultCode.NOT_LEADER, leader=leader)):
            return NotLeader(leader)
        case ProposeReply(result=Failed() as failed):
            return failed
    return NotLeader(None)


async def read_file(state: StateClient) -> NewestFile | NotLeader:
    """Return the newest file, or the leader.

    The file is at least as new as any that was acknowledged before the call.
    """
    token = _next_token(state)
    match await _request(state, token, ReadRequest(token, QueryNewestFile())):
        case NewestFile() as newest:
            return newest
        case Failed(leader=leader):
            return NotLeader(leader)
    return NotLeader(None)


def _next_token(state: StateClient) -> bytes:
    return str(next(state.tokens)).encode()


async def _request(
    state: StateClient, token: bytes, message: Proposal | ReadRequest
) -> FromStateMachine:
    reply: Future[FromStateMachine] = get_running_loop().create_future()
    state.pending[token] = reply
    try:
        if not state.step.offer(message):
            return Failed(ResultCode.OVERLOADED, "the replica is busy")
        return await reply
    finally:
        state.pending.pop(token, None)
