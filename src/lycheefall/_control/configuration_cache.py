"""Configuration cached by a control client, and its update from the answers to watches."""

from msgspec import Struct, structs

from lycheefall._core.configuration import Configuration
from lycheefall._core.events import Event
from lycheefall._core.ids import NO_REVISION, Digest, Revision
from lycheefall._core.log import log
from lycheefall._core.messages.control import Changes, ConfigurationDelta
from lycheefall._rules.configuration_delta import apply_edits
from lycheefall._wire.codec import DecodeError
from lycheefall._wire.configuration_codec import decode_lines, digest_of_lines, encode_lines

# Control sends the complete configuration to a watcher with this digest.
NO_DIGEST = Digest("")


class CachedConfiguration(Struct, frozen=True):
    """The configuration delivered last, as the lines that deltas refer to."""

    revision: Revision = NO_REVISION
    digest: Digest = NO_DIGEST
    lines: tuple[bytes, ...] = ()


def apply_changes(
    cached: CachedConfiguration, message: Changes
) -> tuple[CachedConfiguration, Changes]:
    """Return the updated cache, and the changes with a complete configuration.

    A configuration that is not newer than the cached one is left out. If a delta yields another
    digest than the one that control sent, the next watch requests the complete configuration.
    """
    delta, configuration = message.delta, message.configuration
    if delta is not None and delta.base == cached.revision:
        cached, configuration = _apply_delta(cached, delta)
    elif configuration is not None and configuration.revision > cached.revision:
        lines = encode_lines(configuration)
        cached = CachedConfiguration(configuration.revision, digest_of_lines(lines), lines)
    else:
        configuration = None
    return cached, structs.replace(message, configuration=configuration, delta=None)


def _apply_delta(
    cached: CachedConfiguration, delta: ConfigurationDelta
) -> tuple[CachedConfiguration, Configuration | None]:
    lines = apply_edits(cached.lines, delta.edits)
    digest = digest_of_lines(lines)
    if digest == delta.digest and delta.revision > cached.revision:
        try:
            return CachedConfiguration(delta.revision, digest, lines), decode_lines(lines)
        except DecodeError:
            pass
    log(Event.DELTA_REFUSED, base=delta.base, revision=delta.revision, digest=digest)
    return structs.replace(cached, digest=NO_DIGEST), None
