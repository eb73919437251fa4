"""Log lines of a daemon: JSON on standard error, for changes of state only.

What happens often is counted instead, in `fuchsiamoor.daemon.metrics`.
"""

import json
import sys
from typing import TextIO

import loguru


def make_logger(instance: str, stream: TextIO = sys.stderr) -> "loguru.Logger":
    """Send all log lines to a stream as JSON, and return the logger.

    Every line of the process names the instance from then on.

    Parameters
    ----------
    instance : str
    stream : TextIO

    Returns
    -------
    Logger
        Bind what a line is about, of term, epoch, revision and domain:
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
    """Return one line of JSON for a record."""
    fields = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        fields["exception"] = repr(record["exception"].value)
    return json.dumps(fields, ensure_ascii=False, default=str) + "\n"
