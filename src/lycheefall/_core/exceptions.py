"""Errors that end an operation; each carries its result code."""

from lycheefall._core.codes import ResultCode


class LycheefallError(Exception):
    """Base of all errors with a result code."""

    code: ResultCode

    def __init__(self, detail: str) -> None:
        super().__init__(f"[{int(self.code)} {self.code.name}] {detail}")
        self.detail = detail


class RequestRefused(LycheefallError):
    """Refuse a caller's request before anything is run."""

    def __init__(self, code: ResultCode, detail: str) -> None:
        self.code = code
        super().__init__(detail)


class FileSyntaxError(LycheefallError):
    """Report a configuration file that isn't valid TOML."""

    code = ResultCode.FILE_SYNTAX


class FileFieldError(LycheefallError):
    """Report a field of a configuration file with a wrong type or value."""

    code = ResultCode.FILE_FIELD


class FileReferenceError(LycheefallError):
    """Report a name in a configuration file that the file doesn't define."""

    code = ResultCode.FILE_REFERENCE


class SettingInvalid(LycheefallError):
    """Report a flag or environment variable with a value that isn't allowed."""

    code = ResultCode.SETTING_INVALID


class PortInUse(LycheefallError):
    """Report a listening address that another process holds."""

    code = ResultCode.PORT_IN_USE


class DataFolderUnusable(LycheefallError):
    """Report a data folder that can't be read or written."""

    code = ResultCode.DATA_FOLDER_UNUSABLE


class LogDamaged(LycheefallError):
    """Report damage in the middle of the log, which must not be cut off."""

    code = ResultCode.LOG_DAMAGED


class DiskFull(LycheefallError):
    """Report a write that failed for lack of space."""

    code = ResultCode.DISK_FULL


class ControlUnavailable(LycheefallError):
    """Report that no control replica answered in time."""

    code = ResultCode.CONTROL_UNAVAILABLE
