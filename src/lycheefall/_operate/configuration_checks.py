"""Check the values of a configuration file and the names that it refers to."""

import math
from collections.abc import Iterable, Iterator

import msgspec

from lycheefall._core.configuration import Configuration, Group, Route
from lycheefall._core.enums import RouteKind, UpstreamKind
from lycheefall._core.exceptions import FileFieldError, FileReferenceError
from lycheefall._operate.file_positions import FieldLocation

MAX_TOTAL_SHARE_RATIO = 1.0


class Range(msgspec.Struct, frozen=True):
    """Interval of valid numbers; the lower bound is excluded if low_is_open."""

    low: float
    high: float = math.inf
    low_is_open: bool = False


class Fault(msgspec.Struct, frozen=True):
    """Error in a configuration file, with its location."""

    location: FieldLocation
    detail: str
    error: type[FileFieldError] | type[FileReferenceError]


_POSITIVE = Range(0, low_is_open=True)
_RATIO = Range(0, 1)
_AT_LEAST_ONE = Range(1)
# A higher ratio would overload the upstreams with hedges when all of them are slow.
_HEDGE_RATIO = Range(0, 0.2)
# Timers of a busy event loop are inaccurate below a millisecond.
_HEDGE_FLOOR = Range(0.001, 60)

_RANGES: dict[str, dict[str, Range]] = {
    "directory": {"ttl_s": Range(0.1, 3600), "shard_size": Range(0)},
    "limits": {
        "body_bytes": Range(1, 64 * 1024 * 1024),
        "queue_s": _POSITIVE,
        "queue_requests": _AT_LEAST_ONE,
        "default_max_tokens": _AT_LEAST_ONE,
        "retry_ratio": _RATIO,
        "hedge_ratio": _HEDGE_RATIO,
        "hedge_floor_s": _HEDGE_FLOOR,
        "key_retention_s": _POSITIVE,
        "fingerprint_refusal_s": Range(0),
    },
    "priorities": {"target_s": _POSITIVE, "worth": _POSITIVE, "share_ratio": _RATIO},
    "teams": {"weight": _POSITIVE, "retry_ratio": _RATIO},
    "routes": {"timeout_s": _POSITIVE},
    "groups": {
        "ranks": _AT_LEAST_ONE,
        "experts": _AT_LEAST_ONE,
        "slots_per_rank": _AT_LEAST_ONE,
        "expert_bytes": _AT_LEAST_ONE,
        "store_bytes_per_s": _POSITIVE,
    },
}
_NAMED_ARRAYS = ("priorities", "teams", "pools", "routes", "groups")
_POOL_KIND = {
    RouteKind.CHAT: UpstreamKind.ENGINE,
    RouteKind.LOOKUP: UpstreamKind.SERVICE,
    RouteKind.BOOKING: UpstreamKind.SERVICE,
}


def field_faults(configuration: Configuration) -> list[Fault]:
    """Return the errors in values of fields, such as numbers out of range and duplicate names."""
    faults = list(_range_faults(configuration))
    faults += _name_faults(configuration)
    faults += _share_faults(configuration)
    faults += _ambiguity_faults(configuration)
    for index, route in enumerate(configuration.routes):
        faults += _route_faults(index, route)
    for index, group in enumerate(configuration.groups):
        faults += _group_faults(index, group)
    return faults


def reference_faults(configuration: Configuration) -> list[Fault]:
    """Return references to undefined names and to pools of the wrong kind."""
    return [*_route_references(configuration), *_group_references(configuration)]


def _range_faults(configuration: Configuration) -> Iterator[Fault]:
    for table, ranges in _RANGES.items():
        value = getattr(configuration, table)
        rows = value if isinstance(value, tuple) else (value,)
        for index, row in enumerate(rows):
            for name, bounds in ranges.items():
                number = getattr(row, name)
                if not _is_within(bounds, number):
                    detail = f"{name}: {number}; allowed is {_describe_range(bounds)}"
                    yield Fault(FieldLocation(table, index, name), detail, FileFieldError)


def _is_within(bounds: Range, number: float) -> bool:
    if not math.isfinite(number) or number > bounds.high:
        return False
    return number > bounds.low if bounds.low_is_open else number >= bounds.low


def _describe_range(bounds: Range) -> str:
    low = f"more than {bounds.low:g}" if bounds.low_is_open else f"at least {bounds.low:g}"
    return low if math.isinf(bounds.high) else f"{low} and at most {bounds.high:.12g}"


def _name_faults(configuration: Configuration) -> Iterator[Fault]:
    for table in _NAMED_ARRAYS:
        names: set[str] = set()
        for index, row in enumerate(getattr(configuration, table)):
            location = FieldLocation(table, index, "name")
            if not row.name:
                yield Fault(location, "name: empty", FileFieldError)
            if row.name in names:
                yield Fault(location, f"name: {row.name!r} is used twice", FileFieldError)
            names.add(row.name)


def _share_faults(configuration: Configuration) -> Iterator[Fault]:
    total = sum(priority.share_ratio for priority in configuration.priorities)
    if total > MAX_TOTAL_SHARE_RATIO:
        last = len(configuration.priorities) - 1
        detail = f"share_ratio: the shares add up to {total:g}; allowed is at most 1"
        yield Fault(FieldLocation("priorities", last, "share_ratio"), detail, FileFieldError)


def _ambiguity_faults(configuration: Configuration) -> Iterator[Fault]:
    route_by_key: dict[tuple[str, ...], str] = {}
    for index, route in enumerate(configuration.routes):
        for field, key in _match_keys(route):
            first_route = route_by_key.setdefault(key, route.name)
            if first_route != route.name:
                detail = f"{field}: {key[-1]!r} already leads to route {first_route!r}"
                yield Fault(FieldLocation("routes", index, field), detail, FileFieldError)


def _match_keys(route: Route) -> Iterator[tuple[str, tuple[str, ...]]]:
    # Yields what an entry selects the route by, each with the field that it comes from. A lookup
    # and a booking may share a path, since they use different methods.
    if route.kind is RouteKind.CHAT:
        yield from (("models", (route.kind.value, model)) for model in route.models)
    else:
        yield "path", (route.kind.value, route.service, route.path)


def _route_faults(index: int, route: Route) -> Iterator[Fault]:
    if not route.pools:
        yield Fault(
            FieldLocation("routes", index, "pools"), "pools: name at least one pool", FileFieldError
        )
    is_chat = route.kind is RouteKind.CHAT
    if is_chat and not route.models:
        detail = "models: a chat route needs at least one model"
        yield Fault(FieldLocation("routes", index, "models"), detail, FileFieldError)
    if not is_chat and not route.service:
        detail = f"service: a {route.kind.value} route needs the name of a service"
        yield Fault(FieldLocation("routes", index, "service"), detail, FileFieldError)
    for name in ("service", "path") if is_chat else ("models",):
        if getattr(route, name):
            detail = f"{name}: has no effect on a {route.kind.value} route"
            yield Fault(FieldLocation("routes", index, name), detail, FileFieldError)
    if route.kind is RouteKind.BOOKING and route.idempotent:
        detail = "idempotent: a booking route must say idempotent = false"
        yield Fault(FieldLocation("routes", index, "idempotent"), detail, FileFieldError)
    if route.kind is not RouteKind.BOOKING and not route.idempotent:
        detail = "idempotent: only a booking route may say idempotent = false"
        yield Fault(FieldLocation("routes", index, "idempotent"), detail, FileFieldError)


def _group_faults(index: int, group: Group) -> Iterator[Fault]:
    slots = group.ranks * group.slots_per_rank
    if slots < group.experts:
        detail = f"slots_per_rank: {slots} slots in all for {group.experts} experts"
        yield Fault(FieldLocation("groups", index, "slots_per_rank"), detail, FileFieldError)


def _route_references(configuration: Configuration) -> Iterator[Fault]:
    kinds = {pool.name: pool.kind for pool in configuration.pools}
    priorities = {priority.name for priority in configuration.priorities}
    for index, route in enumerate(configuration.routes):
        pools = FieldLocation("routes", index, "pools")
        for pool in route.pools:
            if pool not in kinds:
                yield _undefined_reference(pools, "pools", pool, kinds)
            elif kinds[pool] is not _POOL_KIND[route.kind]:
                detail = f"pools: {pool!r} is of kind {kinds[pool].value}; "
                detail += f"a {route.kind.value} route needs {_POOL_KIND[route.kind].value}"
                yield Fault(pools, detail, FileReferenceError)
        if route.priority not in priorities:
            location = FieldLocation("routes", index, "priority")
            yield _undefined_reference(location, "priority", route.priority, priorities)


def _group_references(configuration: Configuration) -> Iterator[Fault]:
    pools = {pool.name for pool in configuration.pools}
    for index, group in enumerate(configuration.groups):
        if group.pool not in pools:
            yield _undefined_reference(
                FieldLocation("groups", index, "pool"), "pool", group.pool, pools
            )


def _undefined_reference(
    location: FieldLocation, field: str, name: str, defined: Iterable[str]
) -> Fault:
    defined_names = ", ".join(sorted(defined)) or "none"
    detail = f"{field}: {name!r} is not defined in this file; defined are {defined_names}"
    return Fault(location, detail, FileReferenceError)
