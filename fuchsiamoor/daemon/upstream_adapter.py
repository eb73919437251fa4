"""Adapts the client of the local upstream to the interface of the serving side."""

import time
from typing import NamedTuple

from fuchsiamoor.core import requests, verdicts
from fuchsiamoor.daemon import node as nodes


class UpstreamAdapter(NamedTuple):
    """The local upstream, as the serving side calls it."""

    node: nodes.Node

    async def run(
        self,
        request: requests.Request,
        shard: int,
        epoch: int,
        lease_until_unix_ms: int,
        deadline_at_unix_ms: int,
        domain: str = "",
    ) -> requests.Answer:
        """Run a request at the upstream.

        A refused connection suggests that the upstream is down, so it is probed
        immediately.
        """
        started_ns = time.monotonic_ns()
        answer = await self.node.client.run(
            request,
            shard,
            epoch,
            lease_until_unix_ms,
            deadline_at_unix_ms,
            domain,
        )
        match answer.verdict:
            case verdicts.Ran():
                elapsed_us = (time.monotonic_ns() - started_ns) // 1000
                self.node.metrics.record_upstream_answer(request.service, elapsed_us)
            case verdicts.NotRun(verdicts.Reason.CONNECT_FAILED):
                self.node.upstream_suspect.set()
        return answer
