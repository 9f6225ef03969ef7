"""Tests of the linearizability checker that the process tests use."""

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import Digest, Revision
from lycheefall._core.messages.control import ApplyFile, FileResult
from processes.history import Call, is_linearizable


def call(
    begin_s: float, end_s: float, replaces: int, own: str, revision: int, accepted: str
) -> Call:
    """Return a call with digest `own` that was answered with the accepted digest of a revision."""
    code = ResultCode.OK if own == accepted else ResultCode.FILE_CONFLICT
    command = ApplyFile(Revision(replaces), Digest(own), own)
    return Call(command, begin_s, end_s, FileResult(code, Revision(revision), Digest(accepted)))


class TestHistory:
    def test_linearizable_history(self) -> None:
        """Guards against a checker that rejects a linearizable history."""
        assert is_linearizable(
            [call(0, 2, 0, "a", 1, "a"), call(1, 3, 0, "b", 1, "a"), call(3, 4, 1, "c", 2, "c")]
        )

    def test_two_files_in_one_revision(self) -> None:
        """Guards against missing that two files were accepted as one revision."""
        assert not is_linearizable([call(0, 1, 0, "a", 1, "a"), call(0, 1, 0, "b", 1, "b")])

    def test_conflict_with_a_later_file(self) -> None:
        """Guards against missing a conflict with a file that had not been sent yet."""
        assert not is_linearizable([call(0, 1, 0, "b", 1, "a"), call(2, 3, 0, "a", 1, "a")])

    def test_lost_revision(self) -> None:
        """Guards against missing that a later answer lacks an accepted file."""
        assert not is_linearizable([call(0, 1, 0, "a", 1, "a"), call(2, 3, 1, "c", 0, "")])
