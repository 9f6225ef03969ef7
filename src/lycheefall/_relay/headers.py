"""Headers of requests to upstreams and of responses to callers."""

from lycheefall._core.dialect import HeaderNames
from lycheefall._core.ids import TeamId, UpstreamId
from lycheefall._wire.http_server import Headers, IncomingRequest
from lycheefall._wire.http_upstream import NO_BODY_STATUS, ResponseHead, get_header

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
_LENGTH = b"content-length"
_MEDIA_TYPE = b"content-type"
# Longer numbers are invalid; int() raises ValueError above 4,300 digits.
_MAX_NUMBER_DIGITS = 18


def end_to_end(headers: Headers) -> Headers:
    """Return the end-to-end headers, without those that apply to a single connection."""
    connection_options = get_header(headers, b"connection") or b""
    dropped = _HOP_BY_HOP | {each.strip().lower() for each in connection_options.split(b",")}
    return tuple(each for each in headers if each[0].lower() not in dropped)


def upstream_headers(
    names: HeaderNames,
    request: IncomingRequest,
    upstream: UpstreamId,
    team: TeamId | None,
    remaining_ms: int,
    priority: int | None,
    last_event_id: int | None,
) -> Headers:
    """Return the caller's headers for an upstream, with those that the system sets replaced."""
    replaced = {
        name.lower()
        for name in (
            names.key,
            names.team,
            names.expected_upstream,
            names.deadline_ms,
            names.priority,
            _LENGTH,
        )
    }
    if last_event_id is not None:
        replaced.add(names.last_event_id.lower())
    result = [each for each in end_to_end(request.headers) if each[0].lower() not in replaced]
    result.append((names.deadline_ms, str(remaining_ms).encode()))
    result.append((names.expected_upstream, upstream.encode()))
    if team is not None:
        result.append((names.team, team.encode()))
    if priority is not None:
        result.append((names.priority, str(priority).encode()))
    if last_event_id is not None:
        result.append((names.last_event_id, str(last_event_id).encode()))
    if request.body or get_header(request.headers, _LENGTH) is not None:
        result.append((b"Content-Length", str(len(request.body)).encode()))
    return tuple(result)


def response_headers(head: ResponseHead, method: bytes, body: bytes) -> Headers:
    """Return the headers of a complete response; without a body, its Content-Length stays."""
    headers = end_to_end(head.headers)
    if method == b"HEAD" or head.status in NO_BODY_STATUS:
        return headers
    result = tuple(each for each in headers if each[0].lower() != _LENGTH)
    return (*result, (b"Content-Length", str(len(body)).encode()))


def stream_headers(head: ResponseHead) -> Headers:
    """Return the headers of a response of unknown length."""
    return tuple(each for each in end_to_end(head.headers) if each[0].lower() != _LENGTH)


def is_sealed(names: HeaderNames, head: ResponseHead) -> bool:
    """Return whether a response has the seal of an upstream; an empty header is no seal."""
    return bool((get_header(head.headers, names.seal) or b"").strip())


def media_type(head: ResponseHead) -> bytes:
    """Return the media type of a response in lower case, without parameters."""
    value = get_header(head.headers, _MEDIA_TYPE) or b""
    return value.partition(b";")[0].strip().lower()


def parse_number(value: bytes | None) -> int | None:
    """Return the number in a header, or None if it is absent or not a non-negative integer."""
    text = b"" if value is None else value.strip()
    return int(text) if len(text) <= _MAX_NUMBER_DIGITS and text.isdigit() else None


def parse_decimal(value: bytes | None) -> float | None:
    """Return the number in a header, or None if it is absent or not a non-negative decimal."""
    whole, _, fraction = (b"" if value is None else value.strip()).partition(b".")
    if len(whole) + len(fraction) > _MAX_NUMBER_DIGITS or not (whole + fraction).isdigit():
        return None
    return float(whole + b"." + fraction)
