"""Report to the dispatcher what the headers of a response say about the upstream itself."""

from lycheefall._core.dialect import HeaderNames
from lycheefall._core.pipeline import Inbox
from lycheefall._core.relay import UpstreamRecord
from lycheefall._relay.headers import is_sealed, parse_decimal
from lycheefall._relay.messages import ToDispatch
from lycheefall._rules.dispatch_messages import RateLimitStated, UpstreamClosed, UpstreamLeaving
from lycheefall._wire.http_upstream import ResponseHead, get_header

_LEAVING = b"1"


def report(
    names: HeaderNames, dispatch: Inbox[ToDispatch], record: UpstreamRecord, head: ResponseHead
) -> None:
    """Report that an upstream is leaving, closes for some time, or limits the rate of requests."""
    if head.status == 421:
        # Another server responded at the address of the upstream.
        return
    if (get_header(head.headers, names.leaving) or b"").strip() == _LEAVING:
        dispatch.offer(UpstreamLeaving(record.pool, record.upstream, record.start_time_ms))
    if head.status == 503:
        duration_s = parse_decimal(get_header(head.headers, names.retry_after))
        if duration_s is not None:
            dispatch.offer(
                UpstreamClosed(record.pool, record.upstream, record.start_time_ms, duration_s)
            )
    rate_limit = get_header(head.headers, names.rate_limit)
    rate_per_s = parse_decimal(rate_limit)
    # A rejection without a limit does not lift one, nor does a limit that can't be read.
    is_lifted = rate_limit is None and is_sealed(names, head)
    if rate_per_s is not None or is_lifted:
        start = (record.pool, record.upstream, record.start_time_ms)
        dispatch.offer(RateLimitStated(*start, rate_per_s))
