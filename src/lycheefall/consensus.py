"""Public API of the consensus protocol and the replicated state machine, for embedding."""

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
