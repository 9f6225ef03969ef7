"""Headers of a request on its way to an upstream, and of the answer on its way back."""

from lycheefall._core.dialect import HeaderNames
from lycheefall._core.ids import TeamId, UpstreamId
from lycheefall._wire.http_server import Headers, IncomingRequest
from lycheefall._wire.http_upstream import ResponseHead, get_header

# They concern one connection only: RFC 9110, section 7.6.1.
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
_NO_BODY_STATUS = frozenset((204, 304))


def passed_on(headers: Headers) -> Headers:
    """Return the headers that concern more than one connection."""
    named = get_header(headers, b"connection") or b""
    dropped = _HOP_BY_HOP | {each.strip().lower() for each in named.split(b",")}
    return tuple(each for each in headers if each[0].lower() not in dropped)


def to_upstream(
    names: HeaderNames,
    request: IncomingRequest,
    upstream: UpstreamId,
    team: TeamId | None,
    left_ms: int,
    upstream_rank: int | None,
    last_event_id: int | None,
) -> Headers:
    """Return the headers for an upstream: the caller's, and those that the system sets."""
    own = {
        name.lower()
        for name in (
            names.key,
            names.team,
            names.expected_upstream,
            names.deadline_ms,
            names.rank,
            _LENGTH,
        )
    }
    if last_event_id is not None:
        own.add(names.last_event_id.lower())
    kept = [each for each in passed_on(request.headers) if each[0].lower() not in own]
    kept.append((names.deadline_ms, str(left_ms).encode()))
    kept.append((names.expected_upstream, upstream.encode()))
    if team is not None:
        kept.append((names.team, team.encode()))
    if upstream_rank is not None:
        kept.append((names.rank, str(upstream_rank).encode()))
    if last_event_id is not None:
        kept.append((names.last_event_id, str(last_event_id).encode()))
    if request.body or get_header(request.headers, _LENGTH) is not None:
        kept.append((b"Content-Length", str(len(request.body)).encode()))
    return tuple(kept)


def to_caller(head: ResponseHead, method: bytes, body: bytes) -> Headers:
    """Return the headers of a whole answer."""
    headers = passed_on(head.headers)
    if method == b"HEAD" or head.status in _NO_BODY_STATUS:
        return headers
    kept = tuple(each for each in headers if each[0].lower() != _LENGTH)
    return (*kept, (b"Content-Length", str(len(body)).encode()))


def to_caller_of_stream(head: ResponseHead) -> Headers:
    """Return the headers of an answer whose length is not known yet."""
    return tuple(each for each in passed_on(head.headers) if each[0].lower() != _LENGTH)


def number_of(value: bytes | None) -> int | None:
    """Return a header's whole number, or None where it has none."""
    if value is None or not value.strip().isdigit():
        return None
    return int(value)
