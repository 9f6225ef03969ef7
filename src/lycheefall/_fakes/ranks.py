"""A fake of a group of ranks that steps in lock-step on an expert map."""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Sequence

from msgspec import Struct, field

from lycheefall._core.ids import RankId, StepNumber
from lycheefall._core.messages.groups import Placement, StepDone, StepEntered

DAY_S = 86_400.0
# Popularity falls with the place of an expert in the order as a power of it.
ZIPF_EXPONENT = 0.6
# How far an expert's popularity rises and falls within a day, in powers of e.
DRIFT_AMPLITUDE = 0.8
NO_SLOWDOWN = 1.0


class DailyPopularity(Struct, frozen=True):
    """A seeded day of expert popularity."""

    base: tuple[float, ...]
    phase: tuple[float, ...]
    length_s: float = DAY_S


class Step(Struct, frozen=True):
    """One lock-step of the group; times are those of the experts alone."""

    number: StepNumber
    rank_s: tuple[float, ...]

    @property
    def skew_ratio(self) -> float:
        """Return the slowest rank as a ratio to the mean."""
        return max(self.rank_s) * len(self.rank_s) / sum(self.rank_s)


class RankGroup(Struct):
    """What the fake group knows: speeds, load and the steps done."""

    daily_popularity: DailyPopularity
    ranks: int
    tokens_per_step: float
    seconds_per_token: float
    # Slowdown of the ranks that stall.
    slowdown: dict[RankId, float] = field(default_factory=dict)
    next_step: StepNumber = StepNumber(0)


EnterStep = Callable[[RankId, StepNumber], Awaitable[StepEntered]]
ReportStep = Callable[[RankId, StepDone], None]


def make_daily_popularity(experts: int, seed: int, length_s: float = DAY_S) -> DailyPopularity:
    """Return a day whose popular experts are chosen by a seed."""
    rng = random.Random(seed)
    base = [1.0 / (place + 1) ** ZIPF_EXPONENT for place in range(experts)]
    rng.shuffle(base)
    phase = [rng.uniform(0.0, 2 * math.pi) for _ in range(experts)]
    return DailyPopularity(tuple(base), tuple(phase), length_s)


def popularity(daily_popularity: DailyPopularity, at_s: float) -> list[float]:
    """Return the share of the tokens that goes to each expert at a time of the day."""
    angle = 2 * math.pi * at_s / daily_popularity.length_s
    unnormalised = [
        b * math.exp(DRIFT_AMPLITUDE * math.sin(angle + p))
        for b, p in zip(daily_popularity.base, daily_popularity.phase, strict=True)
    ]
    total = sum(unnormalised)
    return [each / total for each in unnormalised]


def run_step(group: RankGroup, placements: Sequence[Placement], at_s: float) -> Step:
    """Return the step that follows; each rank has the map that it entered the step with."""
    if any(each != placements[0] for each in placements):
        raise ValueError(f"unequal maps in step {group.next_step}")
    tokens = expert_tokens(group, at_s)
    rank_s = [0.0] * group.ranks
    for expert, ranks in enumerate(placements[0]):
        share_s = tokens[expert] / len(ranks) * group.seconds_per_token
        for rank in ranks:
            rank_s[rank] += share_s * group.slowdown.get(rank, NO_SLOWDOWN)
    step = Step(group.next_step, tuple(rank_s))
    group.next_step = StepNumber(group.next_step + 1)
    return step


def expert_tokens(group: RankGroup, at_s: float) -> list[float]:
    """Return the tokens that each expert gets in a step."""
    return [group.tokens_per_step * share for share in popularity(group.daily_popularity, at_s)]


def tokens_on(rank: RankId, placement: Placement, tokens: Sequence[float]) -> tuple[float, ...]:
    """Return the tokens that a rank computes for each expert."""
    return tuple(
        tokens[expert] / len(ranks) if rank in ranks else 0.0
        for expert, ranks in enumerate(placement)
    )


async def run_group(group: RankGroup, enter_step: EnterStep, report_step: ReportStep) -> None:
    """Run steps on the loop's clock; a step begins when every rank has entered it."""
    loop = asyncio.get_running_loop()
    while True:
        number = group.next_step
        requests = [enter_step(RankId(rank), number) for rank in range(group.ranks)]
        entered = await asyncio.gather(*requests)
        at_s = loop.time()
        step = run_step(group, [each.placement for each in entered], at_s)
        await asyncio.sleep(max(step.rank_s))
        tokens = expert_tokens(group, at_s)
        for each in range(group.ranks):
            rank_tokens = tokens_on(RankId(each), entered[each].placement, tokens)
            report_step(RankId(each), StepDone(number, rank_tokens, step.rank_s[each]))
