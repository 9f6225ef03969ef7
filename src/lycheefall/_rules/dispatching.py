"""Which request goes to which upstream, which waits, and which is refused.

Answers bursts of one kind of work, upstreams that fail or turn slow, and teams that ask for far
more than others. Requests that can still be in time go first: under more load than there is room
for, serving the oldest first would make all of them late. Each rank gets about the same part of
what it asks for, urgent ones a little more, so that no flood takes everything. A request is
refused as soon as its wait would be too long.
"""

from enum import Enum
from random import Random

from msgspec import Struct, field, structs

from lycheefall._core.ids import DataCentreId, GroupId, InstanceId, PoolId, TeamId, UpstreamId
from lycheefall._core.relay import (
    RelayConfiguration,
    RelayPool,
    RequestKind,
    UpstreamRecord,
    Urgency,
)
from lycheefall._rules import batch_limit, fading, retry_share, seats
from lycheefall._rules.batch_limit import BatchLimit
from lycheefall._rules.fading import Fading
from lycheefall._rules.preferred import EntryPlace, UpstreamPlace, preferred
from lycheefall._rules.record_table import RecordTable, is_usable
from lycheefall._rules.retry_share import RetryBounds, RetryShare
from lycheefall._rules.seats import Seat, Seats

# A rank may fall behind the one before it by this part of what it asks for: a more urgent rank
# goes first, and a less urgent one is never left without places.
RANK_STEP = 0.2
# Time in which the counts of places and requests by rank lose most of their weight.
_SHARE_S = 4.0
# The same for the rate of places.
_RATE_S = 1.5
# A plain service takes this many requests for each of its places: they last for tens of
# milliseconds, and a short queue at the upstream hides the way between.
_SERVICE_DEPTH = 2
# Places of an engine that are left to the entry that uses it first. What other entries have in
# flight is known some hundred milliseconds late: without this, all of them take the place that
# became free, and the requests wait for each other at the engine.
_NEAR_MARGIN = 1
_FAR_MARGIN = 2
# Part of the places that stay free for requests that can be in time: late work that takes the
# last one makes the next request late as well. Known as trunk reservation; see F. P. Kelly, "Loss
# Networks", 1991.
RESERVED_RATIO = 0.2
# Longest wait of a request that will be late, and longest part of its time. Callers that are
# refused soon can come back; one that waits in vain for long is lost.
MAX_LATE_WAIT_S = 1.0
_MAX_WAIT_RATIO = 0.35
_MIN_RETRY_AFTER_S = 0.2
# Callers come back at most after a third of the time that they have left.
_RETRY_AFTER_RATIO = 0.33
# Refused callers are spread over this part of the time after which they may come back.
_RETRY_SPREAD = 0.4
# Without an upstream at all, callers are told to come back after about two announcements.
_NO_UPSTREAM_RETRY_S = 1.0
# A rank that stalls holds up its group until the platform cuts the work off; afterwards the
# group forms anew within about this time.
GROUP_PAUSE_S = 0.8
# An entry that was not heard of for this long counts as having nothing in flight.
_OTHERS_FORGOTTEN_S = 1.5
# Time for which a request keeps its place, until the rate of places is measured.
_USUAL_SERVICE_S = 2.0
# Delay from place to first byte before any was measured.
_FIRST_DELAY_S = 0.1


class RefusalReason(Enum):
    """Why a request got no place."""

    NO_UPSTREAM = "no-upstream"
    QUEUE_FULL = "queue-full"
    EXPIRED = "expired"
    NO_RETRY_LEFT = "no-retry-left"
    ALL_TRIED = "all-tried"


class Ask(Struct, frozen=True, kw_only=True):
    """A request that looks for a place."""

    number: int
    pool: PoolId
    kind: RequestKind
    urgency: Urgency
    team: TeamId | None
    arrived_s: float
    # Its answer earns the full worth until then.
    target_s: float
    # The caller, or the route's time limit, gives up then.
    deadline_s: float
    tried: tuple[UpstreamId, ...] = ()
    is_retry: bool = False


class Place(Struct, frozen=True):
    """Send the request to this upstream."""

    number: int
    record: UpstreamRecord
    # What decided, for the log.
    load: int
    waited_s: float


class Refuse(Struct, frozen=True):
    """Send the request nowhere."""

    number: int
    reason: RefusalReason
    retry_after_s: float
    waiting: int


class Outcome(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    # The upstream refused it and did not run it.
    NOT_RUN = "not-run"
    NOT_CONNECTED = "not-connected"
    LOST = "lost"
    # The upstream answered with a failure of its own.
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


class Ended(Struct, frozen=True):
    """An attempt ended."""

    pool: PoolId
    upstream: UpstreamId
    outcome: Outcome
    # Whether `FirstByte` was told before.
    had_answered: bool = False
    # Whether its group stood still.
    group_stalled: bool = False


class FirstByte(Struct, frozen=True):
    """The answer of an attempt began."""

    pool: PoolId
    upstream: UpstreamId
    delay_s: float


class PauseSeen(Struct, frozen=True):
    """The longest pause between events of a stream lately, against the one that is in time."""

    pool: PoolId
    pause_s: float
    target_s: float


class Withdraw(Struct, frozen=True):
    """The caller of a waiting request left."""

    number: int


Output = Place | Refuse


class Other(Struct, frozen=True):
    """Another entry as it was last heard of."""

    data_centre: DataCentreId
    # None where the word came over a replica that does not know it.
    in_flight: dict[UpstreamId, int] | None
    heard_s: float


class PoolState(Struct, eq=False):
    """Seats of a pool, requests that wait for one, and recent places."""

    seats: Seats = field(default_factory=Seats)
    waiting: list[Ask] = field(default_factory=list)
    # Recent requests and places by rank.
    asked: Fading[Urgency] = field(default_factory=lambda: Fading(_SHARE_S))
    placed: Fading[Urgency] = field(default_factory=lambda: Fading(_SHARE_S))
    # Recent places of all ranks together.
    rate: Fading[None] = field(default_factory=lambda: Fading(_RATE_S))
    in_service: dict[TeamId | None, int] = field(default_factory=dict)
    # Part of an engine's slots that are used, so that its streams don't pause too long.
    batch: BatchLimit = field(default_factory=BatchLimit)
    retries: RetryShare = field(default_factory=RetryShare)


class Dispatching(Struct, eq=False, kw_only=True):
    """All that an entry knows when it decides."""

    instance: InstanceId
    data_centre: DataCentreId
    bounds: RetryBounds
    random: Random
    pools: dict[PoolId, PoolState] = field(default_factory=dict)
    engines: dict[PoolId, RelayPool] = field(default_factory=dict)
    others: dict[InstanceId, Other] = field(default_factory=dict)
    teams: dict[int, tuple[PoolId, TeamId | None]] = field(default_factory=dict)


def use_configuration(state: Dispatching, configuration: RelayConfiguration) -> None:
    """Take what a configuration tells of the pools."""
    state.engines = {pool.name: pool for pool in configuration.pools}


def use_records(state: Dispatching, table: RecordTable) -> None:
    """Take the upstreams that may be used now."""
    usable = {
        held.record.upstream: held.record
        for held in table.held.values()
        if is_usable(table, held.record)
    }
    for pool in state.pools.values():
        for upstream in [each for each in pool.seats.by_id if each not in usable]:
            del pool.seats.by_id[upstream]
    for record in usable.values():
        held = _pool(state, record.pool).seats.by_id
        seat = held.get(record.upstream)
        if seat is None or seat.record.born_ms != record.born_ms:
            held[record.upstream] = Seat(record)
        else:
            seat.record = record
    _prefer(state)
    _count_others(state)


def use_others(state: Dispatching, others: dict[InstanceId, Other], now_s: float) -> None:
    """Take what other entries have in flight."""
    known = set(state.others)
    for entry, heard in others.items():
        held = state.others.get(entry)
        if heard.in_flight is None and held is not None:
            heard = structs.replace(heard, in_flight=held.in_flight)
        state.others[entry] = heard
    for entry, other in list(state.others.items()):
        if now_s - other.heard_s > _OTHERS_FORGOTTEN_S:
            del state.others[entry]
    if known != set(state.others):
        _prefer(state)
    _count_others(state)


def ask(state: Dispatching, message: Ask, now_s: float) -> list[Output]:
    """Place a request, let it wait, or refuse it."""
    pool = _pool(state, message.pool)
    entries = len(state.others) + 1
    retry_share.fill(pool.retries, state.bounds, entries, now_s)
    if message.is_retry:
        if all(each in message.tried for each in pool.seats.by_id):
            return [_refuse(state, message, RefusalReason.ALL_TRIED, now_s)]
        if not retry_share.spend(pool.retries):
            return [_refuse(state, message, RefusalReason.NO_RETRY_LEFT, now_s)]
    else:
        retry_share.earn(pool.retries, state.bounds, entries)
        fading.add(pool.asked, message.urgency, now_s)
    if not pool.seats.by_id:
        return [_refuse(state, message, RefusalReason.NO_UPSTREAM, now_s)]
    pool.waiting.append(message)
    outputs = serve(state, message.pool, now_s)
    if message in pool.waiting and message in _hopeless(pool, now_s):
        pool.waiting.remove(message)
        outputs.append(_refuse(state, message, RefusalReason.QUEUE_FULL, now_s))
    return outputs


def withdraw(state: Dispatching, message: Withdraw) -> None:
    """Forget a waiting request."""
    for pool in state.pools.values():
        pool.waiting = [each for each in pool.waiting if each.number != message.number]


def first_byte(state: Dispatching, message: FirstByte, now_s: float) -> None:
    """Learn how fast an upstream answers."""
    pool = _pool(state, message.pool)
    seat = pool.seats.by_id.get(message.upstream)
    if seat is not None:
        seat.unanswered = max(0, seat.unanswered - 1)
        seats.note_delay(pool.seats, seat, message.delay_s, now_s)


def pause_seen(state: Dispatching, message: PauseSeen, now_s: float) -> None:
    """Learn whether the batches of a pool's engines are too large."""
    ratio = message.pause_s / message.target_s
    batch_limit.observe(_pool(state, message.pool).batch, ratio, now_s)


def ended(state: Dispatching, message: Ended, now_s: float) -> list[Output]:
    """Free the place of an attempt, learn from its outcome and serve who waits."""
    pool = _pool(state, message.pool)
    seat = pool.seats.by_id.get(message.upstream)
    if seat is None:
        return serve(state, message.pool, now_s)
    seat.own = max(0, seat.own - 1)
    if not message.had_answered:
        seat.unanswered = max(0, seat.unanswered - 1)
    match message.outcome:
        case Outcome.ANSWERED:
            seats.note_outcome(seat, False, now_s)
        case Outcome.NOT_CONNECTED:
            seats.note_outcome(seat, True, now_s)
            seats.suspend(seat, now_s)
        case Outcome.LOST | Outcome.TIMED_OUT | Outcome.FAILED | Outcome.NOT_RUN:
            seats.note_outcome(seat, True, now_s)
        case Outcome.CANCELLED:
            pass
    if message.group_stalled:
        _pause_group(pool, seat, now_s)
    return serve(state, message.pool, now_s)


def team_done(state: Dispatching, number: int) -> None:
    """Take a placed request out of the count of its team."""
    pool, team = state.teams.pop(number, (None, None))
    if pool is not None:
        counts = _pool(state, pool).in_service
        counts[team] = counts.get(team, 1) - 1
        if counts[team] <= 0:
            del counts[team]


def tick(state: Dispatching, now_s: float) -> list[Output]:
    """Refuse requests whose time is over, and serve those that wait."""
    outputs: list[Output] = []
    for name, pool in state.pools.items():
        outputs += serve(state, name, now_s)
        for message in _hopeless(pool, now_s):
            pool.waiting.remove(message)
            outputs.append(_refuse(state, message, RefusalReason.EXPIRED, now_s))
    return outputs


def serve(state: Dispatching, name: PoolId, now_s: float) -> list[Output]:
    """Give free places to the requests that wait."""
    pool = _pool(state, name)
    outputs: list[Output] = []
    while pool.waiting:
        placed = _serve_one(state, name, pool, now_s)
        if placed is None:
            break
        outputs.append(placed)
    return outputs


def in_flight(state: Dispatching) -> dict[UpstreamId, int]:
    """Return the attempts in flight of this entry."""
    return {
        seat.record.upstream: seat.own
        for pool in state.pools.values()
        for seat in pool.seats.by_id.values()
        if seat.own
    }


def pressure(state: Dispatching, name: PoolId) -> float:
    """Return the part of a pool's places that are in use, over 1 where requests wait."""
    pool = _pool(state, name)
    slots = sum(max(1, seat.record.slots) for seat in pool.seats.by_id.values())
    used = sum(seats.load_of(seat) for seat in pool.seats.by_id.values()) + len(pool.waiting)
    return used / max(1, slots)


def places_of(state: Dispatching, seat: Seat) -> int:
    """Return how many attempts an upstream should have in flight."""
    pool = state.engines.get(seat.record.pool)
    if pool is not None and pool.engine is not None:
        slots = max(1, seat.record.slots or pool.engine.slots)
        slots = batch_limit.places(_pool(state, seat.record.pool).batch, slots)
        if seat.distance == 0:
            return slots
        margin = _NEAR_MARGIN if seats.is_near(seat) else _FAR_MARGIN
        return max(1, slots - margin)
    return max(1, seat.record.slots) * _SERVICE_DEPTH


def _serve_one(state: Dispatching, name: PoolId, pool: PoolState, now_s: float) -> Place | None:
    for message in _ordered(pool, now_s):
        if _is_late(pool, message, now_s) and not _has_room_for_late(state, name, pool):
            return None
        seat = seats.choose(
            pool.seats.by_id.values(),
            lambda each: places_of(state, each),
            message.tried,
            state.data_centre,
            now_s,
            state.random,
        )
        if seat is None:
            # Only requests that tried other upstreams can still find a place.
            if message.tried:
                continue
            return None
        pool.waiting.remove(message)
        seat.own += 1
        seat.unanswered += 1
        fading.add(pool.placed, message.urgency, now_s)
        fading.add(pool.rate, None, now_s)
        pool.in_service[message.team] = pool.in_service.get(message.team, 0) + 1
        state.teams[message.number] = (name, message.team)
        load = seats.load_of(seat)
        return Place(message.number, seat.record, load, now_s - message.arrived_s)
    return None


def _has_room_for_late(state: Dispatching, name: PoolId, pool: PoolState) -> bool:
    """Tell whether late work leaves places for requests that can be in time.

    A plain service takes more than it runs at once, so it has no places to keep free.
    """
    engines = state.engines.get(name)
    if engines is None or engines.engine is None:
        return True
    seated = list(pool.seats.by_id.values())
    near = [seat for seat in seated if seat.distance == 0] or seated
    places = [places_of(state, seat) for seat in near]
    free = sum(
        max(0, count - seats.load_of(seat)) for count, seat in zip(places, near, strict=True)
    )
    return free > RESERVED_RATIO * sum(places)


def _ordered(pool: PoolState, now_s: float) -> list[Ask]:
    """Return who waits, the next one first."""
    asked = sorted(fading.values(pool.asked, now_s).items())
    served = {
        urgency: fading.value(pool.placed, urgency, now_s) / count + RANK_STEP * step
        for step, (urgency, count) in enumerate(asked)
    }

    def order(message: Ask) -> tuple[bool, float, int, float]:
        in_service = pool.in_service.get(message.team, 0)
        share = served.get(message.urgency, 0.0)
        return _is_late(pool, message, now_s), share, in_service, message.arrived_s

    return sorted(pool.waiting, key=order)


def _is_late(pool: PoolState, message: Ask, now_s: float) -> bool:
    """Tell whether an answer that began as soon as possible would miss the target."""
    return now_s + (pool.seats.delay_s or _FIRST_DELAY_S) > message.target_s


def _hopeless(pool: PoolState, now_s: float) -> list[Ask]:
    """Return who gets no place soon enough, judged by the places given lately.

    A request that has become late stands behind all that are not, so this is judged again and
    again. Who leaves makes room for those behind.
    """
    period_s = 1.0 / _places_per_s(pool, now_s)
    hopeless: list[Ask] = []
    starts_s = now_s
    for message in _ordered(pool, now_s):
        if starts_s + period_s > _latest_start_s(pool, message, now_s):
            hopeless.append(message)
        else:
            starts_s += period_s
    return hopeless


def _places_per_s(pool: PoolState, now_s: float) -> float:
    """Return how many places become free here: as measured, or as the slots let expect."""
    slots = sum(seat.record.slots for seat in pool.seats.by_id.values() if seat.distance == 0)
    return max(1.0, slots / _USUAL_SERVICE_S, fading.value(pool.rate, None, now_s) / _RATE_S)


def _latest_start_s(pool: PoolState, message: Ask, now_s: float) -> float:
    """Return until when a request may get a place: in time, or soon after it came."""
    longest_s = (message.deadline_s - message.arrived_s) * _MAX_WAIT_RATIO
    in_time_s = message.target_s - (pool.seats.delay_s or _FIRST_DELAY_S)
    return max(in_time_s, message.arrived_s + min(longest_s, MAX_LATE_WAIT_S))


def _refuse(state: Dispatching, message: Ask, reason: RefusalReason, now_s: float) -> Refuse:
    pool = _pool(state, message.pool)
    left_s = max(0.0, message.deadline_s - now_s)
    if reason is RefusalReason.NO_UPSTREAM:
        wait_s = _NO_UPSTREAM_RETRY_S
    else:
        wait_s = (len(pool.waiting) + 1) / _places_per_s(pool, now_s)
    wait_s = max(_MIN_RETRY_AFTER_S, min(wait_s, left_s * _RETRY_AFTER_RATIO))
    spread = 1.0 - _RETRY_SPREAD * state.random.random()
    return Refuse(message.number, reason, round(wait_s * spread, 2), len(pool.waiting))


def _pause_group(pool: PoolState, seat: Seat, now_s: float) -> None:
    group: GroupId | None = None if seat.record.group is None else seat.record.group.group
    if group is None:
        seats.suspend(seat, now_s)
    else:
        seats.suspend_group(pool.seats, group, now_s + GROUP_PAUSE_S)


def _pool(state: Dispatching, name: PoolId) -> PoolState:
    pool = state.pools.get(name)
    if pool is None:
        pool = state.pools[name] = PoolState()
    return pool


def _prefer(state: Dispatching) -> None:
    entries = [EntryPlace(name, other.data_centre) for name, other in state.others.items()]
    entries.append(EntryPlace(state.instance, state.data_centre))
    order = sorted(each.entry for each in entries)
    for pool in state.pools.values():
        owners = preferred(
            entries,
            [
                UpstreamPlace(seat.record.upstream, seat.record.data_centre)
                for seat in pool.seats.by_id.values()
            ],
        )
        for seat in pool.seats.by_id.values():
            owner = owners.get(seat.record.upstream, state.instance)
            seat.distance = (order.index(owner) - order.index(state.instance)) % len(order)


def _count_others(state: Dispatching) -> None:
    for pool in state.pools.values():
        for upstream, seat in pool.seats.by_id.items():
            seat.others = sum(
                (other.in_flight or {}).get(upstream, 0) for other in state.others.values()
            )
