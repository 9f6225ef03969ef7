"""Assembly of the filters of an agent: receive, check, forward, query load, announce."""

import asyncio
from collections.abc import Callable

import msgspec

from lycheefall._agent.check import CheckState, check
from lycheefall._agent.load_query import poll_load
from lycheefall._agent.messages import (
    AnnounceMember,
    AttemptEnded,
    ConfigurationReceived,
    Drained,
    DrainEnded,
    DrainRequested,
    Forward,
    FromCheck,
    FromEntry,
    SignalAttempt,
    Tick,
    ToCheck,
    ToPeer,
)
from lycheefall._agent.rank import run_rank_if_configured
from lycheefall._agent.run_attempts import AttemptRunner, SendToPeer
from lycheefall._agent.settings import AgentSettings
from lycheefall._control.client import new_client, run_client
from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Limits
from lycheefall._core.enums import AttemptState, MemberState
from lycheefall._core.events import Event
from lycheefall._core.ids import Address, Incarnation
from lycheefall._core.log import log
from lycheefall._core.messages.control import Changes
from lycheefall._core.messages.dispatch import Dispatch, Finished, Refused, Resolved, ToEntry
from lycheefall._core.messages.membership import EntryMember, Member, UpstreamMember
from lycheefall._core.pipeline import Inbox, run_actor, tick
from lycheefall._core.process import new_incarnation, run_until
from lycheefall._operate.metrics import IncrementCounter, Metrics
from lycheefall._rules import attempts as attempts_rule
from lycheefall._wire.announcer import Announcer
from lycheefall._wire.codec import decode_to_agent, encode
from lycheefall._wire.zmq_sockets import RouterSocket

CHECK_INBOX_MESSAGES = 10_000
TICK_PERIOD_S = 0.05
METRICS_PREFIX = "lycheefall.agent"
# Time for which an agent keeps running after its last attempt. A socket drops unsent messages when
# it is closed, dispatches in transit have to be refused, and an entry whose link has gone silent
# requests the results over a new link within 2 s.
LINGER_AFTER_DRAIN_S = 2.0


async def run_agent(
    settings: AgentSettings,
    stop: asyncio.Event,
    on_ready: Callable[[], None] = lambda: None,
) -> None:
    """Run an agent until `stop` is set and its attempts have ended."""
    incarnation = new_incarnation()
    inbox: Inbox[ToCheck] = Inbox(CHECK_INBOX_MESSAGES)
    drained, shutdown_done = asyncio.Event(), asyncio.Event()
    metrics = Metrics(settings.statsd, METRICS_PREFIX)
    announcer = Announcer()
    announcer.set_addresses(set(settings.control))
    router = RouterSocket(
        settings.listen, lambda peer, payload: _receive(peer, payload, inbox, send)
    )

    def send(peer: bytes, message: ToEntry) -> bool:
        return router.send(peer, encode(message))

    runner = AttemptRunner(
        incarnation, settings.upstream_address, settings.kind, send, _end_deliverer(inbox)
    )
    on_changes = _changes_handler(settings, announcer, inbox)
    retention_s = Limits().key_retention_s
    state = CheckState(
        initial_member(settings, incarnation), attempts_rule.initial(incarnation, retention_s)
    )
    log(Event.PROCESS_STARTED, role="agent", listen=settings.listen, incarnation=incarnation)
    on_ready()
    try:
        await run_until(
            shutdown_done,
            run_actor(inbox, state, check, _emitter(runner, send, announcer, drained, metrics)),
            tick(inbox, Tick(), TICK_PERIOD_S),
            poll_load(settings.upstream_address, inbox.offer),
            announcer.run(),
            metrics.run(),
            run_client(new_client(), settings.control, on_changes),
            run_rank_if_configured(settings, incarnation),
            _shut_down(stop, inbox, drained, settings.drain_s, shutdown_done),
        )
    finally:
        await runner.close()
        router.close()
        log(Event.PROCESS_STOPPED, role="agent")


def initial_member(settings: AgentSettings, incarnation: Incarnation) -> UpstreamMember:
    """Return the member that the agent announces before it is ready."""
    return UpstreamMember(
        settings.upstream,
        settings.instance,
        settings.data_centre,
        settings.pool,
        settings.kind,
        settings.announce_as or settings.listen,
        incarnation,
        MemberState.STARTING,
        settings.concurrency,
    )


def _receive(peer: bytes, payload: bytes, inbox: Inbox[ToCheck], send: SendToPeer) -> None:
    try:
        message = decode_to_agent(payload)
    except msgspec.DecodeError as error:
        log(Event.FRAME_DROPPED, detail=str(error))
        return
    if inbox.offer(FromEntry(peer, message)):
        return
    if isinstance(message, Dispatch):
        # The inbox is full. The dispatch has not started, so it can be refused.
        send(peer, Refused(message.request, message.attempt, ResultCode.UPSTREAM_BUSY))


def _end_deliverer(inbox: Inbox[ToCheck]) -> Callable[[AttemptEnded], None]:
    """Return a function that delivers the end of an attempt, later if the inbox is full."""
    pending: set[asyncio.Task[None]] = set()

    def deliver(ended: AttemptEnded) -> None:
        if inbox.offer(ended):
            return
        task = asyncio.create_task(inbox.put(ended))
        pending.add(task)
        task.add_done_callback(pending.discard)

    return deliver


def _emitter(
    runner: AttemptRunner,
    send: SendToPeer,
    announcer: Announcer,
    drained: asyncio.Event,
    metrics: Metrics,
) -> Callable[[FromCheck], None]:
    def emit(message: FromCheck) -> None:
        match message:
            case ToPeer():
                _record_result(message.message, metrics.count)
                send(message.peer, message.message)
            case Forward():
                metrics.count("attempts.started", 1)
                runner.start(message)
            case SignalAttempt():
                runner.signal(message.message)
            case AnnounceMember():
                metrics.gauge("running", message.member.load.running)
                metrics.gauge("waiting", message.member.load.waiting)
                announcer.set_member(message.member)
            case Drained():
                drained.set()

    return emit


def _record_result(message: ToEntry, count: IncrementCounter) -> None:
    if isinstance(message, Finished):
        count(f"attempts.{int(message.code)}", 1)
    elif isinstance(message, Refused):
        code = message.code
        count(f"attempts.{int(code)}", 1)
        log(Event.ATTEMPT_REFUSED, request=message.request, attempt=message.attempt, code=int(code))
    elif isinstance(message, Resolved) and message.state is AttemptState.RELEASED:
        log(Event.ATTEMPT_RELEASED, request=message.request, attempt=message.attempt)


def _changes_handler(
    settings: AgentSettings, announcer: Announcer, inbox: Inbox[ToCheck]
) -> Callable[[Changes], bool]:
    """Return a handler of changes from control, which returns False if the inbox is full."""
    entries: dict[str, Address] = {}

    def on_changes(changes: Changes) -> bool:
        if changes.configuration is not None:
            if not inbox.offer(ConfigurationReceived(changes.configuration)):
                return False
            log(Event.CONFIGURATION_IN_FORCE, revision=changes.configuration.revision)
        # Entries that control no longer lists stay, because control may be the partitioned side.
        entries.update(_announce_addresses(changes.members))
        announcer.set_addresses(set(settings.control) | set(entries.values()))
        return True

    return on_changes


def _announce_addresses(members: tuple[Member, ...]) -> dict[str, Address]:
    return {
        member.instance: member.announce_address
        for member in members
        if isinstance(member, EntryMember)
    }


async def _shut_down(
    stop: asyncio.Event,
    inbox: Inbox[ToCheck],
    drained: asyncio.Event,
    timeout_s: float,
    shutdown_done: asyncio.Event,
) -> None:
    """Drain for up to a timeout after `stop`, end what is left, and set `shutdown_done` later."""
    await stop.wait()
    log(Event.PROCESS_STOPPING, role="agent")
    ends_s = asyncio.get_running_loop().time() + timeout_s
    await inbox.put(DrainRequested(ends_s))
    try:
        async with asyncio.timeout_at(ends_s):
            await drained.wait()
    except TimeoutError:
        await inbox.put(DrainEnded())
    await asyncio.sleep(LINGER_AFTER_DRAIN_S)
    shutdown_done.set()
