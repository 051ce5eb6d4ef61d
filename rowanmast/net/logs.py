"""Logging as lines of key=value pairs, one line per event."""

from __future__ import annotations

import logging
import sys
from collections import Counter

EMBEDDED_THREAD_PREFIX = "rowanmast:"  # of the name of an embedded router's thread, before the router's
MAX_WARNINGS_PER_SECOND = 20  # of each event
STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


def quote_value(value: object) -> str:
    text = str(value)
    if text and not any(char in text for char in ' "=\n\r\\'):
        return text
    text = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return f'"{text}"'


class KeyValueFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, object] = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S") + f".{int(record.msecs):03d}",
            "level": record.levelname.lower(),
            "part": record.name.removeprefix("rowanmast."),
            "event": record.getMessage(),
        }
        if (record.threadName or "").startswith(EMBEDDED_THREAD_PREFIX):
            pairs["router"] = str(record.threadName).removeprefix(EMBEDDED_THREAD_PREFIX)
        pairs |= {key: value for key, value in vars(record).items() if key not in STANDARD_ATTRIBUTES}
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={quote_value(value)}" for key, value in pairs.items())


class OfRouter(logging.Filter):
    """Passes only the records of one embedded router, so that it can have its own handler."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.thread = EMBEDDED_THREAD_PREFIX + name  # name of the router's thread

    def filter(self, record: logging.LogRecord) -> bool:
        return record.threadName == self.thread


class WarningLimit(logging.Filter):
    """Passes a limited number of lines of each warning in a second, as others decide how many there are.

    The next line that passes has the number of those left out, as `suppressed`.
    """

    def __init__(self) -> None:
        super().__init__()
        self.second = 0
        self.passed: Counter[str] = Counter()  # in this second, by event
        self.suppressed: Counter[str] = Counter()  # since the last line that passed, by event

    def filter(self, record: logging.LogRecord) -> bool:
        if record.levelno != logging.WARNING:
            return True
        if int(record.created) != self.second:
            self.second = int(record.created)
            self.passed.clear()
        event = str(record.msg)
        if self.passed[event] >= MAX_WARNINGS_PER_SECOND:
            self.suppressed[event] += 1
            return False
        self.passed[event] += 1
        suppressed = self.suppressed.pop(event, 0)
        if suppressed:
            record.suppressed = suppressed
        return True


def configure_logging(name: str) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    handler.addFilter(WarningLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    logging.getLogger("rowanmast").info("start", extra={"router": name})
