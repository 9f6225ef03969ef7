"""Estimate the duration of passes by batch size, from the performance model of an engine.

The estimate limits the batches of a group until the pauses of its streams are observed.
"""

from lycheefall._core.ids import PoolId
from lycheefall._core.relay import EngineModel, RelayConfiguration

# Load of the most loaded rank of a group relative to the mean, right after a shift of expert
# demand: 2.5 to 3.1 in simulated days, until a new map is in force.
SHIFTED_SKEW = 2.7
# Factor by which passes are longer while ranks copy experts, as declared by the platform.
COPYING_RATIO = 1.15
# Upper bound of an observed ratio: a longer pass has another cause than the demand for experts.
_MAX_RATIO = 6.0
# Fraction of the pause target available to a pass; the rest is for concurrent prefill.
_PAUSE_BUDGET_RATIO = 0.9
# Below half of its slots, an engine loses more throughput than the shorter pauses are worth.
MIN_USABLE_SHARE = 0.5


def longest_pass_s(engine: EngineModel, requests: int) -> float:
    """Return the duration of a pass right after a shift, with this many requests per rank."""
    work_share = 0.0 if engine.layout is None else engine.layout.work_share
    skew = 1.0 if engine.layout is None else SHIFTED_SKEW * COPYING_RATIO
    return pass_s(engine, requests, 1.0 - work_share + work_share * skew)


def pass_s(engine: EngineModel, requests: float, ratio: float) -> float:
    """Return the duration of a pass with this many requests per rank.

    `ratio` is the time for the requests relative to that with an even load of the experts.
    """
    work_s = requests * _request_s(engine) * ratio
    return max(1, engine.steps_per_pass) * (engine.step_s + work_s)


def observed_ratio(engine: EngineModel, requests: float, observed_s: float) -> float:
    """Return the ratio with which passes of this many requests per rank take the observed time."""
    work_s = observed_s / max(1, engine.steps_per_pass) - engine.step_s
    even_s = requests * _request_s(engine)
    return min(_MAX_RATIO, max(1.0, work_s / even_s)) if even_s > 0.0 else 1.0


def settled_pass_s(engine: EngineModel, requests_per_pass_s: float, ratio: float) -> float:
    """Return the duration of a pass once the number of running requests has settled.

    Longer passes make each request run for longer, so more of them run at once, up to the slots.
    `requests_per_pass_s` is the number of running requests per rank for each second of a pass; it
    depends on the arrivals only.
    """
    full_s = pass_s(engine, engine.slots, ratio)
    growth = max(1, engine.steps_per_pass) * _request_s(engine) * ratio * requests_per_pass_s
    return full_s if growth >= 1.0 else min(full_s, pass_s(engine, 0, ratio) / (1.0 - growth))


def _request_s(engine: EngineModel) -> float:
    """Return the time of a step for each request, with an even load of the experts."""
    context = engine.usual_prompt_tokens + engine.usual_answer_tokens / 2
    return engine.step_per_request_s + engine.step_per_context_token_s * context


def usable_share(engine: EngineModel, pause_target_s: float) -> float:
    """Return the largest fraction of the slots with which pauses meet the target after a shift.

    It is at least `MIN_USABLE_SHARE`, and 1 without a target.
    """
    if pause_target_s <= 0.0 or engine.slots <= 0:
        return 1.0
    for requests in range(engine.slots, 0, -1):
        if longest_pass_s(engine, requests) <= _PAUSE_BUDGET_RATIO * pause_target_s:
            return max(MIN_USABLE_SHARE, requests / engine.slots)
    return MIN_USABLE_SHARE


def pause_target_s(configuration: RelayConfiguration, name: PoolId) -> float:
    """Return the shortest pause target of the routes to a pool in seconds, or 0."""
    targets = [
        route.pause_target_s
        for route in configuration.routes
        if route.pause_target_s and any(part.pool == name for part in route.split)
    ]
    return min(targets, default=0.0)
