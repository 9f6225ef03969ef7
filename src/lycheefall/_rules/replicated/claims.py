"""Claims on non-idempotent operations (placeholder until the real module is merged)."""

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.messages.control import (
    Claim,
    ClaimResult,
    Failed,
    Reassign,
    RecordOutcome,
)


class Claims(Struct):
    """No claims."""


def initial() -> Claims:
    """Return the state before the first command."""
    return Claims()


def apply(
    state: Claims, command: Claim | Reassign | RecordOutcome, stamp_ms: int
) -> tuple[Claims, ClaimResult | Failed]:
    """Refuse the command."""
    return state, Failed(ResultCode.CLAIM_CONFLICT, "claims are not implemented")
