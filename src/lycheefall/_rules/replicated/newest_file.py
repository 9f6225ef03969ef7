"""The file with the highest number that a registry stored; its compressed content is not read."""

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import NO_REVISION, Revision
from lycheefall._core.messages.control import StoreFile, StoreResult


class NewestFile(Struct, frozen=True):
    """The file with the highest number so far."""

    number: Revision = NO_REVISION
    packed: bytes = b""


def apply(stored: NewestFile, command: StoreFile) -> tuple[NewestFile, StoreResult]:
    """Store a file with a higher number; answer any other command OK without a change.

    A command that is resent, or superseded by that of another operator, must not be refused.
    """
    if command.revision > stored.number:
        stored = NewestFile(command.revision, command.packed)
    return stored, StoreResult(ResultCode.OK, stored.number)
