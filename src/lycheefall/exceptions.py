"""Public exceptions and result codes."""

from lycheefall._core.codes import ResultCode, http_status, run_state
from lycheefall._core.exceptions import (
    ControlUnavailable,
    DataFolderUnusable,
    DiskFull,
    FileFieldError,
    FileReferenceError,
    FileSyntaxError,
    LogDamaged,
    LycheefallError,
    PortInUse,
    RequestRefused,
    SettingInvalid,
)

__all__ = [
    "ControlUnavailable",
    "DataFolderUnusable",
    "DiskFull",
    "FileFieldError",
    "FileReferenceError",
    "FileSyntaxError",
    "LogDamaged",
    "LycheefallError",
    "PortInUse",
    "RequestRefused",
    "ResultCode",
    "SettingInvalid",
    "http_status",
    "run_state",
]
