"""Planned stop of a daemon, in virtual time."""

import asyncio

import pytest

from fuchsiamoor.core.messages import Forward
from fuchsiamoor.core.verdicts import NotRun, Ran, Reason
from fuchsiamoor.daemon import serving as servings
from fuchsiamoor.daemon import shutdown
from fuchsiamoor.testing import fake_store, node_data, requests_data, virtual_time
from fuchsiamoor.testing.scripted_upstream import ScriptedUpstream


def make_sole_owner(upstream):
    """Return a node that nobody can take over from."""
    node = node_data.make_node(fake_store.make_fake_store())
    node.now_ms = virtual_time.now_ms
    node_data.connect_serving(node, upstream)
    return node


def start_carried(node, request_id):
    request = requests_data.make_request(request_id, deadline_ms=30_000)
    forward = Forward(request, requests_data.DOMAIN, 1, 1, 1, 1)
    return asyncio.ensure_future(servings.serve(node.serving, forward))


def has_run(carried):
    """Return whether a request ran; if not, check that it was refused as not run."""
    verdict = carried.result().answer.verdict
    assert verdict == Ran() or (
        isinstance(verdict, NotRun) and verdict.reason is Reason.SHUTTING_DOWN
    )
    return verdict == Ran()


# Runs that began after the daemon's first idle moment were cut when its links closed.
@pytest.mark.parametrize("start_ms", [0, 1, 100, 300, 499, 510, 600])
def test_stop_ends_after_the_runs_that_began_during_it(start_ms):
    async def main():
        upstream = ScriptedUpstream(run_ms=4_000)
        node = make_sole_owner(upstream)
        stop = asyncio.ensure_future(shutdown.stop(node))
        await asyncio.sleep(start_ms / 1_000)
        carried = start_carried(node, "r1")
        await node.stopped.wait()
        assert not upstream.running
        late = start_carried(node, "r2")
        await asyncio.wait((carried, late))
        await stop
        # Until the servers close, the only owner of its keys serves them.
        assert has_run(carried) == (start_ms < shutdown.CALLER_CLOSE_MS)
        assert not has_run(late)

    virtual_time.run(main())
