"""Numbered result codes; docs/errors.md describes each one."""

from enum import IntEnum

from lycheefall._core.enums import RunState


class ResultCode(IntEnum):
    """Result of a request, a command or a process start.

    The range of a code tells whether the request was executed; see `run_state`.
    """

    OK = 1000
    REPLAYED = 1001
    JOINED = 1002

    BAD_JSON = 2000
    BODY_TOO_LARGE = 2001
    UNKNOWN_TEAM = 2002
    UNKNOWN_ROUTE = 2003
    UNKNOWN_PRIORITY = 2004
    BAD_HEADER = 2005
    MISSING_KEY = 2006
    BAD_KEY = 2007
    KEY_EXPIRED = 2008
    KEY_REUSED = 2009
    BAD_FIELD = 2010

    NOT_READY = 3000
    OVERLOADED = 3001
    DEADLINE_UNREACHABLE = 3002
    NO_UPSTREAM = 3003
    UPSTREAM_DRAINING = 3004
    RETRY_BUDGET_SPENT = 3005
    CONTROL_UNAVAILABLE = 3006
    FINGERPRINT_REFUSED = 3007
    SHUTTING_DOWN = 3008
    WRONG_INCARNATION = 3009
    STALE_FENCING_NUMBER = 3010
    EXPIRED_BEFORE_START = 3011
    CANCELLED_BEFORE_START = 3012
    ATTEMPT_RELEASED = 3013
    UPSTREAM_BUSY = 3014
    NOT_CONNECTED = 3015
    DUPLICATE_ATTEMPT = 3016

    OUTCOME_UNKNOWN = 4000
    UPSTREAM_LOST = 4001
    TIMEOUT_AFTER_START = 4002
    CANCELLED_AFTER_START = 4003
    CLAIM_UNCONFIRMED = 4004
    UPSTREAM_ERROR = 4500

    FILE_CONFLICT = 5000
    FILE_SYNTAX = 5001
    FILE_FIELD = 5002
    FILE_REFERENCE = 5003

    SETTING_INVALID = 6000
    PORT_IN_USE = 6001
    DATA_FOLDER_UNUSABLE = 6002
    LOG_DAMAGED = 6003
    DISK_FULL = 6004

    NOT_LEADER = 7000
    NO_QUORUM = 7001
    LEASE_HELD = 7002
    LEASE_EXPIRED = 7003
    EPOCH_CONFLICT = 7004
    CLAIM_CONFLICT = 7005

    ENTRY_UNREACHABLE = 8000
    QUESTION_INVALID = 8001
    EXPLAIN_BUSY = 8002
    EXPLAIN_FAILED = 8003


HTTP_STATUS: dict[ResultCode, int] = {
    ResultCode.OK: 200,
    ResultCode.REPLAYED: 200,
    ResultCode.JOINED: 200,
    ResultCode.BAD_JSON: 400,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.UNKNOWN_TEAM: 403,
    ResultCode.UNKNOWN_ROUTE: 404,
    ResultCode.UNKNOWN_PRIORITY: 400,
    ResultCode.BAD_HEADER: 400,
    ResultCode.MISSING_KEY: 400,
    ResultCode.BAD_KEY: 400,
    ResultCode.KEY_EXPIRED: 409,
    ResultCode.KEY_REUSED: 422,
    ResultCode.BAD_FIELD: 400,
    ResultCode.OVERLOADED: 429,
    ResultCode.DEADLINE_UNREACHABLE: 429,
    ResultCode.RETRY_BUDGET_SPENT: 429,
    ResultCode.FINGERPRINT_REFUSED: 422,
    ResultCode.OUTCOME_UNKNOWN: 504,
    ResultCode.UPSTREAM_LOST: 502,
    ResultCode.TIMEOUT_AFTER_START: 504,
    ResultCode.CANCELLED_AFTER_START: 499,
    ResultCode.CLAIM_UNCONFIRMED: 503,
    ResultCode.UPSTREAM_ERROR: 502,
    ResultCode.FILE_CONFLICT: 409,
    ResultCode.QUESTION_INVALID: 400,
    ResultCode.EXPLAIN_BUSY: 429,
}

_DEFAULT_HTTP_STATUS = 503
_FIRST_NOT_RUN = 2000
_FIRST_UNKNOWN = 4000
_FIRST_RAN_AND_FAILED = 4500
_FIRST_FILE_CODE = 5000


def http_status(code: ResultCode) -> int:
    """Return the HTTP status for a result code."""
    return HTTP_STATUS.get(code, _DEFAULT_HTTP_STATUS)


def run_state(code: ResultCode) -> RunState:
    """Return whether a request that ended with this code was executed."""
    if _FIRST_UNKNOWN <= code < _FIRST_RAN_AND_FAILED:
        return RunState.UNKNOWN
    if code < _FIRST_NOT_RUN or _FIRST_RAN_AND_FAILED <= code < _FIRST_FILE_CODE:
        return RunState.RAN
    return RunState.NOT_RUN
