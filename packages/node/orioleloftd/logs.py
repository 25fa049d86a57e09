"""Structured logging: one JSON object per line, with the event name and its fields."""

import datetime
import json
import logging

_FIELDS = "orioleloft_fields"


class JsonFormatter(logging.Formatter):
    """Formats log records as JSON objects.

    Attributes:
        node: name of the node that each line carries.
    """

    def __init__(self) -> None:
        super().__init__()
        self.node = ""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as one line of JSON; other types are converted by `str`."""
        created_at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        entry = {
            "time": created_at.isoformat(timespec="milliseconds"),
            "level": record.levelname,
            "node": self.node,
            "event": record.getMessage(),
            **getattr(record, _FIELDS, {}),
        }
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return json.dumps(entry, default=str)


def log_event(
    logger: logging.Logger, name: str, /, _level: int = logging.INFO, **fields: object
) -> None:
    """Logs an event; the keyword arguments become fields of the JSON line."""
    logger.log(_level, name, extra={_FIELDS: fields})
