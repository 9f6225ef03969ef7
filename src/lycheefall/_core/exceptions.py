"""Exceptions that abort an operation; each has a result code."""

from lycheefall._core.codes import ResultCode


class LycheefallError(Exception):
    """Base class of exceptions with a result code."""

    code: ResultCode

    def __init__(self, detail: str) -> None:
        super().__init__(f"[{int(self.code)} {self.code.name}] {detail}")
        self.detail = detail


class RequestRefused(LycheefallError):
    """Raised when a caller's request is refused before execution."""

    def __init__(self, code: ResultCode, detail: str) -> None:
        self.code = code
        super().__init__(detail)


class FileSyntaxError(LycheefallError):
    """Raised when a configuration file is not valid TOML."""

    code = ResultCode.FILE_SYNTAX


class FileFieldError(LycheefallError):
    """Raised when a configuration field has an invalid type or value."""

    code = ResultCode.FILE_FIELD


class FileReferenceError(LycheefallError):
    """Raised when a configuration file references an undefined name."""

    code = ResultCode.FILE_REFERENCE


class SettingInvalid(LycheefallError):
    """Raised when a flag or environment variable has an invalid value."""

    code = ResultCode.SETTING_INVALID


class PortInUse(LycheefallError):
    """Raised when a listen address is already in use."""

    code = ResultCode.PORT_IN_USE


class DataFolderUnusable(LycheefallError):
    """Raised when the data folder cannot be read or written."""

    code = ResultCode.DATA_FOLDER_UNUSABLE


class LogDamaged(LycheefallError):
    """Raised when the log is corrupt before its tail, where truncation would lose entries."""

    code = ResultCode.LOG_DAMAGED


class DiskFull(LycheefallError):
    """Raised when a write fails because the disk is full."""

    code = ResultCode.DISK_FULL


class ControlUnavailable(LycheefallError):
    """Raised when no control replica answers before the timeout."""

    code = ResultCode.CONTROL_UNAVAILABLE


class EntryUnreachable(LycheefallError):
    """Raised when no entry answers at an operator's address."""

    code = ResultCode.ENTRY_UNREACHABLE


class QuestionInvalid(LycheefallError):
    """Raised when the request of a question to an entry is not usable."""

    code = ResultCode.QUESTION_INVALID


class ExplainBusy(LycheefallError):
    """Raised when an entry has just explained another request."""

    code = ResultCode.EXPLAIN_BUSY


class ExplainFailed(LycheefallError):
    """Raised when an entry answers a question with something else than an explanation."""

    code = ResultCode.EXPLAIN_FAILED
