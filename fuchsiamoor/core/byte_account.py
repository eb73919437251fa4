"""Account of the bytes that a daemon has received and still holds.

Each part of the account has a limit of its own, so that no source takes the room of
another. A part is full for a whole request or for a holder: a request is refused, and
of the holders the one with the most bytes is cut, not the one that asks.

Examples
--------
>>> account = ByteAccount("bodies", limit_bytes=10)
>>> hold(account, 8), hold(account, 3)
(True, False)
>>> release(account, 8)
>>> hold(account, 3)
True
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

# Shares of the machine's memory. A body of a request is held up to three times over: as
# received, in an encoded request or in messages, and in a connection's buffer.
BODIES_SHARE = 1 / 8
# Heads of callers' requests.
HEADS_SHARE = 1 / 16
# Unfinished answers of the upstream, held once. One of 16 MB fits a machine of 200 MB.
ANSWERS_SHARE = 1 / 12
# Unfinished answers of the store; decoding takes a multiple of one answer.
STORE_SHARE = 1 / 32
# Unfinished frames of other daemons, held once; a frame may carry such an answer.
FRAMES_SHARE = 1 / 12
# Answers and messages that callers and other daemons have not read yet.
UNSENT_SHARE = 1 / 12
# What a parsed header takes besides its characters: two byte strings and their tuple.
HEADER_BYTES = 160
# From the end of an answer until its caller's connection, or a link, counts it: the
# tasks that it passes through take a turn each.
UNCOUNTED_TURNS = 4
# For connections outside of a daemon.
UNLIMITED_BYTES = 1 << 62


class Holder(Protocol):
    """Holds bytes that can be given up, such as those of an unfinished answer."""

    def cut(self, detail: str) -> None:
        """Give up everything that is held."""


@dataclass(slots=True)
class ByteAccount:
    """One part of the account.

    Parameters
    ----------
    name : str
    limit_bytes : int
    held_bytes : int
        Bytes that are held now.
    holders : dict of Holder to int
        What each of those that can be cut holds.
    on_cut : callable
        Called with the part's name and the bytes of a holder that was cut.
    """

    name: str
    limit_bytes: int
    held_bytes: int = 0
    holders: dict[Holder, int] = field(default_factory=dict)
    on_cut: Callable[[str, int], None] = lambda name, size_bytes: None


class Accounts(NamedTuple):
    """The account of one daemon, by what the bytes belong to."""

    bodies: ByteAccount
    heads: ByteAccount
    answers: ByteAccount
    store: ByteAccount
    frames: ByteAccount
    unsent: ByteAccount


def make_accounts(memory_bytes: int) -> Accounts:
    """Return the account of a machine with this much memory."""
    shares = {
        "bodies": BODIES_SHARE,
        "heads": HEADS_SHARE,
        "answers": ANSWERS_SHARE,
        "store": STORE_SHARE,
        "frames": FRAMES_SHARE,
        "unsent": UNSENT_SHARE,
    }
    return Accounts(
        **{
            name: ByteAccount(name, int(memory_bytes * share))
            for name, share in shares.items()
        }
    )


def make_unlimited() -> ByteAccount:
    """Return an account that never is full."""
    return ByteAccount("unlimited", UNLIMITED_BYTES)


def has_room(account: ByteAccount, size_bytes: int) -> bool:
    """Return whether this many bytes may be held in addition."""
    return account.held_bytes + size_bytes <= account.limit_bytes


def hold(account: ByteAccount, size_bytes: int) -> bool:
    """Count bytes as held; return False, without effect, if there is no room."""
    if not has_room(account, size_bytes):
        return False
    account.held_bytes += size_bytes
    return True


def release(account: ByteAccount, size_bytes: int) -> None:
    """Count bytes as no longer held."""
    account.held_bytes -= size_bytes


def set_held(account: ByteAccount, holder: Holder, size_bytes: int) -> bool:
    """Set what a holder holds; cut the largest ones while there is too much.

    Returns
    -------
    bool
        False if the holder itself was cut.
    """
    account.held_bytes += size_bytes - account.holders.get(holder, 0)
    account.holders[holder] = size_bytes
    _cut_largest(account)
    return holder in account.holders


def hold_for_turns(
    account: ByteAccount, size_bytes: int, loop: asyncio.AbstractEventLoop
) -> None:
    """Hold bytes that nobody else counts for a few turns of the loop."""
    account.held_bytes += size_bytes
    _cut_largest(account)
    _release_after(account, size_bytes, loop, UNCOUNTED_TURNS)


def _release_after(
    account: ByteAccount, size_bytes: int, loop: asyncio.AbstractEventLoop, turns: int
) -> None:
    if turns == 0:
        release(account, size_bytes)
    else:
        loop.call_soon(_release_after, account, size_bytes, loop, turns - 1)


def _cut_largest(account: ByteAccount) -> None:
    while account.held_bytes > account.limit_bytes and account.holders:
        largest = max(account.holders, key=account.holders.__getitem__)
        largest_bytes = account.holders[largest]
        release_all(account, largest)
        account.on_cut(account.name, largest_bytes)
        largest.cut(f"cut with {largest_bytes} bytes, as too many are held")


def release_all(account: ByteAccount, holder: Holder) -> None:
    """Count nothing as held by a holder."""
    account.held_bytes -= account.holders.pop(holder, 0)
