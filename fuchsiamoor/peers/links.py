"""Links between daemons: sends calls to peers and handles calls from peers.

Each member dials its own link to each peer that it calls; answers return on the same
link. No message is sent twice.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fuchsiamoor.core import addresses, byte_account, members, messages
from fuchsiamoor.peers import handshake, inbound, outbound

CLOSE_GRACE_MS = 2000


class Metrics(Protocol):
    """Counters of link events."""

    def count(self, name: str, n: int = 1) -> None:
        """Add to a counter."""


@dataclass(slots=True)
class Links:
    """All peer links of one member, outbound and inbound."""

    dialler: outbound.Dialler
    acceptor: inbound.Acceptor

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
            If the member has not handled the message and will not handle it.
        PeerLinkLostError
            If the link broke after the message may have been sent, or the handler
            failed.
        PeerTimeoutError
            If the message may have been sent and no answer arrived in time.
        """
        return await outbound.call(self.dialler, member, message, timeout_ms)

    def tell(self, member: members.Member, message: messages.Message) -> None:
        """Send a one-way message without delivery guarantee."""
        outbound.tell(self.dialler, member, message)

    def announce_leave(self) -> None:
        """Refuse new calls, and let peers close their links after their last answer."""
        inbound.announce_leave(self.acceptor)

    def has_unsent_answers(self) -> bool:
        """Return whether an answer to a peer has not been written yet."""
        return inbound.has_unsent_answers(self.acceptor)

    def is_left(self) -> bool:
        """Return whether all peers have closed their links to this member."""
        return not self.acceptor.open_links

    async def close(self, grace_ms: int = CLOSE_GRACE_MS) -> None:
        """Refuse new calls, finish calls in flight both ways, and close all links.

        Parameters
        ----------
        grace_ms : int
            Longest time to wait for calls in flight.
        """
        await asyncio.gather(
            inbound.drain(self.acceptor, grace_ms),
            outbound.close(self.dialler, grace_ms),
        )

    def abort(self) -> None:
        """Abort all connections without draining; peers see lost links."""
        for link in (*self.dialler.links.values(), *self.dialler.replaced.values()):
            if link.connection is not None:
                link.connection.transport.abort()
        for link in self.acceptor.open_links.values():
            link.connection.transport.abort()


def make_links(
    own_member_id: str,
    peer_keys: tuple[str, ...],
    handle: inbound.MessageHandler,
    metrics: Metrics,
    uses_compression: Callable[[members.Member], bool] = lambda member: False,
    accounts: byte_account.Accounts | None = None,
) -> Links:
    """Return the links of a member; none is open yet.

    Parameters
    ----------
    own_member_id : str
    peer_keys : tuple of str
        Valid shared keys; the first one signs offers of outbound links.
    handle : callable
        ``async handle(sender_member_id, message)`` returns the answer to a peer's
        message. Each message is handled in its own task.
    metrics : Metrics
    uses_compression : callable, optional
        Whether to compress the link to a member, because its network path is charged
        by volume.
    accounts : Accounts, optional
        Count unread frames, and messages that a peer has not read.
    """
    accounts = accounts or byte_account.make_accounts(byte_account.UNLIMITED_BYTES)
    authenticator = handshake.make_authenticator(peer_keys)
    return Links(
        outbound.Dialler(own_member_id, peer_keys, metrics, accounts, uses_compression),
        inbound.Acceptor(own_member_id, authenticator, handle, metrics, accounts),
    )


async def serve(links: Links, address: addresses.Address) -> addresses.Address:
    """Accept links at an address.

    Returns
    -------
    Address
        With the bound port.
    """
    return await inbound.listen(links.acceptor, address)
