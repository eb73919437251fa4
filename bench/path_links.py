"""What an open peer link costs: memory on each side, and the processor time to dial it.

Run with ``python -m bench.path_links``.
"""

import asyncio
import os
import platform
import time
from pathlib import Path

import uvloop

from bench import path_hops, path_load
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.peers import links
from fuchsiamoor.testing import messages_data

LINKS = 500
DIALLED_AT_ONCE = 20


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


async def run() -> None:
    """Open links to one peer, each from a member of its own, and print their cost."""
    far_end = path_hops.start_far_end("peer")
    member = messages_data.make_member("b#1", Address(*path_hops.read_line(far_end)))
    metrics = messages_data.CountingMetrics()
    opened = [
        links.make_links(f"a#{i}", path_load.PEER_KEYS, None, metrics)
        for i in range(LINKS + 1)
    ]
    forward = messages_data.make_forward()
    await opened[0].call(member, forward, 5000)
    own_pid = os.getpid()
    before = read_resident_bytes(own_pid), read_resident_bytes(far_end.pid)
    start_s = time.process_time()
    for i in range(1, LINKS + 1, DIALLED_AT_ONCE):
        batch = opened[i : i + DIALLED_AT_ONCE]
        await asyncio.gather(*(one.call(member, forward, 5000) for one in batch))
    used_us = (time.process_time() - start_s) / LINKS * 1e6
    after = read_resident_bytes(own_pid), read_resident_bytes(far_end.pid)
    dialled, accepted = (
        (now - then) / LINKS / 1024 for now, then in zip(after, before, strict=True)
    )
    print(
        f"{os.cpu_count()} cores, Python {platform.python_version()}, "
        f"load {os.getloadavg()[0]:.1f}, {LINKS} links"
    )
    print(f"{'dialling side, KB for each link':<40}{dialled:>8.1f}")
    print(f"{'accepting side, KB for each link':<40}{accepted:>8.1f}")
    print(f"{'dialling side, us to dial and call once':<40}{used_us:>8.0f}")
    await asyncio.gather(*(one.close(0) for one in opened))
    path_hops.end(far_end)


if __name__ == "__main__":
    uvloop.run(run())
