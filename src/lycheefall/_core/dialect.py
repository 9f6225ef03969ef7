"""Wire names and codecs of one platform, for callers, upstreams and operators.

A platform adapter supplies these values; no other module contains platform names.
"""

from collections.abc import Callable

from msgspec import Struct

from lycheefall._core.expert_maps import ExpertCounts, LoadedExperts, RankOrder, RankStatus
from lycheefall._core.ids import Address, PromptPart, UpstreamId
from lycheefall._core.relay import RelayConfiguration, UpstreamRecord

HeaderName = bytes


class HeaderNames(Struct, frozen=True, kw_only=True):
    """HTTP header names, in the case in which they are sent."""

    attempt: HeaderName
    deadline_ms: HeaderName
    key: HeaderName
    team: HeaderName
    expected_upstream: HeaderName
    # Proves that the upstream itself generated the response.
    seal: HeaderName
    # Proves that the request was not executed.
    not_run: HeaderName
    # Priority of a stream at the upstream.
    priority: HeaderName
    last_event_id: HeaderName
    retry_after: HeaderName
    # Set to 1 by an upstream that is leaving.
    leaving: HeaderName
    # Parts of the prompt of a request.
    prompt: HeaderName
    # Requests per second that an upstream accepts from all entries together.
    rate_limit: HeaderName


class EndpointPaths(Struct, frozen=True, kw_only=True):
    """Paths of the endpoints that the system itself serves."""

    ready: str
    directory: str
    # Prefix; the id of the upstream follows.
    upstreams: str
    file: str
    # Prefix; the name of the data centre follows.
    evacuations: str


class RankEndpoints(Struct, frozen=True, kw_only=True):
    """Paths and codecs for queries and orders to the ranks of a group."""

    status: str
    counts: str
    experts: str
    orders: str
    # The decoders raise RequestRefused for an invalid body.
    decode_status: Callable[[bytes], RankStatus]
    # The second argument is the number of layer sets.
    decode_counts: Callable[[bytes, int], ExpertCounts]
    decode_loaded_experts: Callable[[bytes], LoadedExperts]
    encode_order: Callable[[RankOrder], bytes]


class Dialect(Struct, frozen=True, kw_only=True):
    """Header names, endpoints and codecs of a platform."""

    headers: HeaderNames
    endpoints: EndpointPaths
    # Raises FileSyntaxError, FileFieldError or FileReferenceError.
    decode_file: Callable[[bytes], RelayConfiguration]
    # Raises RequestRefused for an invalid body.
    decode_announcement: Callable[[UpstreamId, bytes], UpstreamRecord]
    # Returns the start time of the departing upstream in ms; 0 if the body omits it.
    decode_departure: Callable[[bytes], int]
    # Returns the parts that a prompt shares with others; none if the header is invalid.
    decode_prompt: Callable[[bytes], tuple[PromptPart, ...]]
    encode_directory: Callable[[tuple[Address, ...], float], bytes]
    encode_error: Callable[[str], bytes]
    ranks: RankEndpoints
