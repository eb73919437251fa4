"""Links between daemons: calls to peers, and the handling of theirs.

Each member dials its own link to each peer that it calls; answers come back on the
same link. Nothing is ever sent twice.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fuchsiamoor.core import addresses, members, messages
from fuchsiamoor.peers import accepted, access, dialled

CLOSE_GRACE_MS = 2000


class Metrics(Protocol):
    """Where events are counted."""

    def count(self, name: str, n: int = 1) -> None:
        """Add to a counter."""


@dataclass(slots=True)
class Links:
    """All peer links of one member, dialled and accepted."""

    dialler: dialled.Dialler
    acceptor: accepted.Acceptor

    async def call(
        self, member: members.Member, message: messages.Message, timeout_ms: int
    ) -> messages.Message:
        """Send a message to a member and return its answer.

        Parameters
        ----------
        member : Member
        message : Message
        timeout_ms : int
            Time to wait for the answer, dialling included.

        Raises
        ------
        PeerUnreachableError
            If the member has certainly not handled the message and never will.
        PeerLinkLostError
            If the link broke, or the handler failed, after the message may have left.
        PeerTimeoutError
            If the message may have left and no answer came in time.
        """
        return await dialled.call(self.dialler, member, message, timeout_ms)

    def tell(self, member: members.Member, message: messages.Message) -> None:
        """Send a message that has no answer; it may be lost."""
        dialled.tell(self.dialler, member, message)

    async def close(self, grace_ms: int = CLOSE_GRACE_MS) -> None:
        """Take no more calls, finish those in flight both ways, and close all links.

        Parameters
        ----------
        grace_ms : int
            Longest time to wait for calls in flight.
        """
        await asyncio.gather(
            accepted.leave(self.acceptor, grace_ms),
            dialled.close(self.dialler, grace_ms),
        )

    def abort(self) -> None:
        """Cut all links at once; peers see them broken."""
        for link in self.dialler.links.values():
            if link.connection is not None:
                link.connection.transport.abort()
        for link in self.acceptor.open_links.values():
            link.connection.transport.abort()


def make_links(
    own_member_id: str,
    peer_keys: tuple[str, ...],
    handle: accepted.Handle,
    metrics: Metrics,
    is_far: Callable[[members.Member], bool] = lambda member: False,
) -> Links:
    """Return links of which none is open.

    Parameters
    ----------
    own_member_id : str
    peer_keys : tuple of str
        Shared keys in force, the first one used for dialling.
    handle : callable
        ``async handle(sender_member_id, message)`` returns the answer to a peer's
        message. Each message is handled in a task of its own.
    metrics : Metrics
    is_far : callable, optional
        Whether a member is reached over a link that is paid by volume; what goes there
        and back is compressed.
    """
    guard = access.make_guard(peer_keys)
    return Links(
        dialled.Dialler(own_member_id, peer_keys, metrics, is_far),
        accepted.Acceptor(own_member_id, guard, handle, metrics),
    )


async def serve(links: Links, address: addresses.Address) -> addresses.Address:
    """Accept links at an address.

    Returns
    -------
    Address
        With the port that was bound.
    """
    return await accepted.listen(links.acceptor, address)
