"""Structured log lines: one JSON object a line, with the event name and named fields."""

import datetime
import json
import logging

_FIELDS = "orioleloft_fields"


class LineFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def __init__(self) -> None:
        super().__init__()
        self.node = ""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line."""
        moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        line = {
            "time": moment.isoformat(timespec="milliseconds"),
            "level": record.levelname,
            "node": self.node,
            "event": record.getMessage(),
            **getattr(record, _FIELDS, {}),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def log_event(
    logger: logging.Logger, name: str, /, _level: int = logging.INFO, **fields: object
) -> None:
    """Writes an event with named fields."""
    logger.log(_level, name, extra={_FIELDS: fields})
