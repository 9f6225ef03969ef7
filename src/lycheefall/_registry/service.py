"""Run a registry: a control replica that serves the HTTP API of the platform.

receive > step > sync > apply > registrar, with HTTP servers for operators, upstreams and callers.
"""

import asyncio
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from random import SystemRandom

from msgspec import Struct

from lycheefall._control import peer_links
from lycheefall._control.apply import ApplySinks, ApplyState, restore_snapshot, run_apply
from lycheefall._control.messages import ClientMessage, ToApply, ToPublish, ToStep
from lycheefall._control.peer_links import PeerLinks
from lycheefall._control.step import StepSinks, run_step
from lycheefall._control.storage import LoadedState, close_storage, open_storage
from lycheefall._control.sync import Sync, sync_filter
from lycheefall._core.configuration import Configuration
from lycheefall._core.events import Event
from lycheefall._core.ids import Address, InstanceId, Revision
from lycheefall._core.log import log
from lycheefall._core.messages.consensus import PeerMessage, Replica
from lycheefall._core.messages.relay import PeerUpdate, ToRelay
from lycheefall._core.pipeline import Inbox, tick
from lycheefall._core.process import new_incarnation, run_until
from lycheefall._operate.process_watch import run_watch
from lycheefall._registry.http_api import (
    LONGEST_CALL_S,
    ApiContext,
    control_api,
    directory_api,
    handler,
)
from lycheefall._registry.known_evacuations import KnownEvacuations
from lycheefall._registry.messages import FromEntry, RegistrarTick, ToRegistrar
from lycheefall._registry.registrar import REGISTRAR_TICK_PERIOD_S, Registrar, run_registrar
from lycheefall._registry.settings import (
    RETRY_FULL_DISK_S,
    SNAPSHOT_ENTRIES,
    RegistrySettings,
)
from lycheefall._registry.state_client import StateClient, resolve
from lycheefall._rules import planned_stop
from lycheefall._rules.consensus.state import Consensus, Tick
from lycheefall._rules.consensus.step import initial
from lycheefall._rules.replicated import machine
from lycheefall._wire.codec import DecodeError, encode
from lycheefall._wire.http_server import (
    HttpLimits,
    HttpServer,
    Intake,
    close_server,
    finish_requests,
    has_requests,
    new_intake,
    open_server,
    stop_accepting,
    unsent_bytes,
)
from lycheefall._wire.relay_codec import decode_to_registry
from lycheefall._wire.zmq_sockets import RouterSocket

# Several times what the sockets deliver in one turn of the event loop. Entries and replicas repeat
# the messages that are dropped when an inbox is full.
INBOX_MESSAGES = 2_000
CONSENSUS_TICK_PERIOD_S = 0.05
METRICS_DELAY_S = 2.0
_SEED_BITS = 64
_MAX_FILE_BYTES = 33_554_432
_HTTP_LIMITS = HttpLimits(body_bytes=_MAX_FILE_BYTES)


class _Inboxes(Struct, frozen=True):
    step: Inbox[ToStep]
    apply: Inbox[ToApply]
    registrar: Inbox[ToRegistrar]
    # Views that the step and apply filters publish to the registrar.
    views: Inbox[ToPublish]


async def run_registry(settings: RegistrySettings, stop: asyncio.Event) -> None:
    """Run a replica until the event is set; raise LycheefallError if it fails."""
    loop = asyncio.get_running_loop()
    with ThreadPoolExecutor(1, "sync") as worker:
        storage, loaded = await loop.run_in_executor(
            worker, open_storage, settings.data_folder, settings.instance
        )
        if loaded.cut_bytes:
            log(Event.LOG_TAIL_CUT, cut_bytes=loaded.cut_bytes)
        try:
            sync = sync_filter(storage, worker, RETRY_FULL_DISK_S)
            await _run_filters(settings, loaded, sync, stop)
        finally:
            # The worker is stopped first because it may still be writing.
            worker.shutdown()
            close_storage(storage)


async def _run_filters(
    settings: RegistrySettings, loaded: LoadedState, sync: Sync, stop: asyncio.Event
) -> None:
    now = asyncio.get_running_loop().time
    registrar_inbox: Inbox[ToRegistrar] = Inbox(INBOX_MESSAGES)
    inboxes = _Inboxes(
        Inbox(INBOX_MESSAGES), Inbox(INBOX_MESSAGES), registrar_inbox, Inbox(INBOX_MESSAGES)
    )
    consensus = _initial_consensus(settings, loaded, now())
    applied = _initial_apply_state(loaded)
    peers = PeerLinks(
        instance=settings.instance, voter_addresses=_voter_addresses(settings), now=now
    )
    state_client = StateClient(new_incarnation(), inboxes.step)
    registrar = Registrar(
        instance=settings.instance,
        file=applied.machine.newest_file,
        evacuations=KnownEvacuations(applied.machine.evacuations),
    )
    entry_socket = _open_entry_socket(settings, registrar_inbox)
    intake = new_intake(settings.memory_bytes, settings.callers)
    servers = _http_servers(settings, state_client, registrar_inbox, applied, stop.is_set, intake)
    done = asyncio.Event()
    peer_links.open_links(peers, settings.peer_listen, partial(_receive_from_peer, inboxes))
    for server, address in servers:
        await open_server(server, address)
    log(Event.PROCESS_STARTED, role="control", instance=settings.instance)
    try:
        await run_until(
            done,
            _drain(settings, stop, done, [server for server, _ in servers]),
            run_step(
                consensus,
                inboxes.step,
                sync,
                StepSinks(
                    partial(peer_links.send_to, peers),
                    partial(_broadcast, settings, peers),
                    inboxes.apply,
                    inboxes.views,
                ),
                now,
            ),
            run_apply(
                applied,
                inboxes.apply,
                ApplySinks(partial(resolve, state_client), inboxes.step, inboxes.views),
            ),
            _forward_views(inboxes),
            run_registrar(
                registrar,
                registrar_inbox,
                partial(_send_to_entry, entry_socket),
                partial(_send_to_peers, peers, consensus),
                now,
            ),
            peer_links.run_links(peers),
            tick(inboxes.step, Tick(), CONSENSUS_TICK_PERIOD_S),
            tick(registrar_inbox, RegistrarTick(), REGISTRAR_TICK_PERIOD_S),
            run_watch(partial(_sizes, inboxes, registrar, servers), settings.memory_bytes, now),
            *_metrics_tasks(settings, intake),
        )
    finally:
        callers = [caller for server, _ in servers for caller in server.callers]
        unsent = sum(map(unsent_bytes, callers))
        for server, _ in servers:
            await close_server(server)
        entry_socket.close()
        peer_links.close_links(peers)
        log(Event.PROCESS_STOPPED, role="control", callers=len(callers), unsent_bytes=unsent)


async def _drain(
    settings: RegistrySettings, stop: asyncio.Event, done: asyncio.Event, servers: list[HttpServer]
) -> None:
    """Exit after the stop event once the calls in progress are answered.

    The other filters go on meanwhile, because a call may need a commit or the entries. Open
    connections are kept until then, so that their callers get 503 instead of a reset.
    """
    await stop.wait()
    stopped_s = asyncio.get_running_loop().time()
    callers = sum(len(server.callers) for server in servers)
    log(Event.PROCESS_STOPPING, role="control", callers=callers)
    ends_s = planned_stop.control_ends_s(stopped_s, settings.grace_s, LONGEST_CALL_S)
    for server in servers:
        stop_accepting(server)
    await finish_requests(servers, lambda: not any(map(has_requests, servers)), ends_s)
    done.set()


def _sizes(
    inboxes: _Inboxes, registrar: Registrar, servers: list[tuple[HttpServer, Address]]
) -> dict[str, int]:
    """Return the lengths of the inboxes and tables, and the number of connections."""
    return {
        "step_inbox": len(inboxes.step),
        "apply_inbox": len(inboxes.apply),
        "registrar_inbox": len(inboxes.registrar),
        "views_inbox": len(inboxes.views),
        "callers": sum(len(server.callers) for server, _ in servers),
        "entries": len(registrar.entries),
        "upstreams": len(registrar.table.entries),
        "pending_replies": len(registrar.pending_replies),
    }


def _metrics_tasks(
    settings: RegistrySettings, intake: Intake
) -> tuple[Coroutine[None, None, None], ...]:
    listen = settings.metrics_listen
    return () if listen is None else (_run_metrics(listen, intake),)


async def _run_metrics(listen: Address, intake: Intake) -> None:
    """Serve the metrics after a delay, because their library is slow to import."""
    await asyncio.sleep(METRICS_DELAY_S)
    from lycheefall._operate.exposition import run_exposition

    await run_exposition(listen, intake)


def _initial_consensus(settings: RegistrySettings, loaded: LoadedState, now_s: float) -> Consensus:
    me = Replica(loaded.identity, settings.peer_listen, settings.control_listen)
    return initial(
        me,
        settings.initial_voters,
        SystemRandom().getrandbits(_SEED_BITS),
        now_s,
        settings.timing,
        loaded.term,
        loaded.vote,
        loaded.snapshot,
        loaded.entries,
    )


def _reject_files(text: str, revision: Revision) -> Configuration:
    raise AssertionError("the platform stores complete files and never parses them")


def _initial_apply_state(loaded: LoadedState) -> ApplyState:
    applied = ApplyState(
        machine=machine.initial(),
        apply=machine.applier(_reject_files),
        snapshot_entries=SNAPSHOT_ENTRIES,
    )
    if loaded.snapshot is not None:
        restore_snapshot(applied, loaded.snapshot)
    return applied


def _voter_addresses(settings: RegistrySettings) -> dict[InstanceId, Address]:
    return {each: settings.peer_address(each) for each in settings.seeds()}


def _broadcast(settings: RegistrySettings, peers: PeerLinks, message: PeerMessage) -> None:
    """Broadcast to all peers, including seeds added to the settings since the start."""
    for each in settings.seeds():
        peers.voter_addresses.setdefault(each, settings.peer_address(each))
    peer_links.broadcast(peers, message)


def _receive_from_peer(inboxes: _Inboxes, message: PeerMessage | PeerUpdate) -> None:
    if isinstance(message, PeerUpdate):
        inboxes.registrar.offer(message)
    else:
        inboxes.step.offer(message)


def _send_to_peers(peers: PeerLinks, consensus: Consensus, update: PeerUpdate) -> None:
    """Send an update to the other voters and the learners."""
    membership = consensus.log.membership
    if membership is None:
        return
    for each in membership.voters + membership.learners:
        if each.id.instance != peers.instance:
            peer_links.send_to(peers, each, update)


async def _forward_views(inboxes: _Inboxes) -> None:
    """Forward the views of the replica's state to the registrar."""
    while True:
        for view in await inboxes.views.drain():
            if not isinstance(view, ClientMessage):
                await inboxes.registrar.put(view)


def _open_entry_socket(settings: RegistrySettings, registrar: Inbox[ToRegistrar]) -> RouterSocket:
    def receive(routing_id: bytes, payload: bytes) -> None:
        try:
            message = decode_to_registry(payload)
        except DecodeError as error:
            log(Event.MESSAGE_DROPPED, source="entry", detail=str(error))
            return
        registrar.offer(FromEntry(routing_id, message))

    return RouterSocket(settings.entry_listen, receive)


def _send_to_entry(socket: RouterSocket, routing_id: bytes, message: ToRelay) -> bool:
    return socket.send(routing_id, encode(message))


def _http_servers(
    settings: RegistrySettings,
    state_client: StateClient,
    registrar: Inbox[ToRegistrar],
    applied: ApplyState,
    is_stopping: Callable[[], bool],
    intake: Intake,
) -> list[tuple[HttpServer, Address]]:
    context = ApiContext(
        control_listen=settings.control_listen,
        dialect=settings.dialect,
        state_client=state_client,
        registrar=registrar,
        applied_revision=lambda: applied.machine.newest_file.number,
        is_stopping=is_stopping,
    )
    servers: list[tuple[HttpServer, Address]] = []
    apis = [(settings.control_listen, control_api(context))]
    if settings.directory_listen is not None:
        apis.append((settings.directory_listen, directory_api(context)))
    for address, respond in apis:
        server = HttpServer(
            handle=handler(respond),
            limits=lambda: _HTTP_LIMITS,
            intake=intake,
            counts_output=True,
        )
        servers.append((server, address))
    return servers
