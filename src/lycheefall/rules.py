"""Public API of the decision functions, which are deterministic, for embedding."""

from lycheefall._rules.admission import (
    AdmissionOutcome,
    AdmissionRequest,
    AdmissionState,
    Admitted,
    Refused,
)
from lycheefall._rules.directory import EntriesAnswer, EntryDirectory
from lycheefall._rules.fairness import FairQueue
from lycheefall._rules.hedging import HedgeTimes, HedgingState
from lycheefall._rules.limits import UpstreamLimit
from lycheefall._rules.placing.choice import ChoiceConstraints, choose, own_upstreams
from lycheefall._rules.placing.routing import (
    PickCriteria,
    Picker,
    least_requests,
    random_choice,
    two_choices,
    weighted_two_choices,
)
from lycheefall._rules.placing.upstreams import UpstreamTable
from lycheefall._rules.retries import RetryAdvice, RetryBudgets

__all__ = [
    "AdmissionOutcome",
    "AdmissionRequest",
    "AdmissionState",
    "Admitted",
    "ChoiceConstraints",
    "EntriesAnswer",
    "EntryDirectory",
    "FairQueue",
    "HedgeTimes",
    "HedgingState",
    "PickCriteria",
    "Picker",
    "Refused",
    "RetryAdvice",
    "RetryBudgets",
    "UpstreamLimit",
    "UpstreamTable",
    "choose",
    "least_requests",
    "own_upstreams",
    "random_choice",
    "two_choices",
    "weighted_two_choices",
]
