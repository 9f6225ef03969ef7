"""The file with the highest number; what its bytes mean is not known here."""

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import NO_REVISION, Revision
from lycheefall._core.messages.control import StoreFile, StoreResult


class NewestFile(Struct, frozen=True):
    """The bytes that were stored under the highest number so far."""

    number: Revision = NO_REVISION
    packed: bytes = b""


def apply(held: NewestFile, command: StoreFile) -> tuple[NewestFile, StoreResult]:
    """Keep a file with a higher number; any other command changes nothing and is answered alike.

    A command that is sent again, or overtaken by another operator's, must not be refused.
    """
    if command.revision > held.number:
        held = NewestFile(command.revision, command.packed)
    return held, StoreResult(ResultCode.OK, held.number)
