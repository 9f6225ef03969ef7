"""Evacuated data centres; the last order in the log wins."""

from lycheefall._core.codes import ResultCode
from lycheefall._core.evacuations import Evacuations
from lycheefall._core.messages.control import EvacuationResult, Failed, SetEvacuation

# Control does not know the data centres, so it accepts any name; this limits the state.
MAX_DATA_CENTRES = 1_000


def apply(
    state: Evacuations, command: SetEvacuation
) -> tuple[Evacuations, EvacuationResult | Failed]:
    """Apply an order; one that changes nothing is answered OK with the unchanged version."""
    evacuated = set(state.data_centres)
    if command.is_evacuated:
        evacuated.add(command.data_centre)
    else:
        evacuated.discard(command.data_centre)
    if len(evacuated) > MAX_DATA_CENTRES:
        return state, Failed(ResultCode.BAD_FIELD, "too many data centres are evacuated")
    if len(evacuated) != len(state.data_centres):
        state = Evacuations(state.version + 1, tuple(sorted(evacuated)))
    return state, EvacuationResult(ResultCode.OK, state.version)
