"""Leases with fencing numbers."""

from msgspec import Struct, field

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import FencingNumber, Incarnation, LeaseName
from lycheefall._core.messages.control import AcquireLease, Failed, LeaseResult, RenewLease

_MS_PER_S = 1_000


class Lease(Struct, frozen=True, array_like=True):
    """The latest grant of a lease."""

    holder: Incarnation
    fencing: FencingNumber
    expires_ms: int


class Leases(Struct):
    """Every lease ever granted; expired ones stay so that no fencing number is reused."""

    granted: dict[LeaseName, Lease] = field(default_factory=dict)


def initial() -> Leases:
    """Return the state before the first command."""
    return Leases()


def apply(
    state: Leases, command: AcquireLease | RenewLease, timestamp_ms: int
) -> tuple[Leases, LeaseResult | Failed]:
    """Grant or renew a lease, or refuse it; `timestamp_ms` is the time of the log entry."""
    if not command.duration_s > 0:
        return state, Failed(ResultCode.BAD_FIELD, "duration_s must be above 0")
    if isinstance(command, AcquireLease):
        return state, _acquire(state, command, timestamp_ms)
    return state, _renew(state, command, timestamp_ms)


def _acquire(state: Leases, command: AcquireLease, timestamp_ms: int) -> LeaseResult:
    current = state.granted.get(command.name)
    if current is None or timestamp_ms >= current.expires_ms:
        number = FencingNumber(1 if current is None else current.fencing + 1)
        return _grant(state, command, number, timestamp_ms)
    if current.holder == command.holder:
        return _grant(state, command, current.fencing, timestamp_ms)
    return _result(ResultCode.LEASE_HELD, current, timestamp_ms)


def _renew(state: Leases, command: RenewLease, timestamp_ms: int) -> LeaseResult:
    current = state.granted.get(command.name)
    if current is None:
        return LeaseResult(ResultCode.LEASE_EXPIRED, Incarnation(""), FencingNumber(0), 0.0)
    is_holder = current.holder == command.holder and current.fencing == command.fencing
    if not is_holder or timestamp_ms >= current.expires_ms:
        return _result(ResultCode.LEASE_EXPIRED, current, timestamp_ms)
    return _grant(state, command, current.fencing, timestamp_ms)


def _grant(
    state: Leases, command: AcquireLease | RenewLease, number: FencingNumber, timestamp_ms: int
) -> LeaseResult:
    expires_ms = timestamp_ms + round(command.duration_s * _MS_PER_S)
    lease = Lease(command.holder, number, expires_ms)
    state.granted[command.name] = lease
    return _result(ResultCode.OK, lease, timestamp_ms)


def _result(code: ResultCode, lease: Lease, timestamp_ms: int) -> LeaseResult:
    remaining_s = max(0, lease.expires_ms - timestamp_ms) / _MS_PER_S
    return LeaseResult(code, lease.holder, lease.fencing, remaining_s)
