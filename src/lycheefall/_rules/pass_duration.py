"""How long passes take with a given batch, from the figures that an engine's operator declares."""

from lycheefall._core.relay import EngineModel

# Passes right after a shift of the demand for experts, while the most loaded rank of a group has
# this many times the mean: 2.5 to 3.1 in played days, before a map follows.
SHIFTED_SKEW = 2.7
# Passes take this much longer while ranks copy experts, as the platform declares.
COPYING_RATIO = 1.15
# Prompts that are read beside the running requests need the rest of the longest pause.
_PAUSE_BUDGET_RATIO = 0.9
# With less than half of its slots an engine wastes more than it gains.
MIN_USABLE_SHARE = 0.5


def longest_pass_s(engine: EngineModel, requests: int) -> float:
    """Return the time of a pass with this many requests a rank, right after a shift."""
    work_share = 0.0 if engine.layout is None else engine.layout.work_share
    skew = 1.0 if engine.layout is None else SHIFTED_SKEW * COPYING_RATIO
    context = engine.usual_prompt_tokens + engine.usual_answer_tokens / 2
    request_s = engine.step_per_request_s + engine.step_per_context_token_s * context
    work_s = requests * request_s * (1.0 - work_share + work_share * skew)
    return max(1, engine.steps_per_pass) * (engine.step_s + work_s)


def usable_share(engine: EngineModel, pause_target_s: float) -> float:
    """Return the part of the slots with which pauses stay in time also after a shift."""
    if pause_target_s <= 0.0 or engine.slots <= 0:
        return 1.0
    for requests in range(engine.slots, 0, -1):
        if longest_pass_s(engine, requests) <= _PAUSE_BUDGET_RATIO * pause_target_s:
            return max(MIN_USABLE_SHARE, requests / engine.slots)
    return MIN_USABLE_SHARE
