"""Put an expert map in force on all ranks of a group at one pass, or on none.

Orders may get no answer and be carried out seconds later, and nobody checks who gives them. So
the rules are:

- A map is prepared on all ranks before anything else happens.
- A hold on the first rank stops the group before the pass of the switch. Only one hold fits
  there, so it also keeps out a second coordinator.
- All ranks are armed for that pass, and only then may the pass begin. Nothing is taken back:
  whoever finds a held group completes the switch, so that any mixture of orders of two
  coordinators leads to the same map.
- Each order names the count of orders that the rank has accepted. An order that is carried out
  late finds another count and has no effect.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from enum import Enum
from random import Random

from msgspec import Struct, structs

from lycheefall._core.expert_maps import (
    Arm,
    Disarm,
    ExpertMap,
    Go,
    Hold,
    MapVersion,
    PassNumber,
    Prepare,
    RankOrder,
    RankStatus,
)
from lycheefall._core.relay import GroupHealth

# What a rank reports is older than its orders by up to this time.
STATUS_LAG_S = 0.3
STATUS_PERIOD_S = 0.2
# All ranks copy at the same time; a rank that needs longer than this was cut off.
PREPARE_TIMEOUT_S = 5.0
# Time between the hold and the pass of the switch, in which the ranks are armed. The group
# stands still only if that takes longer.
LEAD_S = 0.5
# Bounds of the time that one pass is taken to last.
_MIN_PASS_S = 0.012
_MAX_PASS_S = 0.15
HOLD_ATTEMPTS = 4
# An order that was not answered is carried out within this time, or never.
LATEST_ORDER_S = 13.0
# Versions of two coordinators must differ, or a rank could prepare the other's map.
_VERSION_SPREAD = 1 << 20


class Reply(Enum):
    """What came of an order."""

    TAKEN = "taken"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class Ranks(Struct, frozen=True):
    """How the ranks of a group are reached, in the order of their ranks."""

    count: int
    order: Callable[[int, RankOrder], Awaitable[Reply]]
    status: Callable[[int], Awaitable[RankStatus | None]]


class Rollout(Enum):
    """How a rollout ended."""

    IN_FORCE = "in-force"
    # A rank does not answer, the group is broken, or another switch is under way.
    UNFIT = "unfit"
    NOT_PREPARED = "not-prepared"
    NOT_HELD = "not-held"
    GROUP_LOST = "group-lost"


async def statuses(ranks: Ranks) -> list[RankStatus] | None:
    """Return what all ranks report, or None if one does not answer or they don't fit."""
    found = await asyncio.gather(*(ranks.status(rank) for rank in range(ranks.count)))
    known = [each for each in found if each is not None]
    if len(known) != ranks.count:
        return None
    groups = [each.membership for each in known if each.membership is not None]
    if len(groups) != ranks.count or any(each.health is GroupHealth.BROKEN for each in groups):
        return None
    return known if len({(each.group, each.epoch) for each in groups}) == 1 else None


def next_version(known: Sequence[RankStatus], random: Random) -> MapVersion:
    """Return a version above all that the ranks have had."""
    highest = max(max(each.map_version, each.prepared, each.armed) for each in known)
    return MapVersion(highest + 1 + random.randrange(_VERSION_SPREAD))


async def roll_out(
    ranks: Ranks,
    known: Sequence[RankStatus],
    experts: ExpertMap,
    version: MapVersion,
    copy_s: float,
    pass_s: float,
) -> Rollout:
    """Prepare a map on all ranks, then switch to it."""
    if any(each.held is not None or each.armed for each in known):
        return Rollout.UNFIT
    epoch = _epoch(known)
    expected = await _prepare(ranks, known, experts, version, copy_s)
    if expected is None:
        return Rollout.NOT_PREPARED
    held = await _hold(ranks, epoch, version, pass_s)
    if held is None:
        return Rollout.NOT_HELD
    return await complete(ranks, epoch, version, held, expected)


async def complete(
    ranks: Ranks, epoch: int, version: MapVersion, step: PassNumber, expected: Sequence[int]
) -> Rollout:
    """Arm all ranks for the pass at which the group is held, then let it begin."""
    armed = await asyncio.gather(
        *(
            _arm(ranks, rank, Arm(version=version, step=step, epoch=epoch, expected=count))
            for rank, count in enumerate(expected)
        )
    )
    if not all(armed):
        return Rollout.GROUP_LOST
    return await _go(ranks, epoch, step)


async def release(ranks: Ranks, known: Sequence[RankStatus], held_for_s: float) -> Rollout | None:
    """Complete what a lost coordinator left held; return None where nothing may be done yet."""
    step = known[0].held
    if step is None:
        return None
    versions = {each.armed or each.prepared for each in known}
    if len(versions) == 1 and 0 not in versions:
        expected = [each.sequence for each in known]
        return await complete(ranks, _epoch(known), versions.pop(), step, expected)
    if not any(each.armed for each in known):
        # A hold that was carried out late, after its coordinator gave up before arming.
        return await _go(ranks, _epoch(known), step)
    if held_for_s < LATEST_ORDER_S:
        return None
    await asyncio.gather(
        *(
            ranks.order(
                rank,
                Disarm(version=each.armed, epoch=_epoch(known), expected=each.sequence),
            )
            for rank, each in enumerate(known)
            if each.armed
        )
    )
    return None


def _epoch(known: Sequence[RankStatus]) -> int:
    membership = known[0].membership
    return 0 if membership is None else membership.epoch


async def _prepare(
    ranks: Ranks,
    known: Sequence[RankStatus],
    experts: ExpertMap,
    version: MapVersion,
    copy_s: float,
) -> list[int] | None:
    """Have all ranks copy a map; return the counts of orders that they have accepted then."""
    until_s = asyncio.get_running_loop().time() + copy_s + PREPARE_TIMEOUT_S
    found = await asyncio.gather(
        *(
            _prepare_rank(
                ranks,
                rank,
                Prepare(
                    version=version,
                    experts=experts,
                    epoch=_epoch(known),
                    expected=each.sequence,
                ),
                copy_s,
                until_s,
            )
            for rank, each in enumerate(known)
        )
    )
    counts = [each for each in found if each is not None]
    return counts if len(counts) == ranks.count else None


async def _prepare_rank(
    ranks: Ranks, rank: int, order: Prepare, copy_s: float, until_s: float
) -> int | None:
    """Order one rank until it takes the order, then wait for its copy."""
    loop = asyncio.get_running_loop()
    reply = await ranks.order(rank, order)
    while reply is Reply.UNANSWERED and loop.time() < until_s:
        reply = await ranks.order(rank, order)
    if reply is Reply.TAKEN:
        await asyncio.sleep(copy_s)
    # A refusal after an order without an answer may mean that the first one was taken.
    while loop.time() < until_s:
        await asyncio.sleep(STATUS_PERIOD_S)
        status = await ranks.status(rank)
        if status is None or _epoch([status]) != order.epoch:
            return None
        if status.prepared == order.version:
            return status.sequence
        if status.sequence == order.expected and reply is Reply.REFUSED:
            return None
    return None


async def _hold(ranks: Ranks, epoch: int, version: MapVersion, pass_s: float) -> PassNumber | None:
    """Hold the group before a pass that is far enough ahead; return that pass."""
    pass_s = min(_MAX_PASS_S, max(_MIN_PASS_S, pass_s))
    for attempt in range(HOLD_ATTEMPTS):
        status = await ranks.status(0)
        if status is None or status.prepared != version or status.held is not None:
            return None
        ahead_s = STATUS_LAG_S + LEAD_S * (attempt + 1)
        step = PassNumber(status.step + 2 + int(ahead_s / pass_s))
        order = Hold(step=step, epoch=epoch, expected=status.sequence)
        reply = await ranks.order(0, order)
        if reply is Reply.TAKEN:
            return step
        # The order may still be carried out: with the same count, only one of both can be.
        await asyncio.sleep(STATUS_LAG_S)
        status = await ranks.status(0)
        if status is not None and status.held is not None:
            return status.held if status.prepared == version else None
    return None


async def _arm(ranks: Ranks, rank: int, order: Arm) -> bool:
    """Arm a rank, however often the order is lost; return False once that can't be done."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + LATEST_ORDER_S
    while loop.time() < until_s:
        reply = await ranks.order(rank, order)
        if reply is Reply.TAKEN:
            return True
        if reply is Reply.UNANSWERED:
            continue
        await asyncio.sleep(STATUS_LAG_S)
        status = await ranks.status(rank)
        if status is None or _epoch([status]) != order.epoch:
            return False
        if order.version in (status.armed, status.map_version):
            return True
        order = structs.replace(order, expected=status.sequence)
    return False


async def _go(ranks: Ranks, epoch: int, step: PassNumber) -> Rollout:
    """Let the held pass begin, however often the order is lost."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + LATEST_ORDER_S
    while loop.time() < until_s:
        reply = await ranks.order(0, Go(step=step, epoch=epoch))
        if reply is Reply.TAKEN:
            return Rollout.IN_FORCE
        if reply is Reply.UNANSWERED:
            continue
        await asyncio.sleep(STATUS_LAG_S)
        status = await ranks.status(0)
        if status is None or _epoch([status]) != epoch:
            return Rollout.GROUP_LOST
        if status.held is None:
            return Rollout.IN_FORCE
    return Rollout.GROUP_LOST
