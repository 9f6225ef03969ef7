"""Popularity of experts and slowness of ranks, estimated from the reports of a group."""

import statistics

from msgspec import Struct

from lycheefall._core.messages.groups import RankReport
from lycheefall._rules.placement import blend

# Weight of the newest window in the averages.
WINDOW_WEIGHT = 0.5
# Deviations from the median up to this ratio are measurement noise and don't justify moves.
SLOWNESS_NOISE = 0.02


class GroupLoad(Struct):
    """Sums of the current window, and moving averages of the previous windows."""

    # Tokens of the current window by expert and by rank, and the computing time by rank.
    tokens: list[float]
    rank_tokens: list[float]
    rank_busy_s: list[float]
    # Fraction of the tokens that each expert computes; None before the first window with tokens.
    popularity: list[float] | None
    # Time per token of each rank relative to the median.
    slowness: list[float]


def initial(experts: int, ranks: int) -> GroupLoad:
    """Return the load of a group before its first report."""
    return GroupLoad([0.0] * experts, [0.0] * ranks, [0.0] * ranks, None, [1.0] * ranks)


def observe(load: GroupLoad, report: RankReport) -> GroupLoad:
    """Add a rank's report to the current window; ignore one that doesn't match the group size."""
    if len(report.expert_tokens) != len(load.tokens) or report.rank >= len(load.rank_tokens):
        return load
    for expert, tokens in enumerate(report.expert_tokens):
        load.tokens[expert] += tokens
    load.rank_tokens[report.rank] += sum(report.expert_tokens)
    load.rank_busy_s[report.rank] += report.busy_s
    return load


def close_window(load: GroupLoad) -> GroupLoad:
    """Update the averages from the current window and start the next one."""
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
    """Return the time per token of each rank relative to the median."""
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
