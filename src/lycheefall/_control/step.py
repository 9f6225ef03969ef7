"""Step filter: owns the consensus state and applies batches of messages to it."""

import time
from collections.abc import Callable
from itertools import count

from msgspec import Struct

from lycheefall._control.messages import (
    AwaitResult,
    Proposal,
    ProposalsRejected,
    ReadRejected,
    ReadRequest,
    ReplicaView,
    ToApply,
    ToPublish,
    ToStep,
)
from lycheefall._control.sync import Sync
from lycheefall._core.enums import ReplicaRole
from lycheefall._core.events import Event
from lycheefall._core.ids import Address, ReadId, Term
from lycheefall._core.log import log
from lycheefall._core.messages.consensus import Replica, ReplicaId, ToPeer
from lycheefall._core.pipeline import Inbox
from lycheefall._rules.consensus import replication
from lycheefall._rules.consensus.state import (
    Broadcast,
    Committed,
    Consensus,
    Output,
    Proposals,
    ProposalsRefused,
    Read,
    ReadConfirmed,
    ReadRefused,
    Restore,
    SaveSnapshot,
    Send,
    voters,
)
from lycheefall._rules.consensus.step import step

_NS_PER_MS = 1_000_000


class StepSinks(Struct, frozen=True):
    """Destinations of the outputs of a step."""

    send: Callable[[Replica, ToPeer], None]
    broadcast: Callable[[ToPeer], None]
    apply: Inbox[ToApply]
    publish: Inbox[ToPublish]


class _RoleAndVoters(Struct, frozen=True):
    """The parts of the consensus state whose changes are logged."""

    role: ReplicaRole
    term: Term
    voters: tuple[ReplicaId, ...]


async def run_step(
    state: Consensus,
    inbox: Inbox[ToStep],
    sync: Sync,
    sinks: StepSinks,
    now: Callable[[], float],
) -> None:
    """Own the consensus state: step through a batch, sync it to disk, then emit its outputs."""
    requests: dict[ReadId, ReadRequest] = {}
    read_ids = (ReadId(number) for number in count())
    while True:
        batch = await inbox.drain()
        before = _role_and_voters(state)
        new_requests = {next(read_ids): each for each in batch if isinstance(each, ReadRequest)}
        requests |= new_requests
        outputs, awaited = _step_batch(state, batch, now())
        # Before the outputs, so that the apply filter can answer as soon as it applies a command.
        for await_result in awaited:
            await sinks.apply.put(await_result)
        for read in new_requests:
            outputs += step(state, Read(read), now())[1]
        effects = await sync(outputs)
        _log_role_and_voters(before, _role_and_voters(state))
        _log_snapshots(outputs)
        for output in effects:
            await _emit(state, output, requests, sinks)
        sinks.publish.offer(_view(state, now()))


def _step_batch(
    state: Consensus, batch: list[ToStep], now_s: float
) -> tuple[list[Output], list[AwaitResult]]:
    outputs: list[Output] = []
    proposals: list[Proposal] = []
    for message in batch:
        if isinstance(message, Proposal):
            proposals.append(message)
        elif not isinstance(message, ReadRequest):
            outputs += step(state, message, now_s)[1]
    if proposals:
        commands = tuple(each.submitted for each in proposals)
        outputs += step(state, Proposals(commands, _wall_clock_ms()), now_s)[1]
    return outputs, [AwaitResult(each.peer, each.submitted.command_id) for each in proposals]


def _wall_clock_ms() -> int:
    """Return the wall-clock time; only the leader's timestamps enter the log."""
    return time.time_ns() // _NS_PER_MS


def _role_and_voters(state: Consensus) -> _RoleAndVoters:
    return _RoleAndVoters(state.role, state.term, tuple(each.id for each in voters(state)))


def _log_role_and_voters(before: _RoleAndVoters, after: _RoleAndVoters) -> None:
    if after.role is not before.role:
        log(Event.ROLE_CHANGED, role=after.role.value, before=before.role.value, term=after.term)
    if after.voters != before.voters:
        log(Event.VOTERS_CHANGED, voters=_voter_names(after), before=_voter_names(before))


def _voter_names(current: _RoleAndVoters) -> list[str]:
    # A voter that replaces another one of the same instance differs only by incarnation.
    return [f"{each.instance}/{each.incarnation}" for each in current.voters]


def _log_snapshots(outputs: list[Output]) -> None:
    """Log the saved snapshots; one that is also restored was installed by the leader."""
    installed = {each.snapshot.index for each in outputs if isinstance(each, Restore)}
    for output in outputs:
        if isinstance(output, SaveSnapshot):
            is_installed = output.snapshot.index in installed
            event = Event.SNAPSHOT_INSTALLED if is_installed else Event.SNAPSHOT_TAKEN
            log(event, index=output.snapshot.index, state_bytes=len(output.snapshot.state))


async def _emit(
    state: Consensus,
    output: Output,
    requests: dict[ReadId, ReadRequest],
    sinks: StepSinks,
) -> None:
    match output:
        case Send():
            sinks.send(output.to, output.message)
        case Broadcast():
            sinks.broadcast(output.message)
        case ProposalsRefused():
            await sinks.apply.put(ProposalsRejected(output.command_ids, _leader_address(state)))
        case ReadConfirmed():
            # The apply filter processes its inbox in order, so the answer reflects every commit
            # acknowledged before the request arrived.
            await sinks.apply.put(requests.pop(output.read))
        case ReadRefused():
            request = requests.pop(output.read)
            await sinks.apply.put(ReadRejected(request, _leader_address(state)))
        case Committed() | Restore():
            await sinks.apply.put(output)


def _leader_address(state: Consensus) -> Address | None:
    return None if state.leader is None else state.leader.client_address


def _view(state: Consensus, now_s: float) -> ReplicaView:
    lease_until_s = replication.lease_until_s(state, now_s)
    # A follower counts as fresh for this long after the last message of its leader.
    contact_until_s = state.leader_contact_s + state.timing.presence_s
    return ReplicaView(
        state.role,
        state.term,
        state.commit_index,
        _leader_address(state),
        tuple(each.id.instance for each in voters(state)),
        max(lease_until_s, contact_until_s) if state.is_commit_current else float("-inf"),
        lease_until_s if state.is_commit_current else float("-inf"),
    )
