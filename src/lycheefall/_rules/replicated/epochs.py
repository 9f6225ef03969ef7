"""Expert map epochs (placeholder until the real module is merged)."""

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.messages.control import CommitEpoch, EpochResult, Failed


class Epochs(Struct):
    """No epochs."""


def initial() -> Epochs:
    """Return the state before the first command."""
    return Epochs()


def apply(
    state: Epochs, command: CommitEpoch, stamp_ms: int
) -> tuple[Epochs, EpochResult | Failed]:
    """Refuse the command."""
    return state, Failed(ResultCode.EPOCH_CONFLICT, "epochs are not implemented")
