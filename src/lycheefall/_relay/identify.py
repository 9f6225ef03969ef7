"""Stateless filter that finds the route and team of a request, or answers it at once."""

import xxhash

from lycheefall._core.ids import Fingerprint
from lycheefall._relay import headers
from lycheefall._relay.exchange_log import (
    log_refused,
    log_unidentified,
    log_without_configuration,
)
from lycheefall._relay.exchange_state import Exchange, Relay
from lycheefall._relay.refusals import refuse
from lycheefall._rules.identification import Index, Unidentified, identify
from lycheefall._wire.http_server import CallerConnection, IncomingRequest
from lycheefall._wire.http_upstream import get_header

# First tries of one route differ in their time by less than this; a shorter one is a retry.
RETURNED_RATIO = 0.83
# An entry that starts beside control gets its first configuration within about a second. A
# request waits for it, as callers that are refused have few tries left.
CONFIGURATION_WAIT_S = 1.5
# The longest part of a request's own time that it waits then.
_CONFIGURATION_WAIT_RATIO = 0.25
# After that a replica has no leader; operators need seconds to mend that.
_NO_CONFIGURATION_RETRY_S = 1.0


async def identified(
    relay: Relay, request: IncomingRequest, caller: CallerConnection
) -> Exchange | None:
    """Return the exchange of a request, or answer at once."""
    names = relay.dialect.headers
    index = await _configured(relay, request)
    if index is None:
        reason = "no configuration yet"
        log_without_configuration(relay, request, reason)
        await refuse(relay, caller, 503, reason, _NO_CONFIGURATION_RETRY_S)
        return None
    key = get_header(request.headers, names.key)
    found = identify(
        index,
        (get_header(request.headers, b"host") or b"").decode("latin-1"),
        request.target.partition(b"?")[0].decode("latin-1"),
        None if key is None else key.decode("latin-1"),
        relay.random.random(),
    )
    if isinstance(found, Unidentified):
        status = 404 if found is Unidentified.NO_ROUTE else 401
        log_unidentified(relay, request, found, index)
        await refuse(relay, caller, status, found.value, None)
        return None
    timeout_s = found.route.timeout_s
    left_s = _left_s(relay, request, timeout_s)
    longest_s = relay.longest_s[found.route.name] = max(
        left_s, relay.longest_s.get(found.route.name, 0.0)
    )
    exchange = Exchange(
        number=next(relay.numbers),
        request=request,
        caller=caller,
        found=found,
        attempt_id=get_header(request.headers, names.attempt) or b"",
        caller_deadline_s=request.received_s + left_s,
        limit_s=request.received_s + min(left_s, timeout_s),
        came_back=left_s < longest_s * RETURNED_RATIO,
    )
    refused = relay.known().refused
    if refused and fingerprint(relay, request) in refused:
        log_refused(relay, exchange, "crashes upstreams", 0, None)
        await refuse(relay, caller, 503, "the request crashed several upstreams", None)
        return None
    return exchange


def fingerprint(relay: Relay, request: IncomingRequest) -> Fingerprint:
    """Return what identifies a request that is sent again: path, caller and body."""
    key = get_header(request.headers, relay.dialect.headers.key) or b""
    digest = xxhash.xxh3_64(request.target)
    digest.update(b"\0" + key + b"\0" + request.body)
    return Fingerprint(digest.hexdigest())


async def _configured(relay: Relay, request: IncomingRequest) -> Index | None:
    """Return the configuration in force; wait a little for the first one."""
    if relay.index.value is None:
        longest_s = _left_s(relay, request, CONFIGURATION_WAIT_S) * _CONFIGURATION_WAIT_RATIO
        await relay.index.wait_published(min(CONFIGURATION_WAIT_S, longest_s))
    return relay.index.value


def _left_s(relay: Relay, request: IncomingRequest, otherwise_s: float) -> float:
    """Return how long the caller waits, or another time where it does not tell."""
    left_ms = headers.number_of(get_header(request.headers, relay.dialect.headers.deadline_ms))
    return otherwise_s if left_ms is None else left_ms / 1000
