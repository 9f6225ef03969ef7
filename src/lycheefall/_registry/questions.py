"""Commands and questions of HTTP calls to the replicated state, and their answers."""

from asyncio import Future, get_running_loop
from itertools import count

from msgspec import Struct, field

from lycheefall._control.apply import FromStateMachine
from lycheefall._control.messages import Proposal, QueryNewestFile, ReadRequest, ToStep
from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import Address, CommandId, Incarnation
from lycheefall._core.messages.consensus import Submitted
from lycheefall._core.messages.control import Failed, Proposed, StoreFile, StoreResult
from lycheefall._core.pipeline import Inbox
from lycheefall._rules.replicated.newest_file import NewestFile


class NotLeading(Struct, frozen=True):
    """Tell that another replica has to be asked, and which, if it is known."""

    leader: Address | None


class Questions(Struct, eq=False):
    """Calls that wait for the state machine."""

    process: Incarnation
    step: Inbox[ToStep]
    waiting: dict[bytes, Future[FromStateMachine]] = field(default_factory=dict)
    numbers: "count[int]" = field(default_factory=count)


def take_answer(state: Questions, token: bytes, message: FromStateMachine) -> None:
    """Hand an answer to the call that waits for it, if it still does."""
    waiting = state.waiting.pop(token, None)
    if waiting is not None and not waiting.done():
        waiting.set_result(message)


async def store_file(state: Questions, command: StoreFile) -> StoreResult | NotLeading:
    """Commit a file, or tell who leads; a caller that gives up may have stored it all the same."""
    token = _token(state)
    submitted = Submitted(CommandId(f"{state.process}/{token.decode()}"), command)
    match await _ask(state, token, Proposal(token, submitted)):
        case Proposed(result=StoreResult() as stored):
            return stored
        case Proposed(result=Failed(code=ResultCode.NOT_LEADER, leader=leader)):
            return NotLeading(leader)
    return NotLeading(None)


async def read_file(state: Questions) -> NewestFile | NotLeading:
    """Return the newest file, with each one that was acknowledged before the call."""
    token = _token(state)
    match await _ask(state, token, ReadRequest(token, QueryNewestFile())):
        case NewestFile() as held:
            return held
        case Failed(leader=leader):
            return NotLeading(leader)
    return NotLeading(None)


def _token(state: Questions) -> bytes:
    return str(next(state.numbers)).encode()


async def _ask(state: Questions, token: bytes, message: Proposal | ReadRequest) -> FromStateMachine:
    waiting: Future[FromStateMachine] = get_running_loop().create_future()
    state.waiting[token] = waiting
    try:
        if not state.step.offer(message):
            return Failed(ResultCode.OVERLOADED, "the replica is busy")
        return await waiting
    finally:
        state.waiting.pop(token, None)
