"""Connect the filters of an entry, from the caller's request to the answer."""

import asyncio
from collections.abc import Callable, Coroutine

from aiohttp import web

from lycheefall._control.client import new_client, run_client
from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration
from lycheefall._core.enums import MemberState
from lycheefall._core.events import Event
from lycheefall._core.exceptions import ControlUnavailable, PortInUse
from lycheefall._core.ids import Address
from lycheefall._core.log import log
from lycheefall._core.messages.control import ClaimResult, Failed
from lycheefall._core.messages.entry import (
    Abandon,
    BookingCommandResult,
    BookingLinkLost,
    BookingPicked,
    BookingReply,
    CallEnded,
    Capacity,
    ConfigurationChanged,
    CrashReported,
    DispatchClaimed,
    EntriesChanged,
    EvacuationsChanged,
    FingerprintsChanged,
    FramesRead,
    FromBooking,
    FromDispatch,
    FromQueue,
    HedgeDue,
    LeaseRequested,
    ProposeBookingCommand,
    ReplyEnd,
    ReplyTokens,
    ScheduleHedge,
    SendHedge,
    StartBooking,
    StopBegan,
    Submit,
    SuspectEnded,
    Tick,
    ToBooking,
    ToDispatch,
    ToLink,
    ToQueue,
    UpstreamHeartbeat,
    UpstreamLeft,
)
from lycheefall._core.messages.membership import Announce, EntryMember
from lycheefall._core.pipeline import Inbox, Latest, run_actor, tick
from lycheefall._core.process import new_incarnation, run_until
from lycheefall._entry.accept import Acceptor, build_application
from lycheefall._entry.catalogue import build_catalogue
from lycheefall._entry.control_view import (
    ControlUpdate,
    KnownEntries,
    changes_receiver,
    directory_lookup,
)
from lycheefall._entry.decision_log import log_claim, log_end, log_hedge, log_link_message
from lycheefall._entry.links import Links
from lycheefall._entry.policies import DEFAULT_POLICIES, Policies
from lycheefall._entry.queue import QueueState
from lycheefall._entry.settings import EntrySettings
from lycheefall._entry.suspects import acquire_lease, record_crash, release_suspect
from lycheefall._entry.upstreams import UPSTREAM_TIMEOUT_S, announce_receiver, step_upstreams
from lycheefall._operate.metrics import IncrementCounter, Metrics
from lycheefall._rules import membership
from lycheefall._rules.bookings import BookingsState, step_bookings
from lycheefall._rules.call_state import CallsState
from lycheefall._rules.calls import step_calls
from lycheefall._rules.joins import JoinsState, step_joins
from lycheefall._rules.refusals import refuse
from lycheefall._wire.announcer import Announcer
from lycheefall._wire.zmq_sockets import RouterSocket

INBOX_MESSAGES = 50_000
TICK_PERIOD_S = 0.05
METRICS_PREFIX = "lycheefall.entry"
# Other entries may list a draining entry for this long: control reports the change within a poll
# period, or once a silent connection to control has been replaced.
DIRECTORY_STALENESS_S = 1.5
# The last requests end this long before the end of the drain, which leaves time for their answers.
ANSWERS_MARGIN_S = 0.5
OUTPUT_POLL_S = 0.05
# For handlers of callers that have not read their response by the end of the drain.
HANDLER_SHUTDOWN_S = 0.1
# Control elects a new leader within 2 s of losing one; proposals are retried until then.
PROPOSAL_TIMEOUT_S = 4.0


class Pipeline:
    """The filters of one entry and the inboxes between them."""

    __slots__ = (
        "acceptor",
        "announcer",
        "background_tasks",
        "bookings",
        "client",
        "count",
        "dispatch",
        "incarnation",
        "joins",
        "known_entries",
        "links",
        "queue",
        "settings",
        "upstreams",
    )

    def __init__(self, settings: EntrySettings, count: IncrementCounter) -> None:
        self.settings = settings
        self.count = count
        self.incarnation = new_incarnation()
        self.joins: Inbox[Submit | Abandon | ReplyEnd] = Inbox(INBOX_MESSAGES)
        self.queue: Inbox[ToQueue] = Inbox(INBOX_MESSAGES)
        self.dispatch: Inbox[ToDispatch] = Inbox(INBOX_MESSAGES)
        self.bookings: Inbox[ToBooking] = Inbox(INBOX_MESSAGES)
        self.upstreams: Inbox[Announce | Tick] = Inbox(INBOX_MESSAGES)
        self.links = Links(self.dispatch.offer, asyncio.get_running_loop().time)
        self.acceptor = Acceptor(settings.instance, self.incarnation, self._from_accept)
        self.announcer = Announcer()
        self.client = new_client()
        self.background_tasks: set[asyncio.Task[None]] = set()
        self.known_entries = Latest(KnownEntries())

    def _from_accept(self, message: Submit | Abandon | FramesRead) -> bool:
        match message:
            case FramesRead():
                return self.dispatch.offer(message)
            case Abandon() | Submit():
                return self.joins.offer(message)

    def from_joins(self, message: Submit | Abandon | ReplyEnd) -> None:
        """Enqueue a request, or forward an answer to its caller."""
        if isinstance(message, ReplyEnd):
            self._answer(message)
        elif not self.queue.offer(message) and isinstance(message, Submit):
            refusal = refuse(
                message.caller_request, ResultCode.OVERLOADED, "the queue is full", 1.0
            )
            self.joins.offer(refusal)

    def from_queue(self, message: FromQueue) -> None:
        """Forward the output of the queue filter."""
        if isinstance(message, ReplyEnd):
            self.joins.offer(message)
        else:
            self.dispatch.offer(message)

    def from_dispatch(self, message: FromDispatch) -> None:
        """Forward the output of the dispatch filter."""
        match message:
            case ToLink():
                log_link_message(message, self.count)
                self.links.send(message.upstream, message.message)
            case ScheduleHedge():
                loop = asyncio.get_running_loop()
                due = HedgeDue(message.request)
                loop.call_later(message.after_s, self.dispatch.offer, due)
            case SendHedge():
                log_hedge(message, self.count)
                self.links.send(message.link.upstream, message.link.message)
            case ReplyTokens():
                self.acceptor.deliver_reply(message)
            case ReplyEnd():
                self.joins.offer(message)
            case Abandon() | StartBooking() | BookingPicked() | BookingReply() | BookingLinkLost():
                self.bookings.offer(message)
            case CallEnded() | Capacity():
                self.queue.offer(message)
            case CrashReported() | LeaseRequested() | SuspectEnded():
                self._spawn(self._propose_for_suspect(message))

    def from_bookings(self, message: FromBooking) -> None:
        """Forward the output of the booking filter."""
        if isinstance(message, ProposeBookingCommand):
            self._spawn(self._propose(message))
            return
        if isinstance(message, DispatchClaimed):
            log_claim(message, self.count)
        self.dispatch.offer(message)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def _propose_for_suspect(
        self, message: CrashReported | LeaseRequested | SuspectEnded
    ) -> None:
        match message:
            case CrashReported():
                await self.dispatch.put(await record_crash(self.client, message))
            case LeaseRequested():
                await self.dispatch.put(await acquire_lease(self.client, message))
            case SuspectEnded():
                await release_suspect(self.client, message)

    async def _propose(self, proposal: ProposeBookingCommand) -> None:
        try:
            result = await self.client.propose(proposal.command, PROPOSAL_TIMEOUT_S)
        except ControlUnavailable:
            result = None
        assert result is None or isinstance(result, ClaimResult | Failed)
        await self.bookings.put(BookingCommandResult(proposal.request, proposal.sequence, result))

    def from_upstreams(self, message: UpstreamHeartbeat | UpstreamLeft) -> None:
        """Open or close the link to an agent, then notify the dispatch filter."""
        if isinstance(message, UpstreamHeartbeat):
            self.links.connect(message.member.upstream, message.member.address)
        else:
            self.links.disconnect(message.upstream)
        self.dispatch.offer(message)

    def from_control(self, message: ControlUpdate) -> bool:
        """Forward a change reported by control; return False if an inbox is full."""
        match message:
            case ConfigurationChanged():
                return self.queue.offer(message) and self.dispatch.offer(message)
            case FingerprintsChanged() | EvacuationsChanged():
                return self.dispatch.offer(message)
            case EntriesChanged():
                return self.bookings.offer(message) and self.dispatch.offer(message)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Validate new requests against this configuration."""
        self.acceptor.catalogue.publish(build_catalogue(configuration))
        if not self.acceptor.draining:
            self.announce(MemberState.READY)
        log(Event.CONFIGURATION_IN_FORCE, revision=configuration.revision)

    async def begin_stop(self, ends_s: float) -> None:
        """Start only requests that end before `ends_s`."""
        self.acceptor.draining = True
        self.announce(MemberState.DRAINING)
        await self.queue.put(StopBegan(ends_s))
        await self.dispatch.put(StopBegan(ends_s))
        await self.bookings.put(StopBegan(ends_s))

    def announce(self, state: MemberState) -> None:
        """Announce this entry in the given state."""
        settings = self.settings
        self.announcer.set_member(
            EntryMember(
                settings.instance,
                settings.data_centre,
                settings.listen,
                settings.announce_listen,
                self.incarnation,
                state,
            )
        )

    def _answer(self, end: ReplyEnd) -> None:
        self.acceptor.deliver_reply(end)
        log_end(end, self.count)


async def run_entry(
    settings: EntrySettings,
    stop: asyncio.Event,
    on_ready: Callable[[], None] = lambda: None,
    policies: Policies = DEFAULT_POLICIES,
) -> None:
    """Run an entry until `stop` is set and it has drained; raise PortInUse if it can't listen."""
    metrics = Metrics(settings.statsd, METRICS_PREFIX)
    pipeline = Pipeline(settings, metrics.count)
    pipeline.announce(MemberState.STARTING)
    pipeline.announcer.set_addresses(set(settings.control))
    announcements = RouterSocket(
        settings.announce_listen, announce_receiver(pipeline.upstreams.offer)
    )
    drained = asyncio.Event()
    application = build_application(pipeline.acceptor, directory_lookup(pipeline.known_entries))
    runner = await _listen(settings.listen, application)
    on_changes = changes_receiver(
        pipeline.known_entries,
        pipeline.from_control,
        pipeline.apply_configuration,
        metrics.gauge,
    )
    log(
        Event.PROCESS_STARTED,
        role="entry",
        listen=settings.listen,
        incarnation=pipeline.incarnation,
    )
    on_ready()
    try:
        await run_until(
            drained,
            run_actor(pipeline.joins, JoinsState(), step_joins, pipeline.from_joins),
            run_actor(pipeline.queue, QueueState(), policies.step_queue, pipeline.from_queue),
            run_actor(
                pipeline.dispatch,
                _new_calls_state(pipeline, policies),
                step_calls,
                pipeline.from_dispatch,
            ),
            run_actor(
                pipeline.bookings,
                BookingsState(pipeline.incarnation),
                step_bookings,
                pipeline.from_bookings,
            ),
            run_actor(
                pipeline.upstreams,
                membership.initial(UPSTREAM_TIMEOUT_S),
                step_upstreams,
                pipeline.from_upstreams,
            ),
            tick(pipeline.queue, Tick(), TICK_PERIOD_S),
            tick(pipeline.dispatch, Tick(), TICK_PERIOD_S),
            tick(pipeline.bookings, Tick(), TICK_PERIOD_S),
            tick(pipeline.upstreams, Tick(), TICK_PERIOD_S),
            _send_heartbeats(pipeline.links),
            pipeline.announcer.run(),
            run_client(pipeline.client, settings.control, on_changes),
            _drain(stop, pipeline, runner, drained),
            metrics.run(),
        )
    finally:
        await runner.cleanup()
        pipeline.links.close()
        announcements.close()
        log(Event.PROCESS_STOPPED, role="entry")


async def _listen(address: Address, application: web.Application) -> web.AppRunner:
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=HANDLER_SHUTDOWN_S,
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, host, int(port), backlog=4096).start()
    except OSError as error:
        await runner.cleanup()
        raise PortInUse(f"can't listen on {address}: {error.strerror}") from error
    return runner


async def _send_heartbeats(links: Links) -> None:
    while True:
        links.send_heartbeats()
        await asyncio.sleep(TICK_PERIOD_S)


async def _drain(
    stop: asyncio.Event, pipeline: Pipeline, runner: web.AppRunner, drained: asyncio.Event
) -> None:
    """Leave the directory, serve callers that cached the address, then finish open requests."""
    await stop.wait()
    log(Event.PROCESS_STOPPING, role="entry")
    drained_s = asyncio.get_running_loop().time() + pipeline.settings.drain_s
    await pipeline.begin_stop(drained_s - ANSWERS_MARGIN_S)
    try:
        async with asyncio.timeout_at(drained_s - ANSWERS_MARGIN_S):
            await asyncio.sleep(DIRECTORY_STALENESS_S + _directory_ttl_s(pipeline))
            for site in list(runner.sites):
                await site.stop()
            await pipeline.acceptor.idle.wait()
    except TimeoutError:
        unfinished = len(pipeline.acceptor.replies)
        log(
            Event.PROCESS_STOPPING,
            role="entry",
            detail=f"{unfinished} requests are still in flight",
        )
    await _send_output(pipeline, runner, drained_s)
    drained.set()


async def _send_output(pipeline: Pipeline, runner: web.AppRunner, until_s: float) -> None:
    """Wait until no request is open and all output has left the process."""
    loop = asyncio.get_running_loop()
    while loop.time() < until_s:
        # A response is written after its handler has returned.
        await asyncio.sleep(OUTPUT_POLL_S)
        if pipeline.acceptor.idle.is_set() and not _unsent_bytes(runner):
            return


def _unsent_bytes(runner: web.AppRunner) -> int:
    assert runner.server is not None
    transports = [each.transport for each in runner.server.connections]
    return sum(each.get_write_buffer_size() for each in transports if each is not None)


def _directory_ttl_s(pipeline: Pipeline) -> float:
    catalogue = pipeline.acceptor.catalogue.value
    return catalogue.configuration.directory.ttl_s if catalogue else 0.0


def _new_calls_state(pipeline: Pipeline, policies: Policies) -> CallsState:
    # Each entry has its own seed: entries that sample the same pairs of upstreams would herd.
    seed = int(pipeline.incarnation, 16)
    pick = policies.make_picker()
    return CallsState(pipeline.settings.instance, pick, policies.spend_retry, seed)
