"""Logging of a daemon: JSON lines on standard error, for state changes only.

Frequent events are counted in `fuchsiamoor.daemon.metrics` instead.
"""

import json
import sys
from typing import TextIO

import loguru


def make_logger(instance: str, stream: TextIO = sys.stderr) -> "loguru.Logger":
    """Configure the global logger to write JSON lines to a stream, and return it.

    Every later log line of the process has the instance as a field.

    Parameters
    ----------
    instance : str
    stream : TextIO

    Returns
    -------
    Logger
        Bind the fields that a line is about, such as term, epoch, revision and domain:
        ``logger.bind(term=3, revision=7).info("shards lost")``.
    """
    loguru.logger.remove()
    loguru.logger.add(
        lambda message: stream.write(format_line(message.record)),
        level="INFO",
        format="{message}",
        backtrace=False,
        diagnose=False,
    )
    loguru.logger.configure(extra={"instance": instance})
    return loguru.logger


def format_line(record: "loguru.Record") -> str:
    """Return a log record as one line of JSON."""
    fields = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        fields["exception"] = repr(record["exception"].value)
    return json.dumps(fields, ensure_ascii=False, default=str) + "\n"
