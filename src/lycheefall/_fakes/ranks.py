"""Fake of a group of ranks that run steps in lockstep with one expert map."""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Sequence

from msgspec import Struct, field

from lycheefall._core.ids import RankId, StepNumber
from lycheefall._core.messages.groups import Placement, StepDone, StepEntered

DAY_S = 86_400.0
# The popularity of the n-th most popular expert is proportional to 1 / n**ZIPF_EXPONENT.
ZIPF_EXPONENT = 0.6
# Amplitude of the daily drift of the popularity, in natural log units.
DRIFT_AMPLITUDE = 0.8
NO_SLOWDOWN = 1.0


class DailyPopularity(Struct, frozen=True):
    """Daily curve of the popularity of each expert: its base weight and the phase of its drift."""

    base: tuple[float, ...]
    phase: tuple[float, ...]
    length_s: float = DAY_S


class Step(Struct, frozen=True):
    """One lockstep of the group; `rank_s` is the time of expert computation on each rank."""

    number: StepNumber
    rank_s: tuple[float, ...]

    @property
    def skew_ratio(self) -> float:
        """Return the ratio of the time of the slowest rank to the mean time."""
        return max(self.rank_s) * len(self.rank_s) / sum(self.rank_s)


class RankGroup(Struct):
    """Load and speed of the group, and the number of its next step."""

    daily_popularity: DailyPopularity
    ranks: int
    tokens_per_step: float
    seconds_per_token: float
    # Factor on the step time of each slowed rank.
    slowdown: dict[RankId, float] = field(default_factory=dict)
    next_step: StepNumber = StepNumber(0)


# Waits until a rank may enter a step, and returns the map of the step.
EnterStep = Callable[[RankId, StepNumber], Awaitable[StepEntered]]
# Reports the tokens and the computing time of a rank in a step.
ReportStep = Callable[[RankId, StepDone], None]


def make_daily_popularity(experts: int, seed: int, length_s: float = DAY_S) -> DailyPopularity:
    """Return a daily popularity curve with seeded popular experts and phases."""
    rng = random.Random(seed)
    base = [1.0 / (index + 1) ** ZIPF_EXPONENT for index in range(experts)]
    rng.shuffle(base)
    phase = [rng.uniform(0.0, 2 * math.pi) for _ in range(experts)]
    return DailyPopularity(tuple(base), tuple(phase), length_s)


def popularity(daily_popularity: DailyPopularity, at_s: float) -> list[float]:
    """Return the share of the tokens that each expert receives at a time of the day."""
    angle = 2 * math.pi * at_s / daily_popularity.length_s
    unnormalised = [
        weight * math.exp(DRIFT_AMPLITUDE * math.sin(angle + phase))
        for weight, phase in zip(daily_popularity.base, daily_popularity.phase, strict=True)
    ]
    total = sum(unnormalised)
    return [each / total for each in unnormalised]


def run_step(group: RankGroup, placements: Sequence[Placement], at_s: float) -> Step:
    """Run the next step, given the map of each rank; raise ValueError if the maps differ."""
    if any(each != placements[0] for each in placements):
        raise ValueError(f"expert maps differ between ranks in step {group.next_step}")
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
    """Return the number of tokens that each expert receives in a step."""
    return [group.tokens_per_step * share for share in popularity(group.daily_popularity, at_s)]


def tokens_on(rank: RankId, placement: Placement, tokens: Sequence[float]) -> tuple[float, ...]:
    """Return the number of tokens that a rank computes for each expert."""
    return tuple(
        tokens[expert] / len(ranks) if rank in ranks else 0.0
        for expert, ranks in enumerate(placement)
    )


async def run_group(group: RankGroup, enter_step: EnterStep, report_step: ReportStep) -> None:
    """Run steps in real time until cancelled; a step starts when all ranks have entered it."""
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
