"""Switch all ranks of a group to an expert map at the same pass, or none of them.

All ranks run their passes in lockstep. Orders may remain unanswered and be carried out seconds
later, and ranks do not check which coordinator sends them. The protocol is therefore:

- All ranks accept the order to prepare a map before any other step.
- A hold on the first rank stops the group before the pass of the switch. The rank accepts only
  one hold, which also excludes a second coordinator.
- All ranks are armed for that pass, and only then may the pass begin. Nothing is rolled back:
  a coordinator that finds a held group completes the switch, so that any interleaving of the
  orders of two coordinators leads to the same map.
- An order that is carried out late finds a later map or a pass that has begun, and has no effect;
  or the group is still held for exactly this order. Each order also names the epoch of the group.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from enum import Enum
from math import ceil, log
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

# Reports of a rank lag behind the orders that it carried out by up to this time.
STATUS_LAG_S = 0.3
# All ranks copy in parallel. A rank that has not accepted the order by then counts as lost.
PREPARE_TIMEOUT_S = 3.0
# Margin added to the transfer time of a copy on an idle link.
COPY_MARGIN_S = 0.05
# Lower bound of the assumed duration of a pass.
_MIN_PASS_S = 0.012
# Passes between the current one and the held one: the next pass may begin before the order
# arrives. Each refused attempt adds this lead again.
HOLD_LEAD_PASSES = 2
HOLD_ATTEMPTS = 4
# If orders get lost, the hold is placed far enough ahead that all ranks are probably armed before
# that pass: a stalled group makes all its streams late. These are the accepted ratio of switches
# that stall the group, and the most rounds of orders that are planned for.
_STALL_RATIO = 0.1
_MAX_ROUNDS = 8
# A rank that refuses to be armed may still be copying; the group is stalled meanwhile, so the
# order is retried quickly.
ARM_RETRY_S = 0.02
_FAST_ARM_RETRIES = 5
# An unanswered order is carried out within this time or not at all.
ORDER_EXPIRY_S = 13.0
# Time after which a held switch counts as abandoned. A live coordinator needs a fraction of it
# from the hold to the last rank.
PREPARED_TAKEOVER_S = 0.6
ARMED_TAKEOVER_S = 1.5
# Versions are drawn at random from this range: two coordinators must not use the same one, or a
# rank could prepare the other's map.
_VERSION_SPREAD = 1 << 20


class Reply(Enum):
    """The reply of a rank to an order."""

    TAKEN = "taken"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class RankClient(Struct, frozen=True):
    """Calls to the ranks of a group, by rank number."""

    count: int
    order: Callable[[int, RankOrder], Awaitable[Reply]]
    status: Callable[[int], Awaitable[RankStatus | None]]
    # The pass that a rank runs now; the one in a status report is older.
    current_pass: Callable[[int], Awaitable[PassNumber | None]]
    # An order without an answer counts as lost after this time.
    timeout_s: float


class RolloutResult(Enum):
    """The result of a rollout."""

    # The group switched to the map.
    IN_FORCE = "in-force"
    # A rank does not answer, the group is broken, or another switch is under way.
    UNFIT = "unfit"
    # A rank did not accept the map, or the group could not be held; no rank was armed.
    NOT_PREPARED = "not-prepared"
    NOT_HELD = "not-held"
    # The switch could not be completed; the group may still be held.
    GROUP_LOST = "group-lost"


async def statuses(ranks: RankClient) -> list[RankStatus] | None:
    """Return the status of all ranks, or None if they are not one complete, healthy group."""
    found = await asyncio.gather(*(ranks.status(rank) for rank in range(ranks.count)))
    known = [each for each in found if each is not None]
    if len(known) != ranks.count:
        return None
    groups = [each.membership for each in known if each.membership is not None]
    if len(groups) != ranks.count or any(each.health is GroupHealth.BROKEN for each in groups):
        return None
    return known if len({(each.group, each.epoch) for each in groups}) == 1 else None


def next_version(highest: MapVersion, random: Random) -> MapVersion:
    """Return a random version above the highest one of the ranks."""
    return MapVersion(highest + 1 + random.randrange(_VERSION_SPREAD))


async def roll_out(
    ranks: RankClient,
    first: RankStatus,
    experts: ExpertMap,
    version: MapVersion,
    copy_s: float,
    pass_s: float,
    may_continue: Callable[[], bool],
) -> RolloutResult:
    """Prepare a map on all ranks, then switch to it; `first` is the status of the first rank.

    `copy_s` is the expected time to copy the experts, and `pass_s` the duration of a pass.

    `may_continue` returns False if the process was suspended meanwhile: another coordinator may
    have taken over.
    """
    if first.paused_before is not None or first.armed:
        return RolloutResult.UNFIT
    epoch = _epoch(first)
    prepare = Prepare(version=version, experts=experts, epoch=epoch, expected=first.sequence)
    lost = await _prepare_all(ranks, prepare)
    if lost is None:
        return RolloutResult.NOT_PREPARED
    loop = asyncio.get_running_loop()
    lead_s = _planned_rounds(ranks.count, lost) * ranks.timeout_s
    copied_s = loop.time() + copy_s + COPY_MARGIN_S
    # Time the hold so that the held pass begins about when the copies are complete.
    await asyncio.sleep(max(0.0, copied_s - pass_s - lead_s - loop.time()))
    lead = HOLD_LEAD_PASSES + ceil(lead_s / max(pass_s, _MIN_PASS_S))
    held_pass = await _hold(ranks, epoch, first.sequence, lead, may_continue)
    if held_pass is None:
        return RolloutResult.NOT_HELD
    await asyncio.sleep(max(0.0, copied_s - loop.time()))
    return await complete_switch(ranks, epoch, version, held_pass, [first.sequence] * ranks.count)


async def complete_switch(
    ranks: RankClient,
    epoch: int,
    version: MapVersion,
    held_pass: PassNumber,
    expected: Sequence[int],
) -> RolloutResult:
    """Arm all ranks for the held pass, then release it.

    `expected` are the sequence numbers that the ranks are expected to have, by rank.
    """
    armed = await asyncio.gather(
        *(
            _arm(ranks, rank, Arm(version=version, step=held_pass, epoch=epoch, expected=sequence))
            for rank, sequence in enumerate(expected)
        )
    )
    if not all(armed):
        return RolloutResult.GROUP_LOST
    return await _go(ranks, epoch, held_pass)


async def complete_abandoned_switch(
    ranks: RankClient,
    known: Sequence[RankStatus],
    in_force: ExpertMap,
    version: MapVersion,
    held_for_s: float,
) -> RolloutResult | None:
    """Complete a switch that was left held; return None if it can't be completed yet.

    If the ranks don't all have the same map prepared, the map in force is prepared again on all
    of them. After that, no order of an earlier coordinator can arm a rank.
    """
    held_pass = known[0].paused_before
    if held_pass is None:
        return None
    epoch = _epoch(known[0])
    expected = [each.sequence for each in known]
    versions = {each.armed or each.prepared for each in known}
    if len(versions) == 1 and 0 not in versions:
        return await complete_switch(ranks, epoch, versions.pop(), held_pass, expected)
    armed = [rank for rank, each in enumerate(known) if each.armed]
    if held_for_s < (ARMED_TAKEOVER_S if armed else PREPARED_TAKEOVER_S):
        return None
    for rank in armed:
        order = Disarm(version=known[rank].armed, epoch=epoch, expected=expected[rank])
        if await ranks.order(rank, order) is not Reply.TAKEN:
            return None
    prepare = Prepare(version=version, experts=in_force, epoch=epoch, expected=expected[0])
    if await _prepare_all(ranks, prepare) is None:
        return None
    await asyncio.sleep(COPY_MARGIN_S)
    return await complete_switch(ranks, epoch, version, held_pass, expected)


def _epoch(status: RankStatus) -> int:
    return 0 if status.membership is None else status.membership.epoch


def _planned_rounds(count: int, lost: int) -> int:
    """Return the rounds of orders that probably reach all ranks, and then the first rank once more.

    `lost` is the number of orders that were lost before `count` ranks had accepted one.
    """
    if not lost:
        return 0
    ratio = lost / (count + lost)
    return min(_MAX_ROUNDS, 1 + ceil(log(_STALL_RATIO / count) / log(ratio)))


async def _prepare_all(ranks: RankClient, order: Prepare) -> int | None:
    """Order all ranks to copy a map; return the number of lost orders, or None on failure."""
    found = await asyncio.gather(*(_prepare(ranks, rank, order) for rank in range(ranks.count)))
    lost = [each for each in found if each is not None]
    return sum(lost) if len(lost) == ranks.count else None


async def _prepare(ranks: RankClient, rank: int, order: Prepare) -> int | None:
    """Order one rank to copy a map; return the number of lost orders, or None on failure."""
    deadline_s = asyncio.get_running_loop().time() + PREPARE_TIMEOUT_S
    lost = 0
    while asyncio.get_running_loop().time() < deadline_s:
        reply = await ranks.order(rank, order)
        if reply is Reply.TAKEN:
            return lost
        if reply is Reply.REFUSED and not lost:
            return None
        if reply is Reply.REFUSED:
            # The first order may have been accepted although its answer was lost.
            await asyncio.sleep(STATUS_LAG_S)
            status = await ranks.status(rank)
            if status is None or _epoch(status) != order.epoch:
                return None
            if status.prepared == order.version:
                return lost
        lost += 1
    return None


async def _hold(
    ranks: RankClient,
    epoch: int,
    expected: int,
    lead: int,
    may_continue: Callable[[], bool],
) -> PassNumber | None:
    """Hold the group before a pass `lead` passes ahead; return that pass, or None on failure.

    No attempt is made once another coordinator may have taken over: it may have prepared a later
    map, so the group would stay held until that coordinator releases it.
    """
    for attempt in range(HOLD_ATTEMPTS):
        current_pass = await ranks.current_pass(0)
        if current_pass is None or not may_continue():
            return None
        step = PassNumber(current_pass + lead + HOLD_LEAD_PASSES * attempt)
        reply = await ranks.order(0, Hold(step=step, epoch=epoch, expected=expected))
        if reply is Reply.TAKEN:
            return step
        if reply is Reply.REFUSED:
            # The pass has begun, or another coordinator holds the group.
            continue
        # The order may have been carried out although its answer was lost.
        await asyncio.sleep(STATUS_LAG_S)
        status = await ranks.status(0)
        if status is None or _epoch(status) != epoch:
            return None
        if status.paused_before is not None:
            return status.paused_before if status.paused_before == step else None
    return None


async def _arm(ranks: RankClient, rank: int, order: Arm) -> bool:
    """Arm a rank, retrying lost orders; return False if the rank can no longer be armed."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + ORDER_EXPIRY_S
    refused = 0
    while loop.time() < deadline_s:
        reply = await ranks.order(rank, order)
        if reply is Reply.TAKEN:
            return True
        if reply is Reply.UNANSWERED:
            continue
        refused += 1
        if refused <= _FAST_ARM_RETRIES:
            await asyncio.sleep(ARM_RETRY_S)
            continue
        await asyncio.sleep(STATUS_LAG_S)
        status = await ranks.status(rank)
        if status is None or _epoch(status) != order.epoch:
            return False
        if order.version in (status.armed, status.map_version):
            return True
        if status.prepared not in (0, order.version):
            # Another coordinator took over and prepared a later map.
            return False
        order = structs.replace(order, expected=status.sequence)
    return False


async def _go(ranks: RankClient, epoch: int, held_pass: PassNumber) -> RolloutResult:
    """Release the held pass, retrying lost orders."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + ORDER_EXPIRY_S
    while loop.time() < deadline_s:
        reply = await ranks.order(0, Go(step=held_pass, epoch=epoch))
        if reply is Reply.TAKEN:
            return RolloutResult.IN_FORCE
        if reply is Reply.UNANSWERED:
            continue
        await asyncio.sleep(STATUS_LAG_S)
        status = await ranks.status(0)
        if status is None or _epoch(status) != epoch:
            return RolloutResult.GROUP_LOST
        if status.paused_before is None:
            return RolloutResult.IN_FORCE
    return RolloutResult.GROUP_LOST
