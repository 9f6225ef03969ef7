"""Scheduler of the fake engine: continuous batching with priorities and a prefix cache."""

from collections import deque
from collections.abc import Callable
from copy import copy
from enum import Enum

from msgspec import Struct, field

from lycheefall._fakes.cache import CacheEvents, PrefixCache, events_after, use_blocks
from lycheefall._fakes.serving import Fault, LoadAnswer, SetFault
from lycheefall._fakes.tokens import (
    BLOCK_CHARS,
    count_prompt_tokens,
    hash_prompt,
    prefix_blocks,
    token_at,
)

# Without the token that count_prompt_tokens adds for the rest of the prompt.
_TOKENS_PER_BLOCK = count_prompt_tokens("x" * BLOCK_CHARS) - 1


class Ending(Enum):
    """Final state of a generation."""

    LENGTH = "length"
    ERROR = "error"


class Token(Struct, frozen=True):
    """Generated token."""

    text: str


Reply = Token | Ending | CacheEvents | LoadAnswer
ReplyTo = Callable[[Reply], object]


class Submit(Struct, frozen=True):
    """Request a generation; lower priority values are scheduled first."""

    number: int
    prompt: str
    priority: int
    max_tokens: int
    resume_tokens: tuple[str, ...]
    reply: ReplyTo


class Cancel(Struct, frozen=True):
    """Cancel a generation, because its connection closed."""

    number: int


class ReadLoad(Struct, frozen=True):
    """Request the newest load report that the reporting lag allows."""

    reply: ReplyTo


class ReadCacheEvents(Struct, frozen=True):
    """Request the published cache events after a sequence number."""

    after: int
    reply: ReplyTo


class ReadStatistics(Struct, frozen=True):
    """Request the counters of the engine."""

    reply: Callable[["Statistics"], object]


class SampleLoad(Struct, frozen=True):
    """Sample the load for the load reports."""


BatchInput = Submit | Cancel | ReadLoad | ReadCacheEvents | ReadStatistics | SampleLoad | SetFault


class EngineParameters(Struct, frozen=True, kw_only=True):
    """Limits, cost model and reporting lags of the engine.

    A step takes `base_step_s`, plus `sequence_step_s` for each running generation and
    `prefill_token_s` for each prompt or resumed token that is not cached. A step admits no more
    generations once it has to prefill `prefill_step_tokens`.
    """

    max_running: int
    base_step_s: float
    sequence_step_s: float
    prefill_token_s: float
    prefill_step_tokens: int
    load_lag_s: float
    cache_event_lag_s: float
    slow_ratio: float
    crash_marker: str


class Statistics(Struct):
    """Counters since the start of the engine."""

    submitted: int = 0
    finished: int = 0
    withdrawn: int = 0
    generated_tokens: int = 0
    prefilled_tokens: int = 0
    cached_tokens: int = 0


class Generation(Struct):
    """Waiting or running generation, and the index of its next token."""

    submit: Submit
    prompt_hash: str
    next_index: int


class LoadSample(Struct, frozen=True):
    """Load report with its sampling time."""

    answer: LoadAnswer
    at_s: float


class BatchState(Struct, kw_only=True):
    """State of the scheduler."""

    parameters: EngineParameters
    cache: PrefixCache
    fault: Fault = Fault.NONE
    has_crashed: bool = False
    waiting: dict[int, Generation] = field(default_factory=dict)
    running: dict[int, Generation] = field(default_factory=dict)
    samples: deque[LoadSample] = field(default_factory=deque)
    statistics: Statistics = field(default_factory=Statistics)


class Delivery(Struct, frozen=True):
    """Reply to send to a waiting request handler."""

    reply: ReplyTo
    content: Reply


def handle_message(state: BatchState, message: BatchInput, now_s: float) -> BatchState:
    """Apply a message to the state, and answer queries immediately."""
    match message:
        case Submit():
            _submit(state, message)
        case Cancel(number):
            _cancel(state, number)
        case ReadLoad(reply):
            reply(reported_load(state, now_s))
        case ReadCacheEvents(after, reply):
            reply(events_after(state.cache, after, now_s - state.parameters.cache_event_lag_s))
        case ReadStatistics(reply_statistics):
            reply_statistics(copy(state.statistics))
        case SampleLoad():
            _sample_load(state, now_s)
        case SetFault(fault):
            state.fault = fault
    return state


def is_idle(state: BatchState) -> bool:
    """Return whether the engine has no step to run."""
    return state.fault is Fault.STALL or not (state.waiting or state.running)


def begin_step(state: BatchState, now_s: float) -> tuple[BatchState, float]:
    """Admit waiting generations, and return the duration of the step in seconds."""
    parameters = state.parameters
    prefilled = _admit(state, now_s)
    step_s = parameters.base_step_s + parameters.sequence_step_s * len(state.running)
    step_s += parameters.prefill_token_s * prefilled
    return state, step_s * (parameters.slow_ratio if state.fault is Fault.SLOW else 1.0)


def end_step(state: BatchState) -> tuple[BatchState, list[Delivery]]:
    """Generate one token for each running generation, and return the replies to send."""
    deliveries: list[Delivery] = []
    for generation in list(state.running.values()):
        deliveries += _generate_token(state, generation)
    return state, deliveries


def reported_load(state: BatchState, now_s: float) -> LoadAnswer:
    """Return the newest load report that is at least `load_lag_s` old, with its age."""
    visible = [each for each in state.samples if each.at_s <= now_s - state.parameters.load_lag_s]
    if not visible:
        return LoadAnswer(0, 0, 0, 0.0, state.parameters.load_lag_s)
    newest = visible[-1]
    while state.samples[0] is not newest:
        state.samples.popleft()
    answer = newest.answer
    return LoadAnswer(
        answer.running,
        answer.waiting,
        answer.queue_tokens,
        answer.kv_used_ratio,
        now_s - newest.at_s,
    )


def _submit(state: BatchState, submit: Submit) -> None:
    state.statistics.submitted += 1
    if state.fault is Fault.ERROR_FAST:
        submit.reply(Ending.ERROR)
        return
    generation = Generation(submit, hash_prompt(submit.prompt), len(submit.resume_tokens))
    state.waiting[submit.number] = generation


def _cancel(state: BatchState, number: int) -> None:
    was_waiting = state.waiting.pop(number, None)
    was_running = state.running.pop(number, None)
    if was_waiting or was_running:
        state.statistics.withdrawn += 1


def _admit(state: BatchState, now_s: float) -> int:
    prefilled = 0
    by_priority = sorted(state.waiting.values(), key=lambda each: each.submit.priority)
    for generation in by_priority:
        if len(state.running) >= state.parameters.max_running:
            break
        if prefilled >= state.parameters.prefill_step_tokens:
            break
        number = generation.submit.number
        state.running[number] = state.waiting.pop(number)
        prefilled += _prefill(state, generation.submit, now_s)
        if (
            state.parameters.crash_marker
            and state.parameters.crash_marker in generation.submit.prompt
        ):
            state.has_crashed = True
    return prefilled


def _prefill(state: BatchState, submit: Submit, now_s: float) -> int:
    total = count_prompt_tokens(submit.prompt) + len(submit.resume_tokens)
    hits = use_blocks(state.cache, prefix_blocks(submit.prompt), now_s)
    cached = hits * _TOKENS_PER_BLOCK
    state.statistics.prefilled_tokens += total - cached
    state.statistics.cached_tokens += cached
    return total - cached


def _generate_token(state: BatchState, generation: Generation) -> list[Delivery]:
    submit = generation.submit
    if generation.next_index >= submit.max_tokens:
        return [_finish(state, submit)]
    token = Token(token_at(generation.prompt_hash, generation.next_index))
    generation.next_index += 1
    state.statistics.generated_tokens += 1
    deliveries = [Delivery(submit.reply, token)]
    if generation.next_index == submit.max_tokens:
        deliveries.append(_finish(state, submit))
    return deliveries


def _finish(state: BatchState, submit: Submit) -> Delivery:
    del state.running[submit.number]
    state.statistics.finished += 1
    return Delivery(submit.reply, Ending.LENGTH)


def _sample_load(state: BatchState, now_s: float) -> None:
    remaining_tokens = sum(
        each.submit.max_tokens - each.next_index
        for each in (*state.waiting.values(), *state.running.values())
    )
    used_ratio = len(state.cache.blocks) / state.cache.capacity_blocks
    answer = LoadAnswer(len(state.running), len(state.waiting), remaining_tokens, used_ratio, 0.0)
    state.samples.append(LoadSample(answer, now_s))
