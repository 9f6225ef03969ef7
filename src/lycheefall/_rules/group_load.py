"""Popularity of experts and slowness of ranks, from the reports of a group."""

import statistics

from msgspec import Struct

from lycheefall._core.messages.groups import RankReport
from lycheefall._rules.placement import blend

# Weight of the newest window in the averages.
WINDOW_WEIGHT = 0.5
# Differences below this are noise of the measurement, and no reason to move weights.
SLOWNESS_NOISE = 0.02


class GroupLoad(Struct):
    """Sums of the open window, and the averages over the windows before."""

    tokens: list[float]
    rank_tokens: list[float]
    rank_busy_s: list[float]
    popularity: list[float] | None
    slowness: list[float]


def initial(experts: int, ranks: int) -> GroupLoad:
    """Return a load without any report."""
    return GroupLoad([0.0] * experts, [0.0] * ranks, [0.0] * ranks, None, [1.0] * ranks)


def observe(load: GroupLoad, report: RankReport) -> GroupLoad:
    """Add the report of a rank to the open window; one of another group size is ignored."""
    if len(report.expert_tokens) != len(load.tokens) or report.rank >= len(load.rank_tokens):
        return load
    for expert, tokens in enumerate(report.expert_tokens):
        load.tokens[expert] += tokens
    load.rank_tokens[report.rank] += sum(report.expert_tokens)
    load.rank_busy_s[report.rank] += report.busy_s
    return load


def close_window(load: GroupLoad) -> GroupLoad:
    """Blend the open window into the averages and begin the next one."""
    total = sum(load.tokens)
    if total > 0:
        share = [tokens / total for tokens in load.tokens]
        known = load.popularity
        load.popularity = share if known is None else blend(known, share, WINDOW_WEIGHT)
        load.slowness = blend(load.slowness, _slowness(load), WINDOW_WEIGHT)
    load.tokens = [0.0] * len(load.tokens)
    load.rank_tokens = [0.0] * len(load.rank_tokens)
    load.rank_busy_s = [0.0] * len(load.rank_busy_s)
    return load


def _slowness(load: GroupLoad) -> list[float]:
    """Return the time per token of each rank as a ratio to the median rank."""
    pairs = list(zip(load.rank_busy_s, load.rank_tokens, strict=True))
    per_token = [busy / tokens for busy, tokens in pairs if tokens > 0 and busy > 0]
    if not per_token:
        return load.slowness
    median_s = statistics.median(per_token)
    sample = list(load.slowness)
    for rank, (busy, tokens) in enumerate(pairs):
        if tokens > 0 and busy > 0:
            ratio = busy / tokens / median_s
            sample[rank] = ratio if abs(ratio - 1.0) > SLOWNESS_NOISE else 1.0
    return sample
