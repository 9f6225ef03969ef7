"""The consensus rule and the replicated state machine, to embed without a daemon."""

from lycheefall._core.messages.consensus import Replica, Submitted
from lycheefall._rules.consensus.state import Consensus, Tick, Timing
from lycheefall._rules.consensus.step import initial, step
from lycheefall._rules.replicated.machine import Apply, Machine, applier

__all__ = [
    "Apply",
    "Consensus",
    "Machine",
    "Replica",
    "Submitted",
    "Tick",
    "Timing",
    "applier",
    "initial",
    "step",
]
