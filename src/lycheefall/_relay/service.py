"""Run a relaying entry as a process."""

import asyncio
from collections.abc import Coroutine
from functools import partial
from itertools import count
from random import Random, SystemRandom

from lycheefall._core.enums import MemberState
from lycheefall._core.evacuations import is_open
from lycheefall._core.events import Event
from lycheefall._core.ids import PoolId
from lycheefall._core.log import log
from lycheefall._core.pipeline import Inbox, Latest, tick
from lycheefall._core.process import new_incarnation, run_until
from lycheefall._core.relay import EngineModel, UpstreamRecord
from lycheefall._operate.exposition import run_exposition
from lycheefall._operate.process_watch import run_watch
from lycheefall._relay import connection_pool, notices, stopping
from lycheefall._relay.connection_pool import ConnectionPool
from lycheefall._relay.control_link import (
    ControlLink,
    may_coordinate,
    run_control_link,
    send_status_to_all,
)
from lycheefall._relay.dispatch import (
    DISPATCH_TICK_PERIOD_S,
    Dispatcher,
    dispatch_snapshot,
    run_dispatch,
)
from lycheefall._relay.exchange import request_handler
from lycheefall._relay.exchange_state import Relay
from lycheefall._relay.explanation import explain_handler
from lycheefall._relay.map_coordinator import CHECK_PERIOD_S, Coordinator, run_coordinator
from lycheefall._relay.messages import (
    CheckGroups,
    DispatchTick,
    PassObserved,
    ReportEvidence,
    ToCoordinator,
    ToDispatch,
)
from lycheefall._relay.rank_calls import Rank
from lycheefall._relay.settings import RelaySettings
from lycheefall._rules import byte_budget, dispatching, record_table
from lycheefall._rules.byte_budget import ByteBudget
from lycheefall._rules.dispatch_state import DispatchState
from lycheefall._rules.identification import Index, build_index
from lycheefall._wire.http_server import (
    CallerConnection,
    HttpLimits,
    HttpServer,
    IncomingRequest,
    Intake,
    close_server,
    finish_requests,
    new_intake,
    open_server,
    send_local_response,
    unsent_bytes,
)

INBOX_MESSAGES = 20_000
IDLE_CHECK_PERIOD_S = 1.0
# Callers cache the addresses of the directory for 2 s, so an entry that stops keeps listening for
# longer than that.
DIRECTORY_GRACE_S = 3.0
# The requests in progress end this long before the end of the grace period.
REQUESTS_MARGIN_S = 0.3
# The process exits this long before it, or as soon as all responses are sent.
EXIT_MARGIN_S = 0.1
_SEED_BITS = 64


async def run_relay(settings: RelaySettings, stop: asyncio.Event) -> None:
    """Serve until the event is set, then drain the requests in progress."""
    now = asyncio.get_running_loop().time
    inbox: Inbox[ToDispatch] = Inbox(INBOX_MESSAGES)
    coordinator_inbox: Inbox[ToCoordinator] = Inbox(INBOX_MESSAGES)
    random = Random(SystemRandom().getrandbits(_SEED_BITS))
    index: Latest[Index | None] = Latest(None)
    dispatcher = Dispatcher(
        dispatch_state=DispatchState(
            instance=settings.instance,
            data_centre=settings.data_centre,
            retry_bounds=settings.retry_bounds,
            random=random,
            evacuations=None,
        ),
        report_evidence=lambda: _report_evidence(link),
    )
    pooled_connections = ConnectionPool()
    intake = new_intake(settings.memory_bytes, settings.callers)
    relay = Relay(
        dialect=settings.dialect,
        index=index,
        dispatch_snapshot=lambda: dispatch_snapshot(dispatcher, now()),
        dispatch=inbox,
        connections=pooled_connections,
        response_bytes=ByteBudget(byte_budget.limit_for_memory(settings.memory_bytes)),
        observe_pass=lambda *args: _report_pass(link, coordinator_inbox, *args),
        now=now,
        request_numbers=count(),
        random=random,
        may_use=lambda record: is_open(dispatcher.dispatch_state.evacuations, record.data_centre),
    )
    link = ControlLink(
        entry=settings.instance,
        incarnation=new_incarnation(),
        address=settings.caller_listen,
        data_centre=settings.data_centre,
        seeds=settings.seeds,
        entry_address=settings.entry_address,
        decode_file=settings.dialect.decode_file,
        dispatch_snapshot=relay.dispatch_snapshot,
        dispatch=inbox,
        now=now,
        slow_ranks=lambda: coordinator.slow_ranks,
        publish_configuration=lambda configuration: index.publish(build_index(configuration)),
    )
    server = HttpServer(
        handle=request_handler(relay),
        limits=partial(_http_limits, index),
        intake=intake,
    )
    observe_head = partial(notices.report, settings.dialect.headers, inbox)
    coordinator = Coordinator(
        inbox=coordinator_inbox,
        new_rank=lambda record: Rank(
            record,
            settings.dialect,
            pooled_connections,
            settings.link_bytes_per_s,
            observe_head,
        ),
        records=lambda: _live_records(dispatcher),
        engine_of=partial(_engine_of, index),
        utilization_of=lambda pool: dispatching.utilization(dispatcher.dispatch_state, pool),
        may_coordinate=partial(may_coordinate, link),
        random=random,
    )
    done = asyncio.Event()
    try:
        await run_until(
            done,
            run_dispatch(dispatcher, inbox, now),
            run_control_link(link),
            tick(inbox, DispatchTick(), DISPATCH_TICK_PERIOD_S),
            tick(coordinator_inbox, CheckGroups(), CHECK_PERIOD_S),
            _close_expired_connections(pooled_connections),
            _serve(settings, server, link, dispatcher),
            run_coordinator(coordinator),
            _drain(settings, stop, done, server, link, relay, coordinator),
            run_watch(partial(_sizes, inbox, dispatcher, server, link), settings.memory_bytes, now),
            *_optional_tasks(settings, link, intake, relay),
        )
    finally:
        unsent = sum(unsent_bytes(each) for each in server.callers)
        callers = len(server.callers)
        await close_server(server)
        connection_pool.close_all(pooled_connections)
        log(Event.PROCESS_STOPPED, role="entry", callers=callers, unsent_bytes=unsent)


def _report_pass(
    link: ControlLink,
    coordinator_inbox: Inbox[ToCoordinator],
    record: UpstreamRecord,
    pause_s: float,
    target_s: float,
) -> None:
    """Report the duration of a pass to the map coordinator, if it is active at this entry."""
    if record.group is not None and may_coordinate(link):
        coordinator_inbox.offer(PassObserved(record.pool, record.group.group, pause_s, target_s))


def _report_evidence(link: ControlLink) -> None:
    """Have the link report a crash; a report that is already pending covers it."""
    link.evidence.offer(ReportEvidence())


def _live_records(dispatcher: Dispatcher) -> tuple[UpstreamRecord, ...]:
    """Return the upstreams that have not left; draining ones are still ranks of their groups."""
    return tuple(
        each
        for each in record_table.records(dispatcher.table)
        if each.state is not MemberState.FAILED
    )


def _engine_of(index: Latest[Index | None], pool: PoolId) -> EngineModel | None:
    if index.value is None:
        return None
    for each in index.value.configuration.pools:
        if each.name == pool:
            return each.engine
    return None


def _http_limits(index: Latest[Index | None]) -> HttpLimits:
    if index.value is None:
        return HttpLimits()
    limits = index.value.configuration.limits
    return HttpLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )


async def _serve(
    settings: RelaySettings, server: HttpServer, link: ControlLink, dispatcher: Dispatcher
) -> None:
    """Listen, and become ready once configuration, evacuations and an upstream are known."""
    await open_server(server, settings.caller_listen)
    log(Event.PROCESS_STARTED, role="entry", instance=settings.instance)
    while True:
        await asyncio.sleep(DISPATCH_TICK_PERIOD_S)
        is_informed = dispatcher.dispatch_state.evacuations is not None and dispatcher.table.entries
        if link.member_state is MemberState.STARTING and link.revision and is_informed:
            link.member_state = MemberState.READY
            send_status_to_all(link)


async def _drain(
    settings: RelaySettings,
    stop: asyncio.Event,
    done: asyncio.Event,
    server: HttpServer,
    link: ControlLink,
    relay: Relay,
    coordinator: Coordinator,
) -> None:
    """Drain after the stop event: leave the directory, then exit once all responses are sent.

    Changes of maps end before as well: until another entry notices, a held group serves nobody.
    """
    await stop.wait()
    loop = asyncio.get_running_loop()
    killed_s = loop.time() + settings.grace_s
    close_s = min(killed_s - REQUESTS_MARGIN_S, loop.time() + DIRECTORY_GRACE_S)
    log(Event.PROCESS_STOPPING, role="entry", callers=len(server.callers))
    link.member_state = MemberState.DRAINING
    send_status_to_all(link)
    # Responses that are sent while the dispatcher's inbox is full close their connections, too.
    server.is_closing = True
    await stopping.begin(relay, killed_s - REQUESTS_MARGIN_S)
    await finish_requests((server,), lambda: loop.time() >= close_s, killed_s - EXIT_MARGIN_S)
    await _finish_rollouts(coordinator, killed_s - EXIT_MARGIN_S)
    done.set()


async def _finish_rollouts(coordinator: Coordinator, ends_s: float) -> None:
    """Wait for the changes of maps in progress, or until a time."""
    now = asyncio.get_running_loop().time
    while coordinator.rollouts and now() < ends_s:
        await asyncio.wait(coordinator.rollouts, timeout=ends_s - now())


async def _close_expired_connections(pooled_connections: ConnectionPool) -> None:
    while True:
        await asyncio.sleep(IDLE_CHECK_PERIOD_S)
        connection_pool.close_expired(pooled_connections, asyncio.get_running_loop().time())


def _sizes(
    inbox: Inbox[ToDispatch], dispatcher: Dispatcher, server: HttpServer, link: ControlLink
) -> dict[str, int]:
    """Return the lengths of the inbox and tables, and the number of connections."""
    return {
        "dispatch_inbox": len(inbox),
        "pending_placements": len(dispatcher.pending_placements),
        "callers": len(server.callers),
        "upstreams": len(dispatcher.table.entries),
        "replicas": len(link.links),
    }


def _optional_tasks(
    settings: RelaySettings, link: ControlLink, intake: Intake, relay: Relay
) -> tuple[Coroutine[None, None, None], ...]:
    tasks: list[Coroutine[None, None, None]] = []
    if settings.ready_listen is not None:
        tasks.append(_serve_readiness(settings, link, intake))
    if settings.metrics_listen is not None:
        explain = explain_handler(
            lambda: relay.index.value, relay.longest_timeout_s, relay.dispatch
        )
        tasks.append(run_exposition(settings.metrics_listen, intake, explain))
    return tuple(tasks)


async def _serve_readiness(settings: RelaySettings, link: ControlLink, intake: Intake) -> None:
    """Serve the readiness check: 200 while this entry accepts requests, else 503."""
    path = settings.dialect.endpoints.ready.encode()

    async def handle(request: IncomingRequest, caller: CallerConnection) -> None:
        if request.target.partition(b"?")[0] != path:
            await send_local_response(caller, 404)
        elif link.member_state is MemberState.READY:
            await send_local_response(caller, 200)
        else:
            await send_local_response(caller, 503)

    server = HttpServer(handle=handle, limits=HttpLimits, intake=intake, counts_output=True)
    if settings.ready_listen is not None:
        await open_server(server, settings.ready_listen)
    try:
        await asyncio.get_running_loop().create_future()
    finally:
        await close_server(server)
