"""Join the filters of an agent: announce, check, admit, forward, report."""

import asyncio
import contextlib
from collections.abc import Callable

import msgspec

from lycheefall._agent.check import CheckState, check
from lycheefall._agent.messages import (
    AnnounceMember,
    AttemptEnded,
    ConfigurationSeen,
    Drained,
    DrainOrdered,
    Forward,
    FromCheck,
    FromEntry,
    SignalAttempt,
    Tick,
    ToCheck,
    ToPeer,
)
from lycheefall._agent.rank import run_rank_of
from lycheefall._agent.report import report_load
from lycheefall._agent.run_attempts import Attempts, SendToPeer
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
from lycheefall._operate.metrics import Count, Metrics
from lycheefall._rules import attempts as attempts_rule
from lycheefall._wire.announcer import Announcer
from lycheefall._wire.codec import decode_to_agent, encode
from lycheefall._wire.zmq_sockets import RouterSocket

CHECK_INBOX_MESSAGES = 10_000
TICK_S = 0.05
METRICS_PREFIX = "lycheefall.agent"
# After its last attempt an agent goes on for this long: a socket drops unsent messages when it is
# closed, dispatches on their way must be refused, and an entry with a silent link asks for the
# results over a new one, within 2 s.
ANSWERS_AFTER_DRAIN_S = 2.0


async def run_agent(
    settings: AgentSettings,
    stop: asyncio.Event,
    on_ready: Callable[[], None] = lambda: None,
) -> None:
    """Run an agent until it is told to stop and its attempts have ended."""
    incarnation = new_incarnation()
    inbox: Inbox[ToCheck] = Inbox(CHECK_INBOX_MESSAGES)
    drained, left = asyncio.Event(), asyncio.Event()
    metrics = Metrics(settings.statsd, METRICS_PREFIX)
    announcer = Announcer()
    announcer.set_addresses(set(settings.control))
    router = RouterSocket(
        settings.listen, lambda peer, payload: _receive(peer, payload, inbox, send)
    )

    def send(peer: bytes, message: ToEntry) -> bool:
        return router.send(peer, encode(message))

    attempts = Attempts(
        incarnation, settings.upstream_address, settings.kind, send, _deliver_end(inbox)
    )
    on_changes = _on_changes(settings, announcer, inbox)
    retention_s = Limits().key_retention_s
    state = CheckState(
        first_member(settings, incarnation), attempts_rule.initial(incarnation, retention_s)
    )
    log(Event.PROCESS_STARTED, role="agent", listen=settings.listen, incarnation=incarnation)
    on_ready()
    try:
        await run_until(
            left,
            run_actor(inbox, state, check, _emit(attempts, send, announcer, drained, metrics)),
            tick(inbox, Tick(), TICK_S),
            report_load(settings.upstream_address, inbox.offer),
            announcer.run(),
            metrics.run(),
            run_client(new_client(), settings.control, on_changes),
            run_rank_of(settings, incarnation),
            _leave(stop, inbox, drained, settings.drain_s, left),
        )
    finally:
        await attempts.close()
        router.close()
        log(Event.PROCESS_STOPPED, role="agent")


def first_member(settings: AgentSettings, incarnation: Incarnation) -> UpstreamMember:
    """Return how the agent announces itself before it is ready."""
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
        # A dispatch that is dropped here has not started, and the entry may be told so.
        send(peer, Refused(message.request, message.attempt, ResultCode.UPSTREAM_BUSY))


def _deliver_end(inbox: Inbox[ToCheck]) -> Callable[[AttemptEnded], None]:
    pending: set[asyncio.Task[None]] = set()

    def deliver(ended: AttemptEnded) -> None:
        if inbox.offer(ended):
            return
        task = asyncio.create_task(inbox.put(ended))
        pending.add(task)
        task.add_done_callback(pending.discard)

    return deliver


def _emit(
    attempts: Attempts,
    send: SendToPeer,
    announcer: Announcer,
    drained: asyncio.Event,
    metrics: Metrics,
) -> Callable[[FromCheck], None]:
    def emit(message: FromCheck) -> None:
        match message:
            case ToPeer():
                _log_check(message.message, metrics.count)
                send(message.peer, message.message)
            case Forward():
                metrics.count("attempts.started", 1)
                attempts.start(message)
            case SignalAttempt():
                attempts.steer(message.message)
            case AnnounceMember():
                metrics.gauge("running", message.member.load.running)
                metrics.gauge("waiting", message.member.load.waiting)
                announcer.set_member(message.member)
            case Drained():
                drained.set()

    return emit


def _log_check(message: ToEntry, count: Count) -> None:
    if isinstance(message, Finished):
        count(f"attempts.{int(message.code)}", 1)
    elif isinstance(message, Refused):
        code = message.code
        count(f"attempts.{int(code)}", 1)
        log(Event.ATTEMPT_REFUSED, request=message.request, attempt=message.attempt, code=int(code))
    elif isinstance(message, Resolved) and message.state is AttemptState.RELEASED:
        log(Event.ATTEMPT_RELEASED, request=message.request, attempt=message.attempt)


def _on_changes(
    settings: AgentSettings, announcer: Announcer, inbox: Inbox[ToCheck]
) -> Callable[[Changes], bool]:
    entries: dict[str, Address] = {}

    def on_changes(changes: Changes) -> bool:
        if changes.configuration is not None:
            if not inbox.offer(ConfigurationSeen(changes.configuration)):
                return False
            log(Event.CONFIGURATION_IN_FORCE, revision=changes.configuration.revision)
        # Entries that control no longer lists are kept: control may be the part that is cut off.
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


async def _leave(
    stop: asyncio.Event,
    inbox: Inbox[ToCheck],
    drained: asyncio.Event,
    limit_s: float,
    left: asyncio.Event,
) -> None:
    await stop.wait()
    log(Event.PROCESS_STOPPING, role="agent")
    await inbox.put(DrainOrdered())
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            await drained.wait()
    await asyncio.sleep(ANSWERS_AFTER_DRAIN_S)
    left.set()
