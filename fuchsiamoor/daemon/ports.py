"""Ports: the carriers of one node in the shape that entry and serving take."""

from typing import NamedTuple

from fuchsiamoor.core import members, messages, requests, verdicts
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.daemon import upstream_client
from fuchsiamoor.peers import links as peer_links


class LinksPort(NamedTuple):
    """Links to other daemons, as the entry side takes them."""

    links: peer_links.Links

    async def call(
        self, member: members.Member, message: messages.Message, timeout_ms: int
    ) -> messages.Message:
        """Send a message and wait for its answer; raises `PeerError`."""
        return await peer_links.call(self.links, member, message, timeout_ms)

    def tell(self, member: members.Member, message: messages.Message) -> None:
        """Send a message that has no answer, if the link is up."""
        peer_links.tell(self.links, member, message)


class UpstreamPort(NamedTuple):
    """The upstream beside the daemon, as the serving side takes it."""

    node: nodes.Node

    async def run(
        self,
        request: requests.Request,
        shard: int,
        epoch: int,
        lease_until_unix_ms: int,
        deadline_at_unix_ms: int,
    ) -> requests.Answer:
        """Run a request; a refused connection shows that the upstream is gone."""
        answer = await upstream_client.run(
            self.node.client,
            request,
            shard,
            epoch,
            lease_until_unix_ms,
            deadline_at_unix_ms,
        )
        match answer.verdict:
            case verdicts.NotRun(verdicts.Reason.CONNECT_FAILED):
                self.node.upstream_suspect.set()
        return answer
