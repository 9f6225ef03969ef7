"""The configuration that a watching process holds, and what an answer of control makes of it."""

from msgspec import Struct, structs

from lycheefall._core.configuration import Configuration
from lycheefall._core.events import Event
from lycheefall._core.ids import NO_REVISION, Digest, Revision
from lycheefall._core.log import log
from lycheefall._core.messages.control import Changes, ConfigurationDelta
from lycheefall._rules.configuration_delta import apply_edits
from lycheefall._wire.codec import DecodeError
from lycheefall._wire.configuration_codec import decode_lines, digest_of_lines, encode_lines

# Control sends the whole configuration to a watcher that names this digest.
NO_DIGEST = Digest("")


class Held(Struct, frozen=True):
    """The configuration delivered last, as the lines that differences refer to."""

    revision: Revision = NO_REVISION
    digest: Digest = NO_DIGEST
    lines: tuple[bytes, ...] = ()


def resolve(held: Held, message: Changes) -> tuple[Held, Changes]:
    """Return what is held after these changes, and the changes with a whole configuration.

    A configuration that is not newer than the one held is left out. After a difference that gives
    another digest than control has, the whole is asked for.
    """
    delta, configuration = message.delta, message.configuration
    if delta is not None and delta.base == held.revision:
        held, configuration = _apply(held, delta)
    elif configuration is not None and configuration.revision > held.revision:
        lines = encode_lines(configuration)
        held = Held(configuration.revision, digest_of_lines(lines), lines)
    else:
        configuration = None
    return held, structs.replace(message, configuration=configuration, delta=None)


def _apply(held: Held, delta: ConfigurationDelta) -> tuple[Held, Configuration | None]:
    lines = apply_edits(held.lines, delta.edits)
    digest = digest_of_lines(lines)
    if digest == delta.digest and delta.revision > held.revision:
        try:
            return Held(delta.revision, digest, lines), decode_lines(lines)
        except DecodeError:
            pass
    log(Event.DELTA_REFUSED, base=delta.base, revision=delta.revision, digest=digest)
    return structs.replace(held, digest=NO_DIGEST), None
