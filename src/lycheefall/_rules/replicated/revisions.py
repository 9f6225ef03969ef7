"""Accepted configuration files: compare-and-set on the revision that a file replaces."""

from collections.abc import Callable

from msgspec import Struct, field, structs

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration
from lycheefall._core.exceptions import FileFieldError, FileReferenceError, FileSyntaxError
from lycheefall._core.ids import Digest, Revision
from lycheefall._core.messages.control import ApplyFile, FileResult

# A file resent after more later files than this is answered with a conflict. At the size that the
# system is designed for, this many files are about four days of changes.
MAX_DIGESTS = 10_000

Parse = Callable[[str, Revision], Configuration]
Apply = Callable[["Revisions", ApplyFile, int], tuple["Revisions", FileResult]]


class Revisions(Struct):
    """The configuration in force, and the digests of the accepted files by revision."""

    configuration: Configuration = field(default_factory=Configuration)
    accepted: dict[Revision, Digest] = field(default_factory=dict)


def initial() -> Revisions:
    """Return the state before the first command."""
    return Revisions()


def applier(parse: Parse) -> Apply:
    """Return the apply function that reads files with the given parser."""

    def apply(
        state: Revisions, command: ApplyFile, timestamp_ms: int
    ) -> tuple[Revisions, FileResult]:
        current = state.configuration
        if command.replaces != current.revision:
            return state, _mismatch_result(state, command)
        revision = Revision(current.revision + 1)
        try:
            parsed = parse(command.text, revision)
        except (FileSyntaxError, FileFieldError, FileReferenceError) as error:
            return state, FileResult(error.code, current.revision, current.digest, error.detail)
        _accept(state, structs.replace(parsed, revision=revision, digest=command.digest))
        return state, FileResult(ResultCode.OK, revision, command.digest)

    return apply


def _accept(state: Revisions, accepted: Configuration) -> None:
    state.configuration = accepted
    state.accepted[accepted.revision] = accepted.digest
    state.accepted.pop(Revision(accepted.revision - MAX_DIGESTS), None)


def _mismatch_result(state: Revisions, command: ApplyFile) -> FileResult:
    """Return the result of a file that does not replace the current revision.

    An accepted file that is resent gets its first result, any other file a conflict.
    """
    current = state.configuration
    revision = Revision(command.replaces + 1)
    accepted_digest = state.accepted.get(revision)
    if accepted_digest is None:
        detail = f"the file replaces {command.replaces}, but {current.revision} is in force"
        return FileResult(ResultCode.FILE_CONFLICT, current.revision, current.digest, detail)
    if accepted_digest == command.digest:
        return FileResult(ResultCode.OK, revision, accepted_digest)
    detail = f"another file was accepted as revision {revision}"
    return FileResult(ResultCode.FILE_CONFLICT, revision, accepted_digest, detail)
