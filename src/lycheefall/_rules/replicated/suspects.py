"""Fingerprints of requests that were in flight when upstreams crashed.

After one crash a fingerprint is a suspect and must run alone; after a crash of a second upstream
incarnation it is refused. Reports of the same crash by several entries count once.
With the leases that _rules/suspect_calls.py requires for suspects, a request crashes at most two
upstreams.
"""

from msgspec import Struct, field

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Limits
from lycheefall._core.ids import Fingerprint, Incarnation
from lycheefall._core.messages.control import ClearSuspects, CrashResult, RecordCrash

CRASHES_TO_REFUSE = 2
# Above this, the record with the oldest last crash is dropped.
MAX_FINGERPRINTS = 20_000


class CrashRecord(Struct, array_like=True):
    """Upstream incarnations that crashed on one fingerprint, kept until `until_ms`."""

    incarnations: list[Incarnation]
    until_ms: int


class SuspectsState(Struct):
    """Suspect and refused fingerprints, ordered by their last crash."""

    suspects: dict[Fingerprint, CrashRecord] = field(default_factory=dict)
    clock_ms: int = 0
    # Incremented with each change, so that watchers can detect it.
    version: int = 0


def initial() -> SuspectsState:
    """Return the state before the first crash."""
    return SuspectsState()


def apply(
    state: SuspectsState, command: RecordCrash | ClearSuspects, timestamp_ms: int, limits: Limits
) -> tuple[SuspectsState, CrashResult]:
    """Apply one committed command at the timestamp of its log entry, in milliseconds."""
    expire(state, timestamp_ms)
    for fingerprint in command.fingerprints:
        if isinstance(command, RecordCrash):
            _record(state, fingerprint, command.upstream_incarnation, limits)
        else:
            _clear(state, fingerprint)
    return state, CrashResult(ResultCode.OK, refused(state))


def expire(state: SuspectsState, timestamp_ms: int) -> None:
    """Drop expired records; also called for log entries of other commands."""
    state.clock_ms = max(state.clock_ms, timestamp_ms)
    while state.suspects:
        oldest = next(iter(state.suspects))
        if state.suspects[oldest].until_ms > state.clock_ms:
            return
        del state.suspects[oldest]
        state.version += 1


def refused(state: SuspectsState) -> tuple[Fingerprint, ...]:
    """Return the fingerprints that are refused."""
    return tuple(f for f, s in _current(state) if len(s.incarnations) >= CRASHES_TO_REFUSE)


def is_refused(state: SuspectsState, fingerprint: Fingerprint | None, timestamp_ms: int) -> bool:
    """Return whether a fingerprint is refused at the given time."""
    known = None if fingerprint is None else state.suspects.get(fingerprint)
    if known is None or known.until_ms <= timestamp_ms:
        return False
    return len(known.incarnations) >= CRASHES_TO_REFUSE


def suspects(state: SuspectsState) -> tuple[Fingerprint, ...]:
    """Return the suspect fingerprints, which must run alone."""
    return tuple(f for f, s in _current(state) if len(s.incarnations) < CRASHES_TO_REFUSE)


def _current(state: SuspectsState) -> list[tuple[Fingerprint, CrashRecord]]:
    return [each for each in state.suspects.items() if each[1].until_ms > state.clock_ms]


def _record(
    state: SuspectsState, fingerprint: Fingerprint, crashed: Incarnation, limits: Limits
) -> None:
    known = state.suspects.get(fingerprint)
    is_expired = known is None or known.until_ms <= state.clock_ms
    incarnations = [] if known is None or is_expired else known.incarnations
    if crashed in incarnations or len(incarnations) >= CRASHES_TO_REFUSE:
        return
    until_ms = state.clock_ms + int(limits.fingerprint_refusal_s * 1000)
    state.suspects.pop(fingerprint, None)
    state.suspects[fingerprint] = CrashRecord([*incarnations, crashed], until_ms)
    state.version += 1
    if len(state.suspects) > MAX_FINGERPRINTS:
        del state.suspects[next(iter(state.suspects))]


def _clear(state: SuspectsState, fingerprint: Fingerprint) -> None:
    known = state.suspects.get(fingerprint)
    if known is not None and len(known.incarnations) < CRASHES_TO_REFUSE:
        del state.suspects[fingerprint]
        state.version += 1
