"""Measures what an open peer link costs: memory on both sides, processor time to dial.

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
    """Open links from many members to one peer and print the mean cost of a link."""
    peer_process = path_hops.start_helper("peer")
    member = messages_data.make_member(
        "b#1", Address(*path_hops.read_line(peer_process))
    )
    metrics = messages_data.CountingMetrics()
    members_links = [
        links.make_links(f"a#{i}", path_load.PEER_KEYS, None, metrics)
        for i in range(LINKS + 1)
    ]
    forward = messages_data.make_forward()
    await members_links[0].call(member, forward, 5000)
    own_pid = os.getpid()
    before = read_resident_bytes(own_pid), read_resident_bytes(peer_process.pid)
    start_s = time.process_time()
    for i in range(1, LINKS + 1, DIALLED_AT_ONCE):
        batch = members_links[i : i + DIALLED_AT_ONCE]
        await asyncio.gather(
            *(member_links.call(member, forward, 5000) for member_links in batch)
        )
    used_us = (time.process_time() - start_s) / LINKS * 1e6
    after = read_resident_bytes(own_pid), read_resident_bytes(peer_process.pid)
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
    await asyncio.gather(*(member_links.close(0) for member_links in members_links))
    path_hops.stop_helper(peer_process)


if __name__ == "__main__":
    uvloop.run(run())
