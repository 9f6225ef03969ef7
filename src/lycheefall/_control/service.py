"""A control replica: receive | step | sync | apply | publish.

receive decodes the messages of clients, step runs Raft, sync persists its durable outputs, apply
executes committed commands and publish answers watches. coordination runs the group coordinators.
"""

import asyncio
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from random import SystemRandom
from uuid import uuid4

from msgspec import Struct

from lycheefall._control import peer_links, receive
from lycheefall._control.apply import (
    ApplySinks,
    ApplyState,
    FromStateMachine,
    restore_snapshot,
    run_apply,
    view_of,
)
from lycheefall._control.coordination import run_coordination
from lycheefall._control.messages import (
    ReplicaView,
    ToApply,
    ToCoordination,
    ToPublish,
    ToStep,
)
from lycheefall._control.peer_links import PeerLinks
from lycheefall._control.publish import PublishState, run_publish, update_applied
from lycheefall._control.settings import ControlSettings
from lycheefall._control.step import StepSinks, run_step
from lycheefall._control.storage import LoadedState, close_storage, open_storage
from lycheefall._control.sync import Sync, sync_filter
from lycheefall._core.events import Event
from lycheefall._core.exceptions import DiskFull, LogDamaged
from lycheefall._core.ids import Address, Incarnation
from lycheefall._core.log import log
from lycheefall._core.messages.consensus import PeerMessage, Replica
from lycheefall._core.messages.control import FromControl, ProposeReply
from lycheefall._core.messages.groups import CommittedEpochs, FromReplica
from lycheefall._core.messages.relay import PeerUpdate
from lycheefall._core.pipeline import Inbox, tick
from lycheefall._operate.metrics import IncrementCounter, Metrics
from lycheefall._rules.consensus.state import Consensus, Tick
from lycheefall._rules.consensus.step import initial
from lycheefall._rules.replicated import machine
from lycheefall._rules.replicated.revisions import Parse

STEP_INBOX_MESSAGES = 10_000
APPLY_INBOX_MESSAGES = 10_000
PUBLISH_INBOX_MESSAGES = 10_000
COORDINATION_INBOX_MESSAGES = 10_000
TICK_PERIOD_S = 0.025
METRICS_PREFIX = "lycheefall.control"
_SEED_BITS = 64


Answer = Callable[[bytes, FromControl | FromReplica], None]


class _Inboxes(Struct, frozen=True):
    step: Inbox[ToStep]
    apply: Inbox[ToApply]
    publish: Inbox[ToPublish]
    coordination: Inbox[ToCoordination]


async def run_control(settings: ControlSettings, parse: Parse) -> None:
    """Run a replica until cancelled; raise LycheefallError on an unrecoverable failure."""
    try:
        await _run_with_storage(settings, parse)
    except LogDamaged as error:
        log(Event.LOG_DAMAGED, code=int(error.code), detail=error.detail)
        raise
    except DiskFull as error:
        log(Event.DISK_FULL, code=int(error.code), detail=error.detail)
        raise


async def _run_with_storage(settings: ControlSettings, parse: Parse) -> None:
    loop = asyncio.get_running_loop()
    with ThreadPoolExecutor(1, "sync") as worker:
        storage, loaded = await loop.run_in_executor(
            worker, open_storage, settings.data_folder, settings.instance
        )
        if loaded.cut_bytes:
            log(Event.LOG_TAIL_CUT, cut_bytes=loaded.cut_bytes)
        try:
            sync = sync_filter(storage, worker)
            await _run_filters(settings, parse, loaded, sync)
        finally:
            # Shut down the worker first, since it may still write to the storage.
            worker.shutdown()
            close_storage(storage)


async def _run_filters(
    settings: ControlSettings, parse: Parse, loaded: LoadedState, sync: Sync
) -> None:
    loop = asyncio.get_running_loop()
    inboxes = _Inboxes(
        Inbox(STEP_INBOX_MESSAGES),
        Inbox(APPLY_INBOX_MESSAGES),
        Inbox(PUBLISH_INBOX_MESSAGES),
        Inbox(COORDINATION_INBOX_MESSAGES),
    )
    consensus = _consensus(settings, loaded, loop.time())
    applied = _apply_state(settings, parse, loaded)
    published = _publish_state(settings, consensus, applied)
    voter_addresses = {each.instance: each.peer_address for each in settings.voters}
    peers = PeerLinks(instance=settings.instance, voter_addresses=voter_addresses, now=loop.time)
    listener = receive.ClientListener()
    send = partial(peer_links.send_to, peers)
    broadcast = partial(peer_links.broadcast, peers)
    metrics = Metrics(settings.statsd, METRICS_PREFIX)
    answer = _count_results(partial(receive.answer, listener), metrics.count)
    step_sinks = StepSinks(send, broadcast, inboxes.apply, inboxes.publish)
    apply_sinks = ApplySinks(_to_client(answer), inboxes.step, inboxes.publish)
    receive.open_listener(
        listener, settings.client_listen, inboxes.step, inboxes.publish, inboxes.coordination
    )
    try:
        peer_links.open_links(peers, settings.peer_listen, partial(_from_peer, inboxes))
        settings.on_ready()
        await _run_all(
            run_step(consensus, inboxes.step, sync, step_sinks, loop.time),
            run_apply(applied, inboxes.apply, apply_sinks),
            run_publish(published, inboxes.publish, answer, loop.time),
            peer_links.run_links(peers),
            run_coordination(
                inboxes.coordination, _client_addresses(settings), answer, settings.plan_period_s
            ),
            tick(inboxes.step, Tick(), TICK_PERIOD_S),
            metrics.run(),
        )
    finally:
        receive.close_listener(listener)
        peer_links.close_links(peers)


async def _run_all(*filters: Coroutine[None, None, None]) -> None:
    """Run the filters until the first one ends, and raise its error if it failed."""
    tasks = [asyncio.ensure_future(each) for each in filters]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for each in done:
            each.result()
    finally:
        for each in tasks:
            each.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _from_peer(inboxes: _Inboxes, message: PeerMessage | PeerUpdate) -> None:
    """Pass on a message of another replica, except updates that registries exchange."""
    if not isinstance(message, PeerUpdate):
        inboxes.step.offer(message)


def _to_client(answer: Answer) -> Callable[[bytes, FromStateMachine], None]:
    """Return an `answer` for the apply filter; only a registry requests the newest file."""

    def to_client(peer: bytes, message: FromStateMachine) -> None:
        if isinstance(message, ProposeReply | CommittedEpochs):
            answer(peer, message)

    return to_client


def _count_results(answer: Answer, count: IncrementCounter) -> Answer:
    """Return an `answer` that also counts the results of commands by kind and code."""

    def answer_and_count(peer: bytes, message: FromControl | FromReplica) -> None:
        if isinstance(message, ProposeReply):
            kind = type(message.result).__name__.removesuffix("Result").lower()
            count(f"results.{kind}.{int(message.result.code)}", 1)
        answer(peer, message)

    return answer_and_count


def _client_addresses(settings: ControlSettings) -> tuple[Address, ...]:
    """Return the client addresses of the replicas, this one first."""
    others = [each for each in settings.voters if each.instance != settings.instance]
    return (settings.client_listen, *(each.client_address for each in others))


def _consensus(settings: ControlSettings, loaded: LoadedState, now_s: float) -> Consensus:
    replica = Replica(loaded.identity, settings.peer_listen, settings.client_listen)
    return initial(
        replica,
        tuple(each.instance for each in settings.voters),
        SystemRandom().getrandbits(_SEED_BITS),
        now_s,
        settings.timing,
        loaded.term,
        loaded.vote,
        loaded.snapshot,
        loaded.entries,
    )


def _apply_state(settings: ControlSettings, parse: Parse, loaded: LoadedState) -> ApplyState:
    applied = ApplyState(
        machine=machine.initial(),
        apply=machine.applier(parse),
        snapshot_entries=settings.snapshot_entries,
    )
    if loaded.snapshot is not None:
        restore_snapshot(applied, loaded.snapshot)
    return applied


def _publish_state(
    settings: ControlSettings, consensus: Consensus, applied: ApplyState
) -> PublishState:
    expired_s = float("-inf")
    view = ReplicaView(
        consensus.role, consensus.term, consensus.commit_index, None, (), expired_s, expired_s
    )
    applied_view = view_of(applied)
    published = PublishState(
        instance=settings.instance,
        process=Incarnation(uuid4().hex),
        view=view,
        applied=applied_view,
    )
    update_applied(published, applied_view)
    return published
