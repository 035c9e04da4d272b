"""Logs each event as one line of key=value pairs, by default to standard error.

API keys never reach a log line: values that look like one, and values of fields
whose name says that they hold one, are masked.
"""

import re
import sys
from typing import Any, TextIO

import structlog

from quetzalmill import log_limits

MASK = "***"

MAX_VALUE_CHARS = 1_000
"""The longest value in a line but a traceback; the rest is left out."""

_LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
_SECRET_NAMES = frozenset({"authorization", "api_key", "key", "secret"})
_KEY_PATTERN = re.compile(r"\bqm_([0-9A-Za-z]+)_[0-9A-Za-z_-]+")
_CREDENTIALS_PATTERN = re.compile(r"(?i)\b(bearer|basic)\s+[^\s,;\"']+")


def configure(level: str = "info", stream: TextIO | None = None) -> None:
    """Sets up logging for the whole process.

    Args:
        level: The lowest level that is logged: ``debug``, ``info``,
            ``warning`` or ``error``.
        stream: The stream to write to; standard error by default.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            log_limits.EventRateLimit(),
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.format_exc_info,
            _mask_secrets,
            structlog.processors.LogfmtRenderer(
                key_order=["time", "level", "event"], drop_missing=True
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


def get(name: str) -> Any:
    """Returns a logger that adds ``module=<name>`` to each line.

    It may be called before ``configure``, which still takes effect then.
    """
    return structlog.get_logger(module=name.removeprefix("quetzalmill."))


def _mask_secrets(
    _logger: Any, _method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    return {name: _mask_value(name, value) for name, value in event.items()}


def _mask_value(name: str, value: Any) -> Any:
    if name.lower() in _SECRET_NAMES:
        return MASK
    if value is None or isinstance(value, bool | int | float):
        return value
    text = value if isinstance(value, str) else repr(value)
    if len(text) > MAX_VALUE_CHARS and name != "exception":
        text = f"{text[:MAX_VALUE_CHARS]}..."
    text = _CREDENTIALS_PATTERN.sub(rf"\1 {MASK}", text)
    return _KEY_PATTERN.sub(rf"qm_\1_{MASK}", text)
