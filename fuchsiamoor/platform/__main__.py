"""The daemon's program on the platform: ``python3 -m fuchsiamoor.platform``."""

import asyncio
import signal
import sys

import uvloop

from fuchsiamoor.agent import lifecycle
from fuchsiamoor.core import agent_settings, errors, faults
from fuchsiamoor.daemon import log_stream, logs
from fuchsiamoor.platform import dialect, settings, store

EXIT_WRONG_SETTINGS = 2
STORE_TIMEOUT_MS = 1_500


def main() -> None:
    """Run the daemon beside one upstream until SIGTERM."""
    try:
        found = settings.load_settings()
    except errors.InvalidDocumentError as error:
        for fault in error.faults:
            print(faults.format_fault(fault), file=sys.stderr)
        sys.exit(EXIT_WRONG_SETTINGS)
    logs.make_logger(found.instance, log_stream.LogStream(sys.stdout.fileno()))
    uvloop.run(_run(found))


async def _run(found: agent_settings.AgentSettings) -> None:
    client = store.make_store(found.store_address, STORE_TIMEOUT_MS)
    agent = lifecycle.make_agent(found, dialect.make_dialect(), client)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lifecycle.request_stop, agent)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await lifecycle.run(agent)
    client.close()


if __name__ == "__main__":
    main()
