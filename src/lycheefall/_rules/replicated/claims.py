"""Claims that keep a non-idempotent operation from running twice.

A claim binds an idempotency key of a team to the entry and the upstream that run the operation. It
keeps the answer for repeated requests until the retention period of the key ends.
"""

import heapq

from msgspec import Struct, field

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Limits
from lycheefall._core.enums import ClaimState
from lycheefall._core.ids import (
    FIRST_ATTEMPT,
    AttemptNumber,
    Digest,
    IdempotencyKey,
    Incarnation,
    TeamId,
    UpstreamId,
)
from lycheefall._core.messages.control import (
    Claim,
    ClaimResult,
    Reassign,
    RecordedAnswer,
    RecordOutcome,
)

# Keys dated further ahead of the leader's clock are rejected.
MAX_CLOCK_SKEW_MS = 60_000
# A larger answer is replaced with UNSTORED_ANSWER.
MAX_ANSWER_BYTES = 65_536
# When all claims reach this size, new claims are refused and answers replaced as above.
MAX_TOTAL_BYTES = 256 * 1024 * 1024
# Fixed size of a claim in a snapshot, without key, answer and bucket entry.
CLAIM_BYTES = 200
BUCKET_MS = 60_000

NO_ATTEMPT = AttemptNumber(0)
# Holder and upstream in the result of a refused command, and of a claim released before it ran.
NO_HOLDER = Incarnation("")
NO_UPSTREAM = UpstreamId("")

UNSTORED_ANSWER = RecordedAnswer(
    code=ResultCode.UPSTREAM_ERROR,
    status=502,
    content_type="text/plain",
    body=b"the operation ran, but its answer was too large to be kept",
)


class ClaimRecord(Struct, array_like=True):
    """The state of one claim; attempts count from 1 and only the latest may run."""

    request_digest: Digest
    key_time_ms: int
    attempt: AttemptNumber
    holder: Incarnation
    upstream: UpstreamId
    upstream_incarnation: Incarnation
    state: ClaimState = ClaimState.HELD
    answer: RecordedAnswer | None = None


class ClaimsState(Struct):
    """Claims within the retention period, and their keys grouped by the minute of the key time."""

    claims: dict[TeamId, dict[IdempotencyKey, ClaimRecord]] = field(default_factory=dict)
    buckets: dict[int, list[tuple[TeamId, IdempotencyKey]]] = field(default_factory=dict)
    # Heap of the keys of `buckets`.
    bucket_heap: list[int] = field(default_factory=list)
    # Highest timestamp so far; the clock of a new leader may be behind that of the previous one.
    clock_ms: int = 0
    # Keys with an earlier time are refused. It never decreases, so a longer retention period
    # doesn't admit keys whose claims were already dropped.
    floor_ms: int = 0
    total_bytes: int = 0
    count: int = 0


def initial() -> ClaimsState:
    """Return the state before any command."""
    return ClaimsState()


def apply(
    state: ClaimsState, command: Claim | Reassign | RecordOutcome, timestamp_ms: int, limits: Limits
) -> tuple[ClaimsState, ClaimResult]:
    """Apply one committed command at the timestamp of its log entry, in milliseconds."""
    _advance(state, timestamp_ms, limits)
    if isinstance(command, Claim):
        return state, _claim(state, command)
    record = _find(state, command.team, command.key)
    if record is None:
        return state, _refusal(ResultCode.KEY_EXPIRED)
    if isinstance(command, Reassign):
        return state, _reassign(record, command)
    return state, _record_outcome(state, record, command)


def _advance(state: ClaimsState, timestamp_ms: int, limits: Limits) -> None:
    state.clock_ms = max(state.clock_ms, timestamp_ms)
    retention_ms = int(limits.key_retention_s * 1000)
    state.floor_ms = max(state.floor_ms, state.clock_ms - retention_ms)
    while state.bucket_heap and (state.bucket_heap[0] + 1) * BUCKET_MS <= state.floor_ms:
        _drop_bucket(state, heapq.heappop(state.bucket_heap))


def _drop_bucket(state: ClaimsState, bucket: int) -> None:
    for team, key in state.buckets.pop(bucket):
        claims = state.claims[team]
        record = claims.pop(key)
        state.total_bytes -= _record_bytes(team, key, record)
        state.count -= 1
        if not claims:
            del state.claims[team]


def _record_bytes(team: TeamId, key: IdempotencyKey, record: ClaimRecord) -> int:
    body_bytes = len(record.answer.body) if record.answer else 0
    return _claim_bytes(team, key) + body_bytes


def _claim_bytes(team: TeamId, key: IdempotencyKey) -> int:
    # Key and team are stored both in the claims and in the bucket.
    return CLAIM_BYTES + 2 * (len(team) + len(key))


def _find(state: ClaimsState, team: TeamId, key: IdempotencyKey) -> ClaimRecord | None:
    record = state.claims.get(team, {}).get(key)
    if record is None or record.key_time_ms < state.floor_ms:
        return None
    return record


def _claim(state: ClaimsState, command: Claim) -> ClaimResult:
    record = _find(state, command.team, command.key)
    if record is None:
        return _new_claim(state, command)
    if record.request_digest != command.request_digest:
        return _refusal(ResultCode.KEY_REUSED)
    return _result(_code_of(record), record)


def _new_claim(state: ClaimsState, command: Claim) -> ClaimResult:
    refused = _refused_code(state, command)
    if refused is not None:
        return _refusal(refused)
    record = ClaimRecord(
        request_digest=command.request_digest,
        key_time_ms=command.key_time_ms,
        attempt=FIRST_ATTEMPT,
        holder=command.holder,
        upstream=command.upstream,
        upstream_incarnation=command.upstream_incarnation,
    )
    _insert(state, command.team, command.key, record)
    return _result(ResultCode.OK, record)


def _refused_code(state: ClaimsState, command: Claim) -> ResultCode | None:
    # A claim older than floor_ms remains until its whole bucket is dropped.
    awaits_removal = command.key in state.claims.get(command.team, {})
    if command.key_time_ms < state.floor_ms or awaits_removal:
        return ResultCode.KEY_EXPIRED
    if command.key_time_ms > state.clock_ms + MAX_CLOCK_SKEW_MS:
        return ResultCode.BAD_KEY
    if state.total_bytes + _claim_bytes(command.team, command.key) > MAX_TOTAL_BYTES:
        return ResultCode.OVERLOADED
    return None


def _insert(state: ClaimsState, team: TeamId, key: IdempotencyKey, record: ClaimRecord) -> None:
    state.claims.setdefault(team, {})[key] = record
    bucket = record.key_time_ms // BUCKET_MS
    if bucket not in state.buckets:
        state.buckets[bucket] = []
        heapq.heappush(state.bucket_heap, bucket)
    state.buckets[bucket].append((team, key))
    state.total_bytes += _record_bytes(team, key, record)
    state.count += 1


def _reassign(record: ClaimRecord, command: Reassign) -> ClaimResult:
    if record.state is not ClaimState.HELD:
        return _result(_code_of(record), record)
    if record.attempt != command.attempt:
        return _result(ResultCode.CLAIM_CONFLICT, record)
    record.attempt = AttemptNumber(record.attempt + 1)
    record.holder = command.holder
    record.upstream = command.upstream
    record.upstream_incarnation = command.upstream_incarnation
    return _result(ResultCode.OK, record)


def _record_outcome(state: ClaimsState, record: ClaimRecord, command: RecordOutcome) -> ClaimResult:
    if record.attempt != command.attempt:
        return _result(ResultCode.CLAIM_CONFLICT, record)
    if record.state is ClaimState.ANSWERED:
        return _result(ResultCode.REPLAYED, record)
    if command.answer is None:
        record.state = ClaimState.UNKNOWN_OUTCOME
    else:
        record.state = ClaimState.ANSWERED
        record.answer = _storable_answer(state, command.answer)
        state.total_bytes += len(record.answer.body)
    return _result(ResultCode.OK, record)


def _storable_answer(state: ClaimsState, answer: RecordedAnswer) -> RecordedAnswer:
    size_bytes = len(answer.body)
    if size_bytes > MAX_ANSWER_BYTES or state.total_bytes + size_bytes > MAX_TOTAL_BYTES:
        return UNSTORED_ANSWER
    return answer


# Result of a request for an existing claim.
_CODES = {
    ClaimState.HELD: ResultCode.JOINED,
    ClaimState.ANSWERED: ResultCode.REPLAYED,
    ClaimState.UNKNOWN_OUTCOME: ResultCode.OUTCOME_UNKNOWN,
}


def _code_of(record: ClaimRecord) -> ResultCode:
    return _CODES[record.state]


def _result(code: ResultCode, record: ClaimRecord) -> ClaimResult:
    return ClaimResult(
        code=code,
        state=record.state,
        attempt=record.attempt,
        holder=record.holder,
        upstream=record.upstream,
        upstream_incarnation=record.upstream_incarnation,
        answer=record.answer,
    )


def _refusal(code: ResultCode) -> ClaimResult:
    return ClaimResult(
        code=code,
        state=ClaimState.HELD,
        attempt=NO_ATTEMPT,
        holder=NO_HOLDER,
        upstream=NO_UPSTREAM,
        upstream_incarnation=NO_HOLDER,
    )
