"""Entry point of the daemon on the platform: ``python3 -m fuchsiamoor.platform``."""

import asyncio
import signal
import sys

import uvloop

from fuchsiamoor.agent import lifecycle
from fuchsiamoor.core import agent_settings, byte_account, errors, faults
from fuchsiamoor.daemon import log_stream, logs
from fuchsiamoor.platform import dialect, settings, store

EXIT_INVALID_SETTINGS = 2
STORE_TIMEOUT_MS = 1_500
# Lines are written ten times a second at most, as each write costs a system call.
LOG_DELAY_MS = 100


def main() -> None:
    """Run the daemon beside one upstream until SIGTERM."""
    try:
        loaded = settings.load_settings()
    except errors.InvalidDocumentError as error:
        for fault in error.faults:
            print(faults.format_fault(fault), file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    stream = log_stream.LogStream(sys.stdout.fileno(), delay_ms=LOG_DELAY_MS)
    logs.make_logger(loaded.instance, stream)
    try:
        uvloop.run(_run(loaded))
    finally:
        stream.flush()


async def _run(loaded: agent_settings.AgentSettings) -> None:
    accounts = byte_account.make_accounts(loaded.memory_bytes)
    client = store.make_store(loaded.store_address, STORE_TIMEOUT_MS, accounts.store)
    agent = lifecycle.make_agent(loaded, dialect.make_dialect(), client, accounts)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, lifecycle.request_stop, agent)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await lifecycle.run(agent)
    client.close()


if __name__ == "__main__":
    main()
