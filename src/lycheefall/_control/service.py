"""A control replica: receive | step | sync | apply | publish."""

import asyncio
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from random import SystemRandom
from uuid import uuid4

from msgspec import Struct

from lycheefall._control import peer_links, receive
from lycheefall._control.apply import (
    Applied,
    ApplyOutlets,
    FromStateMachine,
    restored,
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
from lycheefall._control.publish import Published, run_publish, take_applied
from lycheefall._control.settings import ControlSettings
from lycheefall._control.step import StepOutlets, run_step
from lycheefall._control.storage import Loaded, close_storage, open_storage
from lycheefall._control.sync import Sync, syncing
from lycheefall._core.events import Event
from lycheefall._core.exceptions import DiskFull, LogDamaged
from lycheefall._core.ids import Address, Incarnation
from lycheefall._core.log import log
from lycheefall._core.messages.consensus import PeerMessage, Replica
from lycheefall._core.messages.control import FromControl, Proposed
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
    """Run a replica until it is cancelled; raise LycheefallError if it can't go on."""
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
            sync = syncing(storage, worker)
            await _run_filters(settings, parse, loaded, sync)
        finally:
            # The worker ends first, since it may still write.
            worker.shutdown()
            close_storage(storage)


async def _run_filters(settings: ControlSettings, parse: Parse, loaded: Loaded, sync: Sync) -> None:
    loop = asyncio.get_running_loop()
    inboxes = _Inboxes(
        Inbox(STEP_INBOX_MESSAGES),
        Inbox(APPLY_INBOX_MESSAGES),
        Inbox(PUBLISH_INBOX_MESSAGES),
        Inbox(COORDINATION_INBOX_MESSAGES),
    )
    consensus = _consensus(settings, loaded, loop.time())
    applied = _applied(settings, parse, loaded)
    published = _published(settings, consensus, applied)
    routes = {each.instance: each.peer_address for each in settings.voters}
    peers = PeerLinks(instance=settings.instance, routes=routes, now=loop.time)
    sockets = receive.Sockets()
    send = partial(peer_links.send_to, peers)
    greet = partial(peer_links.greet, peers)
    metrics = Metrics(settings.statsd, METRICS_PREFIX)
    answer = _counting(partial(receive.answer, sockets), metrics.count)
    step_outlets = StepOutlets(send, greet, inboxes.apply, inboxes.publish)
    apply_outlets = ApplyOutlets(_to_client(answer), inboxes.step, inboxes.publish)
    receive.open_sockets(
        sockets, settings.client_listen, inboxes.step, inboxes.publish, inboxes.coordination
    )
    try:
        peer_links.open_links(peers, settings.peer_listen, partial(_from_peer, inboxes))
        settings.on_ready()
        await _run_all(
            run_step(consensus, inboxes.step, sync, step_outlets, loop.time),
            run_apply(applied, inboxes.apply, apply_outlets),
            run_publish(published, inboxes.publish, answer, loop.time),
            peer_links.run_links(peers),
            run_coordination(
                inboxes.coordination, _client_addresses(settings), answer, settings.plan_period_s
            ),
            tick(inboxes.step, Tick(), TICK_PERIOD_S),
            metrics.run(),
        )
    finally:
        receive.close_sockets(sockets)
        peer_links.close_links(peers)


async def _run_all(*filters: Coroutine[None, None, None]) -> None:
    """Run the filters until the first one fails, and raise its error."""
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
    if not isinstance(message, PeerUpdate):
        inboxes.step.offer(message)


def _to_client(answer: Answer) -> Callable[[bytes, FromStateMachine], None]:
    """Return an `answer` of the state machine; clients don't ask for the newest file."""

    def to_client(peer: bytes, message: FromStateMachine) -> None:
        if isinstance(message, Proposed | CommittedEpochs):
            answer(peer, message)

    return to_client


def _counting(answer: Answer, count: IncrementCounter) -> Answer:
    """Return an `answer` that also counts the results of commands by their code."""

    def counted(peer: bytes, message: FromControl | FromReplica) -> None:
        if isinstance(message, Proposed):
            kind = type(message.result).__name__.removesuffix("Result").lower()
            count(f"results.{kind}.{int(message.result.code)}", 1)
        answer(peer, message)

    return counted


def _client_addresses(settings: ControlSettings) -> tuple[Address, ...]:
    """Return where the replicas serve clients, this one first."""
    others = [each for each in settings.voters if each.instance != settings.instance]
    return (settings.client_listen, *(each.client_address for each in others))


def _consensus(settings: ControlSettings, loaded: Loaded, now_s: float) -> Consensus:
    me = Replica(loaded.identity, settings.peer_listen, settings.client_listen)
    return initial(
        me,
        tuple(each.instance for each in settings.voters),
        SystemRandom().getrandbits(_SEED_BITS),
        now_s,
        settings.timing,
        loaded.term,
        loaded.vote,
        loaded.snapshot,
        loaded.entries,
    )


def _applied(settings: ControlSettings, parse: Parse, loaded: Loaded) -> Applied:
    applied = Applied(
        machine=machine.initial(),
        apply=machine.applier(parse),
        snapshot_entries=settings.snapshot_entries,
    )
    if loaded.snapshot is not None:
        restored(applied, loaded.snapshot)
    return applied


def _published(settings: ControlSettings, consensus: Consensus, applied: Applied) -> Published:
    never_s = float("-inf")
    view = ReplicaView(
        consensus.role, consensus.term, consensus.commit_index, None, (), never_s, never_s
    )
    held = view_of(applied)
    published = Published(
        instance=settings.instance,
        process=Incarnation(uuid4().hex),
        view=view,
        applied=held,
    )
    take_applied(published, held)
    return published
