"""Fingerprints that crashed upstreams (placeholder until the real module is merged)."""

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.messages.control import CrashResult, Failed, RecordCrash


class Suspects(Struct):
    """No suspects."""


def initial() -> Suspects:
    """Return the state before the first command."""
    return Suspects()


def apply(
    state: Suspects, command: RecordCrash, stamp_ms: int
) -> tuple[Suspects, CrashResult | Failed]:
    """Record nothing."""
    return state, CrashResult(ResultCode.OK, ())
