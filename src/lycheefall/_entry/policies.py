"""Policies of an entry that benchmarks replace to measure the effect of each."""

from collections.abc import Callable

from msgspec import Struct

from lycheefall._core.ids import TeamId
from lycheefall._core.messages.entry import FromQueue, ToQueue
from lycheefall._entry.queue import QueueState, step_queue
from lycheefall._rules import retries
from lycheefall._rules.placing.routing import Picker, weighted_two_choices
from lycheefall._rules.retries import RetryBudgets

StepQueue = Callable[[QueueState, ToQueue, float], tuple[QueueState, list[FromQueue]]]


class Policies(Struct, frozen=True):
    """Functions that make the decisions of an entry; the defaults are used in production."""

    step_queue: StepQueue = step_queue
    make_picker: Callable[[], Picker] = weighted_two_choices
    spend_retry: Callable[[RetryBudgets, TeamId], bool] = retries.try_consume


DEFAULT_POLICIES = Policies()
