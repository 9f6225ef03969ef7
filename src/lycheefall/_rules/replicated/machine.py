"""Replicated state machine: dispatches each command to the module that owns its state."""

from collections.abc import Callable

from msgspec import Struct, field

from lycheefall._core.codes import ResultCode
from lycheefall._core.evacuations import Evacuations
from lycheefall._core.ids import CommandId
from lycheefall._core.messages.consensus import Submitted
from lycheefall._core.messages.control import (
    AcquireLease,
    ApplyFile,
    Claim,
    ClearSuspects,
    Command,
    CommitEpoch,
    Failed,
    Reassign,
    RecordCrash,
    RecordOutcome,
    RenewLease,
    Result,
    SetEvacuation,
    StoreFile,
)
from lycheefall._rules.replicated import (
    claims,
    epochs,
    evacuations,
    leases,
    newest_file,
    revisions,
    suspects,
)
from lycheefall._rules.replicated.claims import ClaimsState
from lycheefall._rules.replicated.epochs import EpochsState
from lycheefall._rules.replicated.leases import Leases
from lycheefall._rules.replicated.newest_file import NewestFile
from lycheefall._rules.replicated.revisions import Revisions
from lycheefall._rules.replicated.suspects import SuspectsState
from lycheefall._rules.suspect_leases import suspect_of

# A command resent within this time gets its first result; clients time out well before.
RESULT_RETENTION_MS = 30_000


class RecordedResult(Struct, frozen=True, array_like=True):
    """The result of a command, and the timestamp of its log entry."""

    timestamp_ms: int
    result: Result


class Machine(Struct):
    """All replicated state."""

    revisions: Revisions = field(default_factory=Revisions)
    claims: ClaimsState = field(default_factory=ClaimsState)
    leases: Leases = field(default_factory=Leases)
    epochs: EpochsState = field(default_factory=EpochsState)
    suspects: SuspectsState = field(default_factory=SuspectsState)
    newest_file: NewestFile = NewestFile()
    evacuations: Evacuations = Evacuations()
    # In log order, so expired results come first.
    results: dict[CommandId, RecordedResult] = field(default_factory=dict)


Apply = Callable[[Machine, Submitted, int], tuple[Machine, Result]]


def initial() -> Machine:
    """Return the state before the first command."""
    return Machine()


def applier(parse: revisions.Parse) -> Apply:
    """Return the apply function, which reads configuration files with the given parser."""
    apply_file = revisions.applier(parse)

    def apply(state: Machine, submitted: Submitted, timestamp_ms: int) -> tuple[Machine, Result]:
        _evict_results(state, timestamp_ms)
        recorded = state.results.get(submitted.command_id)
        if recorded is not None:
            return state, recorded.result
        result = _dispatch(state, submitted.command, timestamp_ms, apply_file)
        state.results[submitted.command_id] = RecordedResult(timestamp_ms, result)
        return state, result

    return apply


def _evict_results(state: Machine, timestamp_ms: int) -> None:
    while state.results:
        oldest = next(iter(state.results))
        if timestamp_ms - state.results[oldest].timestamp_ms <= RESULT_RETENTION_MS:
            return
        del state.results[oldest]


def _dispatch(
    state: Machine, command: Command, timestamp_ms: int, apply_file: revisions.Apply
) -> Result:
    result: Result
    match command:
        case ApplyFile():
            state.revisions, result = apply_file(state.revisions, command, timestamp_ms)
        case StoreFile():
            state.newest_file, result = newest_file.apply(state.newest_file, command)
        case SetEvacuation():
            state.evacuations, result = evacuations.apply(state.evacuations, command)
        case Claim() | Reassign() | RecordOutcome():
            limits = state.revisions.configuration.limits
            state.claims, result = claims.apply(state.claims, command, timestamp_ms, limits)
        case AcquireLease() if suspects.is_refused(
            state.suspects, suspect_of(command.name), timestamp_ms
        ):
            # An entry may request the lease before it learns of the second crash.
            result = Failed(ResultCode.FINGERPRINT_REFUSED, "the request crashed two upstreams")
        case AcquireLease() | RenewLease():
            state.leases, result = leases.apply(state.leases, command, timestamp_ms)
        case CommitEpoch():
            state.epochs, result = epochs.apply(state.epochs, command, timestamp_ms)
        case RecordCrash() | ClearSuspects():
            limits = state.revisions.configuration.limits
            state.suspects, result = suspects.apply(state.suspects, command, timestamp_ms, limits)
    return result
