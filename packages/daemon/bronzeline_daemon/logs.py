"""Log one event per line, as key=value pairs or as JSON."""

from __future__ import annotations

import json
import logging
import re
import sys
from collections.abc import Mapping
from types import TracebackType
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from bronzeline_kernel.decisions import Decision
from bronzeline_kernel.story import ROUTINE_KINDS

__all__ = [
    "LINE_FORMATS",
    "ExceptionInfo",
    "KeyValueFormatter",
    "configure_logs",
    "log_debug",
    "log_decision",
    "log_event",
    "log_exception",
    "make_record",
    "write_record",
]

LOGGER = logging.getLogger("bronzeline")
LIBRARY_LOGGERS = ("tornado", "asyncio")
FIELDS = ["asctime", "levelname", "message"]
RENAMED_FIELDS = {
    "asctime": "time",
    "levelname": "level",
    "message": "event",
    "exc_info": "traceback",
}
UNQUOTED_VALUE = re.compile(r"[!#-<>-\[\]-~]+")
INVALID_KEY_CHARACTER = re.compile(r"[^A-Za-z0-9_.-]")

ExceptionInfo = tuple[type[BaseException], BaseException, TracebackType | None]


class KeyValueFormatter(JsonFormatter):
    """Format a record as key=value pairs instead of JSON."""

    def jsonify_log_record(self, log_data: Any) -> str:
        """Return the record's fields on one line."""
        return " ".join(
            f"{INVALID_KEY_CHARACTER.sub('_', key)}={quote(value)}"
            for key, value in log_data.items()
        )


LINE_FORMATS = {"key_value": KeyValueFormatter, "json": JsonFormatter}


def configure_logs(
    level: str = "info",
    line_format: str = "key_value",
    handler: logging.Handler | None = None,
) -> None:
    """Send events to a handler or to standard error in one of `LINE_FORMATS`."""
    formatter = LINE_FORMATS[line_format](FIELDS, rename_fields=RENAMED_FIELDS)
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    for logger in (LOGGER, *map(logging.getLogger, LIBRARY_LOGGERS)):
        logger.handlers = [handler]
        logger.setLevel(level.upper())
        logger.propagate = False


def log_event(event: str, **fields: object) -> None:
    """Log an event with its fields at level info."""
    LOGGER.info(event, extra=_rename_reserved(fields))


def make_record(
    level: int, event: str, fields: Mapping[str, object]
) -> logging.LogRecord:
    """Return a record with the current time that can be written later."""
    return LOGGER.makeRecord(
        LOGGER.name, level, "", 0, event, (), None, extra=_rename_reserved(fields)
    )


def write_record(record: logging.LogRecord) -> None:
    """Write a record from `make_record`."""
    if LOGGER.isEnabledFor(record.levelno):
        LOGGER.handle(record)


def log_debug(event: str, **fields: object) -> None:
    """Log an event with its fields at level debug."""
    if LOGGER.isEnabledFor(logging.DEBUG):
        LOGGER.debug(event, extra=_rename_reserved(fields))


def log_decision(decision: Decision) -> None:
    """Log a decision, at level debug if it is routine."""
    is_routine = decision.kind in ROUTINE_KINDS and bool(decision.chosen)
    log = log_debug if is_routine else log_event
    log(
        "decision",
        subject=decision.subject,
        kind=decision.kind,
        chosen=decision.chosen,
        reason=decision.reason,
        against=",".join(decision.against),
        rule=decision.rule,
        configuration_version=decision.configuration_version,
        **decision.details,
    )


def log_exception(event: str, exception: ExceptionInfo, **fields: object) -> None:
    """Log an unexpected error with its traceback."""
    LOGGER.error(event, exc_info=exception, extra=_rename_reserved(fields))


def quote(value: object) -> str:
    """Return a value as is, or as a JSON string if it needs quotes."""
    text = value if isinstance(value, str) else str(value)
    return text if UNQUOTED_VALUE.fullmatch(text) else json.dumps(text)


def _rename_reserved(fields: Mapping[str, object]) -> dict[str, object]:
    """Append `_` to field names that a log record uses itself."""
    return {
        f"{name}_" if name in RESERVED_NAMES else name: value
        for name, value in fields.items()
    }


RESERVED_NAMES = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}
