"""A relaying entry as a process."""

import asyncio
from collections.abc import Coroutine
from functools import partial
from itertools import count
from random import Random, SystemRandom

from lycheefall._core.enums import MemberState
from lycheefall._core.events import Event
from lycheefall._core.ids import PoolId
from lycheefall._core.log import log
from lycheefall._core.pipeline import Inbox, Latest, tick
from lycheefall._core.process import new_incarnation, run_until
from lycheefall._core.relay import ExpertLayout, UpstreamRecord
from lycheefall._operate.exposition import run_exposition
from lycheefall._relay import connections
from lycheefall._relay.connections import Connections
from lycheefall._relay.control_link import (
    ControlLink,
    may_coordinate,
    run_control_link,
    send_status,
)
from lycheefall._relay.dispatch import BEAT_PERIOD_S, Dispatcher, known, run_dispatch
from lycheefall._relay.exchange import relaying
from lycheefall._relay.exchange_state import Relay
from lycheefall._relay.map_coordinator import LOOK_PERIOD_S, Coordinator, run_coordinator
from lycheefall._relay.messages import Beat, Look, PassSeen, ToCoordinator, ToDispatch
from lycheefall._relay.settings import RelaySettings
from lycheefall._rules import dispatching, record_table
from lycheefall._rules.dispatching import DispatchState
from lycheefall._rules.identification import Index, build_index
from lycheefall._wire.http_server import (
    CallerConnection,
    HttpLimits,
    HttpServer,
    IncomingRequest,
    close_idle_connections,
    close_server,
    open_server,
    send_local_response,
)

INBOX_MESSAGES = 20_000
SWEEP_PERIOD_S = 1.0
# Callers keep addresses for 2 s; until then some still come to an entry that is leaving.
LEAVE_S = 3.0
# Time before the end of the grace period in which the process ends by itself.
STOP_MARGIN_S = 0.6
STOP_POLL_S = 0.05
_SEED_BITS = 64


async def run_relay(settings: RelaySettings, stop: asyncio.Event) -> None:
    """Serve until the event is set, then finish what is in progress."""
    now = asyncio.get_running_loop().time
    inbox: Inbox[ToDispatch] = Inbox(INBOX_MESSAGES)
    passes: Inbox[ToCoordinator] = Inbox(INBOX_MESSAGES)
    random = Random(SystemRandom().getrandbits(_SEED_BITS))
    current: Latest[Index | None] = Latest(None)
    dispatcher = Dispatcher(
        rules=DispatchState(
            instance=settings.instance,
            data_centre=settings.data_centre,
            bounds=settings.retry_bounds,
            random=random,
        )
    )
    held = Connections()
    relay = Relay(
        dialect=settings.dialect,
        index=current,
        known=lambda: known(dispatcher, now()),
        dispatch=inbox,
        connections=held,
        note_pass=lambda *seen: _note_pass(link, passes, *seen),
        now=now,
        numbers=count(),
        random=random,
    )
    link = ControlLink(
        entry=settings.instance,
        incarnation=new_incarnation(),
        address=settings.caller_listen,
        data_centre=settings.data_centre,
        seeds=settings.seeds,
        entry_address=settings.entry_address,
        decode_file=settings.dialect.decode_file,
        known=relay.known,
        dispatch=inbox,
        now=now,
        use=lambda configuration: current.publish(build_index(configuration)),
    )
    front = HttpServer(handle=relaying(relay), limits=partial(_limits, current))
    done = asyncio.Event()
    try:
        await run_until(
            done,
            run_dispatch(dispatcher, inbox, now),
            run_control_link(link),
            tick(inbox, Beat(), BEAT_PERIOD_S),
            tick(passes, Look(), LOOK_PERIOD_S),
            _sweep(held),
            _serve(settings, front, link, dispatcher),
            run_coordinator(
                Coordinator(
                    dialect=settings.dialect,
                    inbox=passes,
                    records=lambda: _live_records(dispatcher),
                    layout_of=partial(_layout_of, current),
                    pressure_of=lambda pool: dispatching.utilization(dispatcher.rules, pool),
                    may_act=partial(may_coordinate, link),
                    connections=held,
                    random=random,
                )
            ),
            _stop(settings, stop, done, front, link),
            *_optional(settings, link),
        )
    finally:
        await close_server(front)
        connections.close_all(held)
        log(Event.PROCESS_STOPPED, role="entry")


def _note_pass(
    link: ControlLink,
    passes: Inbox[ToCoordinator],
    record: UpstreamRecord,
    pause_s: float,
    target_s: float,
) -> None:
    """Tell the coordinator, if it is here, how long a pass of a group took."""
    if record.group is not None and may_coordinate(link):
        passes.offer(PassSeen(record.pool, record.group.group, pause_s, target_s))


def _live_records(dispatcher: Dispatcher) -> tuple[UpstreamRecord, ...]:
    """Return the upstreams that have not left; those that drain are still ranks."""
    return tuple(
        each
        for each in record_table.records(dispatcher.table)
        if each.state is not MemberState.FAILED
    )


def _layout_of(current: Latest[Index | None], pool: PoolId) -> ExpertLayout | None:
    if current.value is None:
        return None
    for each in current.value.configuration.pools:
        if each.name == pool:
            return None if each.engine is None else each.engine.layout
    return None


def _limits(current: Latest[Index | None]) -> HttpLimits:
    if current.value is None:
        return HttpLimits()
    limits = current.value.configuration.limits
    return HttpLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )


async def _serve(
    settings: RelaySettings, front: HttpServer, link: ControlLink, dispatcher: Dispatcher
) -> None:
    """Listen, and count as ready once a configuration and an upstream are known."""
    await open_server(front, settings.caller_listen)
    log(Event.PROCESS_STARTED, role="entry", instance=settings.instance)
    while True:
        await asyncio.sleep(BEAT_PERIOD_S)
        if link.state is MemberState.STARTING and link.number and dispatcher.table.entries:
            link.state = MemberState.READY
            send_status(link)


async def _stop(
    settings: RelaySettings,
    stop: asyncio.Event,
    done: asyncio.Event,
    front: HttpServer,
    link: ControlLink,
) -> None:
    """Leave the directory, let callers go elsewhere, and end when no request is in progress."""
    await stop.wait()
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + settings.grace_s - STOP_MARGIN_S
    leaves_s = min(ends_s, loop.time() + LEAVE_S)
    log(Event.PROCESS_STOPPING, role="entry", callers=len(front.callers))
    link.state = MemberState.DRAINING
    front.is_closing = True
    send_status(link)
    while loop.time() < ends_s:
        await asyncio.sleep(STOP_POLL_S)
        if loop.time() < leaves_s:
            continue
        if front.listener is not None:
            front.listener.close()
        close_idle_connections(front)
        if not front.callers:
            break
    done.set()


async def _sweep(held: Connections) -> None:
    while True:
        await asyncio.sleep(SWEEP_PERIOD_S)
        connections.sweep(held, asyncio.get_running_loop().time())


def _optional(
    settings: RelaySettings, link: ControlLink
) -> tuple[Coroutine[None, None, None], ...]:
    tasks: list[Coroutine[None, None, None]] = []
    if settings.ready_listen is not None:
        tasks.append(_run_ready(settings, link))
    if settings.metrics_listen is not None:
        tasks.append(run_exposition(settings.metrics_listen))
    return tuple(tasks)


async def _run_ready(settings: RelaySettings, link: ControlLink) -> None:
    """Answer whether this entry takes requests."""
    path = settings.dialect.endpoints.ready.encode()

    async def handle(request: IncomingRequest, caller: CallerConnection) -> None:
        if request.target.partition(b"?")[0] != path:
            await send_local_response(caller, 404)
        elif link.state is MemberState.READY:
            await send_local_response(caller, 200)
        else:
            await send_local_response(caller, 503)

    front = HttpServer(handle=handle, limits=HttpLimits)
    if settings.ready_listen is not None:
        await open_server(front, settings.ready_listen)
    try:
        await asyncio.get_running_loop().create_future()
    finally:
        await close_server(front)
