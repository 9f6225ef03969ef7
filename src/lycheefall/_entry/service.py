"""Join the filters of an entry, from the caller's request to the answer."""

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
    BookingLinkLost,
    BookingPicked,
    BookingReply,
    BookingStarted,
    CallEnded,
    Capacity,
    ConfigurationChanged,
    CrashSeen,
    DispatchClaimed,
    EntriesSeen,
    FingerprintsChanged,
    FramesRead,
    FromBooking,
    FromDispatch,
    FromQueue,
    HedgeDue,
    HedgePlanned,
    HedgeSent,
    LeaseRequested,
    Proposed,
    ProposeFor,
    ReplyEnd,
    ReplyTokens,
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
    FromControl,
    KnownEntries,
    changes_receiver,
    directory_answers,
)
from lycheefall._entry.decisions import log_claim, log_end, log_hedge, log_link_message
from lycheefall._entry.links import Links
from lycheefall._entry.policies import IN_USE, Policies
from lycheefall._entry.queue import QueueState
from lycheefall._entry.settings import EntrySettings
from lycheefall._entry.suspects import end_suspect, record_crash, take_lease
from lycheefall._entry.upstreams import FORGET_S, receive_announce, step_upstreams
from lycheefall._operate.metrics import Count, Metrics
from lycheefall._rules import membership
from lycheefall._rules.bookings import BookingsState, step_bookings
from lycheefall._rules.call_state import CallsState
from lycheefall._rules.calls import step_calls
from lycheefall._rules.joins import JoinsState, step_joins
from lycheefall._rules.refusals import refuse
from lycheefall._wire.announcer import Announcer
from lycheefall._wire.zmq_sockets import RouterSocket

INBOX_MESSAGES = 50_000
TICK_S = 0.05
METRICS_PREFIX = "lycheefall.entry"
# Other entries may name a draining one for this long: they hear of it from control within a poll
# period, or after a silent connection to control is replaced.
STILL_NAMED_S = 1.5
# Control has a new leader within 2 s of losing one; a proposal is repeated until then.
PROPOSAL_TIMEOUT_S = 4.0


class Parts:
    """The filters of one entry and the inboxes between them."""

    __slots__ = (
        "acceptor",
        "announcer",
        "bookings",
        "client",
        "count",
        "dispatch",
        "incarnation",
        "joins",
        "known_entries",
        "links",
        "proposals",
        "queue",
        "settings",
        "upstreams",
    )

    def __init__(self, settings: EntrySettings, count: Count) -> None:
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
        self.proposals: set[asyncio.Task[None]] = set()
        self.known_entries = Latest(KnownEntries())

    def _from_accept(self, message: Submit | Abandon | FramesRead) -> bool:
        match message:
            case FramesRead():
                return self.dispatch.offer(message)
            case Abandon() | Submit():
                return self.joins.offer(message)

    def from_joins(self, message: Submit | Abandon | ReplyEnd) -> None:
        """Pass on the first try of a booking, and the answer of each try."""
        if isinstance(message, ReplyEnd):
            self._answer(message)
        elif not self.queue.offer(message) and isinstance(message, Submit):
            refusal = refuse(message.call, ResultCode.OVERLOADED, "the queue is full", 1.0)
            self.joins.offer(refusal)

    def from_queue(self, message: FromQueue) -> None:
        """Pass on what the queue filter emits."""
        if isinstance(message, ReplyEnd):
            self.joins.offer(message)
        else:
            self.dispatch.offer(message)

    def from_dispatch(self, message: FromDispatch) -> None:
        """Pass on what the dispatch filter emits."""
        match message:
            case ToLink():
                log_link_message(message, self.count)
                self.links.send(message.upstream, message.message)
            case HedgePlanned():
                loop = asyncio.get_running_loop()
                due = HedgeDue(message.request)
                loop.call_later(message.after_s, self.dispatch.offer, due)
            case HedgeSent():
                log_hedge(message, self.count)
                self.links.send(message.link.upstream, message.link.message)
            case ReplyTokens():
                self.acceptor.reply(message)
            case ReplyEnd():
                self.joins.offer(message)
            case (
                Abandon() | BookingStarted() | BookingPicked() | BookingReply() | BookingLinkLost()
            ):
                self.bookings.offer(message)
            case CallEnded() | Capacity():
                self.queue.offer(message)
            case CrashSeen() | LeaseRequested() | SuspectEnded():
                self._spawn(self._carry(message))

    def from_bookings(self, message: FromBooking) -> None:
        """Pass on what the flows of bookings emit."""
        if isinstance(message, ProposeFor):
            self._spawn(self._propose(message))
            return
        if isinstance(message, DispatchClaimed):
            log_claim(message, self.count)
        self.dispatch.offer(message)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self.proposals.add(task)
        task.add_done_callback(self.proposals.discard)

    async def _carry(self, message: CrashSeen | LeaseRequested | SuspectEnded) -> None:
        match message:
            case CrashSeen():
                await self.dispatch.put(await record_crash(self.client, message))
            case LeaseRequested():
                await self.dispatch.put(await take_lease(self.client, message))
            case SuspectEnded():
                await end_suspect(self.client, message)

    async def _propose(self, proposal: ProposeFor) -> None:
        try:
            result = await self.client.propose(proposal.command, PROPOSAL_TIMEOUT_S)
        except ControlUnavailable:
            result = None
        assert result is None or isinstance(result, ClaimResult | Failed)
        await self.bookings.put(Proposed(proposal.request, proposal.sequence, result))

    def from_upstreams(self, message: UpstreamHeartbeat | UpstreamLeft) -> None:
        """Open and close links, then tell the dispatch filter."""
        if isinstance(message, UpstreamHeartbeat):
            self.links.connect(message.member.upstream, message.member.address)
        else:
            self.links.disconnect(message.upstream)
        self.dispatch.offer(message)

    def from_control(self, message: FromControl) -> bool:
        """Pass on what control says has changed; False when there was no room for it."""
        match message:
            case ConfigurationChanged():
                return self.queue.offer(message) and self.dispatch.offer(message)
            case FingerprintsChanged():
                return self.dispatch.offer(message)
            case EntriesSeen():
                return self.bookings.offer(message) and self.dispatch.offer(message)

    def put_in_force(self, configuration: Configuration) -> None:
        """Check callers' requests against another configuration from now on."""
        self.acceptor.catalogue.publish(build_catalogue(configuration))
        if not self.acceptor.draining:
            self.present(MemberState.READY)
        log(Event.CONFIGURATION_IN_FORCE, revision=configuration.revision)

    def present(self, state: MemberState) -> None:
        """Announce this entry with a state."""
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
        self.acceptor.reply(end)
        log_end(end, self.count)


async def run_entry(
    settings: EntrySettings,
    stop: asyncio.Event,
    on_ready: Callable[[], None] = lambda: None,
    policies: Policies = IN_USE,
) -> None:
    """Run an entry until it is told to stop and its requests have ended."""
    metrics = Metrics(settings.statsd, METRICS_PREFIX)
    parts = Parts(settings, metrics.count)
    parts.present(MemberState.STARTING)
    parts.announcer.set_addresses(set(settings.control))
    announcements = RouterSocket(settings.announce_listen, receive_announce(parts.upstreams.offer))
    drained = asyncio.Event()
    application = build_application(parts.acceptor, directory_answers(parts.known_entries))
    runner = await _listen(settings.listen, application)
    on_changes = changes_receiver(parts.known_entries, parts.from_control, parts.put_in_force)
    log(Event.PROCESS_STARTED, role="entry", listen=settings.listen, incarnation=parts.incarnation)
    on_ready()
    try:
        await run_until(
            drained,
            run_actor(parts.joins, JoinsState(), step_joins, parts.from_joins),
            run_actor(parts.queue, QueueState(), policies.step_queue, parts.from_queue),
            run_actor(parts.dispatch, _calls(parts, policies), step_calls, parts.from_dispatch),
            run_actor(
                parts.bookings,
                BookingsState(parts.incarnation),
                step_bookings,
                parts.from_bookings,
            ),
            run_actor(
                parts.upstreams,
                membership.initial(FORGET_S),
                step_upstreams,
                parts.from_upstreams,
            ),
            tick(parts.queue, Tick(), TICK_S),
            tick(parts.dispatch, Tick(), TICK_S),
            tick(parts.bookings, Tick(), TICK_S),
            tick(parts.upstreams, Tick(), TICK_S),
            _beat(parts.links),
            parts.announcer.run(),
            run_client(parts.client, settings.control, on_changes),
            _drain(stop, parts, runner, drained),
            metrics.run(),
        )
    finally:
        await runner.cleanup()
        parts.links.close()
        announcements.close()
        log(Event.PROCESS_STOPPED, role="entry")


async def _listen(address: Address, application: web.Application) -> web.AppRunner:
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
    await runner.setup()
    try:
        await web.TCPSite(runner, host, int(port), backlog=4096).start()
    except OSError as error:
        await runner.cleanup()
        raise PortInUse(f"can't listen on {address}: {error.strerror}") from error
    return runner


async def _beat(links: Links) -> None:
    while True:
        links.beat()
        await asyncio.sleep(TICK_S)


async def _drain(
    stop: asyncio.Event, parts: Parts, runner: web.AppRunner, drained: asyncio.Event
) -> None:
    """Leave the directory, go on while callers may hold the address, then finish what runs."""
    await stop.wait()
    log(Event.PROCESS_STOPPING, role="entry")
    parts.acceptor.draining = True
    parts.present(MemberState.DRAINING)
    try:
        async with asyncio.timeout(parts.settings.drain_s):
            await asyncio.sleep(STILL_NAMED_S + _ttl_s(parts))
            for site in list(runner.sites):
                await site.stop()
            await parts.acceptor.idle.wait()
    except TimeoutError:
        cut = len(parts.acceptor.replies)
        log(Event.PROCESS_STOPPING, role="entry", detail=f"{cut} requests are still in flight")
    drained.set()


def _ttl_s(parts: Parts) -> float:
    catalogue = parts.acceptor.catalogue.value
    return catalogue.configuration.directory.ttl_s if catalogue else 0.0


def _calls(parts: Parts, policies: Policies) -> CallsState:
    # Entries draw different pairs of upstreams, so that they do not all choose the same ones.
    seed = int(parts.incarnation, 16)
    pick = policies.make_picker()
    return CallsState(parts.settings.instance, pick, policies.spend_retry, seed)
