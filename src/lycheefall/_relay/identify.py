"""Filter that identifies the route and team of a request, or refuses it."""

import xxhash

from lycheefall._core.ids import Fingerprint, PromptPart
from lycheefall._relay import headers
from lycheefall._relay.exchange_log import (
    log_refused,
    log_unidentified,
    log_without_configuration,
)
from lycheefall._relay.exchange_state import Exchange, Relay
from lycheefall._relay.refusals import refuse
from lycheefall._rules.identification import (
    NO_CONFIGURATION_RETRY_AFTER_S,
    Index,
    Unidentified,
    identify,
    is_caller_retry,
)
from lycheefall._wire.http_server import CallerConnection, IncomingRequest
from lycheefall._wire.http_upstream import get_header

# An entry that starts together with control receives its first configuration within about 1 s.
# Requests wait for it, because callers make only a few attempts.
CONFIGURATION_WAIT_S = 1.5
# Maximum fraction of a request's timeout spent waiting for the configuration.
_CONFIGURATION_WAIT_RATIO = 0.25


async def identify_request(
    relay: Relay, request: IncomingRequest, caller: CallerConnection
) -> Exchange | None:
    """Return the exchange of a request, or refuse it and return None."""
    names = relay.dialect.headers
    index = await _wait_for_configuration(relay, request)
    if index is None:
        reason = "no configuration yet"
        log_without_configuration(relay, request, reason)
        await refuse(relay, caller, 503, reason, NO_CONFIGURATION_RETRY_AFTER_S)
        return None
    key = get_header(request.headers, names.key)
    identified = identify(
        index,
        (get_header(request.headers, b"host") or b"").decode("latin-1"),
        request.target.partition(b"?")[0].decode("latin-1"),
        None if key is None else key.decode("latin-1"),
        relay.random.random(),
    )
    if isinstance(identified, Unidentified):
        status = 404 if identified is Unidentified.NO_ROUTE else 401
        log_unidentified(relay, request, identified, index)
        await refuse(relay, caller, status, identified.value, None)
        return None
    timeout_s = identified.route.timeout_s
    remaining_s = _remaining_s(relay, request, timeout_s)
    longest_timeout_s = relay.longest_timeout_s[identified.route.name] = max(
        remaining_s, relay.longest_timeout_s.get(identified.route.name, 0.0)
    )
    exchange = Exchange(
        number=next(relay.request_numbers),
        request=request,
        caller=caller,
        identified=identified,
        attempt_id=get_header(request.headers, names.attempt) or b"",
        prompt_parts=_prompt_parts(relay, request),
        caller_deadline_s=request.received_s + remaining_s,
        deadline_s=request.received_s + min(remaining_s, timeout_s),
        is_caller_retry=is_caller_retry(remaining_s, longest_timeout_s),
    )
    refused = relay.dispatch_snapshot().refused
    if refused and fingerprint(relay, request) in refused:
        log_refused(relay, exchange, "fingerprint refused", 0, None)
        await refuse(relay, caller, 503, "the request crashed several upstreams", None)
        return None
    return exchange


def fingerprint(relay: Relay, request: IncomingRequest) -> Fingerprint:
    """Return a hash of the target, API key and body, which identifies repeats of a request."""
    key = get_header(request.headers, relay.dialect.headers.key) or b""
    digest = xxhash.xxh3_64(request.target)
    digest.update(b"\0" + key + b"\0" + request.body)
    return Fingerprint(digest.hexdigest())


def _prompt_parts(relay: Relay, request: IncomingRequest) -> tuple[PromptPart, ...]:
    value = get_header(request.headers, relay.dialect.headers.prompt)
    return () if value is None else relay.dialect.decode_prompt(value)


async def _wait_for_configuration(relay: Relay, request: IncomingRequest) -> Index | None:
    """Return the active configuration, waiting up to a limit for the first one."""
    if relay.index.value is None:
        limit_s = _remaining_s(relay, request, CONFIGURATION_WAIT_S) * _CONFIGURATION_WAIT_RATIO
        await relay.index.wait_published(min(CONFIGURATION_WAIT_S, limit_s))
    return relay.index.value


def _remaining_s(relay: Relay, request: IncomingRequest, default_s: float) -> float:
    """Return the timeout that the request's header states, or a default."""
    timeout_ms = headers.parse_number(
        get_header(request.headers, relay.dialect.headers.deadline_ms)
    )
    return default_s if timeout_ms is None else timeout_ms / 1000
