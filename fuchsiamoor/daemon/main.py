"""Command line of the daemon: ``fuchsiamoord SETTINGS.json``."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Annotated

import typer
import uvloop
from loguru import logger

from fuchsiamoor.core import errors, faults, settings
from fuchsiamoor.daemon import logs, settings_file, startup

EXIT_INVALID_SETTINGS = 2

app = typer.Typer(add_completion=False)


@app.command()
def main(
    path: Annotated[Path, typer.Argument(metavar="SETTINGS.json")],
) -> None:
    """Run the daemon beside one upstream instance until SIGTERM."""
    try:
        config = settings_file.load_settings(path)
    except errors.InvalidDocumentError as error:
        for fault in error.faults:
            print(faults.format_fault(fault), file=sys.stderr)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from error
    logs.make_logger(config.instance)
    uvloop.run(_run(config))


async def _run(config: settings.Settings) -> None:
    node = startup.make_connected_node(config)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, startup.request_stop, node)
    await startup.run(node)
    logger.info("stopped")


def run() -> None:
    """Entry point of the installed command."""
    app()


if __name__ == "__main__":
    run()
