"""Filter that owns the consensus state and runs the rule over batches of messages."""

import time
from collections.abc import Callable

from msgspec import Struct

from lycheefall._control.messages import (
    Expect,
    Proposal,
    Reject,
    ReplicaView,
    ToApply,
    ToPublish,
    ToStep,
)
from lycheefall._control.sync import Sync
from lycheefall._core.messages.consensus import Replica, ToPeer
from lycheefall._core.pipeline import Inbox
from lycheefall._rules.consensus import replication
from lycheefall._rules.consensus.state import (
    Committed,
    Consensus,
    Greet,
    Output,
    Proposals,
    Refused,
    Restore,
    Send,
    voters,
)
from lycheefall._rules.consensus.step import step

_MS_PER_S = 1_000


class StepOutlets(Struct, frozen=True):
    """Where the results of a step go."""

    send: Callable[[Replica, ToPeer], None]
    greet: Callable[[ToPeer], None]
    apply: Inbox[ToApply]
    publish: Inbox[ToPublish]


async def run_step(
    state: Consensus,
    inbox: Inbox[ToStep],
    sync: Sync,
    outlets: StepOutlets,
    now: Callable[[], float],
) -> None:
    """Own the consensus state: step over a batch, sync it, then let its outputs take effect."""
    while True:
        batch = await inbox.drain()
        outputs, expected = _step_batch(state, batch, now())
        for expect in expected:
            await outlets.apply.put(expect)
        for output in await sync(outputs):
            await _emit(state, output, outlets)
        outlets.publish.offer(_view(state, now()))


def _step_batch(
    state: Consensus, batch: list[ToStep], now_s: float
) -> tuple[list[Output], list[Expect]]:
    outputs: list[Output] = []
    proposals: list[Proposal] = []
    for message in batch:
        if isinstance(message, Proposal):
            proposals.append(message)
        else:
            outputs += step(state, message, now_s)[1]
    if proposals:
        commands = tuple(each.submitted for each in proposals)
        outputs += step(state, Proposals(commands, _wall_clock_ms()), now_s)[1]
    return outputs, [Expect(each.peer, each.submitted.command_id) for each in proposals]


def _wall_clock_ms() -> int:
    """Read the wall clock; only the leader's reading enters the log."""
    return int(time.time() * _MS_PER_S)


async def _emit(state: Consensus, output: Output, outlets: StepOutlets) -> None:
    match output:
        case Send():
            outlets.send(output.to, output.message)
        case Greet():
            outlets.greet(output.message)
        case Refused():
            leader = None if state.leader is None else state.leader.client_address
            await outlets.apply.put(Reject(output.command_ids, leader))
        case Committed() | Restore():
            await outlets.apply.put(output)


def _view(state: Consensus, now_s: float) -> ReplicaView:
    lease_until_s = replication.lease_until_s(state, now_s)
    heard_until_s = state.heard_s + state.timing.presence_s
    return ReplicaView(
        state.role,
        state.term,
        state.commit,
        None if state.leader is None else state.leader.client_address,
        tuple(each.id.instance for each in voters(state)),
        max(lease_until_s, heard_until_s) if state.settled else float("-inf"),
        lease_until_s if state.settled else float("-inf"),
    )
