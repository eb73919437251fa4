"""Starts a deployment from an example file and prints its listen addresses."""

import argparse
import asyncio
import json
import signal
import tempfile
from pathlib import Path

from standins import deployment


def _print_addresses(started: deployment.Deployment) -> None:
    print(f"store  {started.store_url}")
    print(f"files  {started.directory}")
    print(f"operators' key  {started.operator_key}")
    for name, instance in started.instances.items():
        listen_addresses = "  ".join(
            f"{kind} {address}" for kind, address in instance.addresses.items()
        )
        print(f"{name}  {listen_addresses}")
    print("ready; stop with Ctrl-C", flush=True)


async def run(options: argparse.Namespace) -> None:
    """Run a deployment until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
    example = json.loads(options.example.read_text())
    directory = options.directory or Path(tempfile.mkdtemp(prefix="fuchsiamoor-"))
    started = await deployment.start_deployment(example, directory, options.upstreams)
    _print_addresses(started)
    await stopped.wait()
    await deployment.stop_deployment(started)


def main() -> None:
    """Run the deployment that the command line describes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("example", type=Path)
    parser.add_argument("--upstreams", type=int, help="how many instances to start")
    parser.add_argument("--directory", type=Path, help="for settings, logs, journals")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
