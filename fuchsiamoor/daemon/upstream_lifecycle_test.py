import asyncio

from fuchsiamoor.daemon import cluster_state as cluster_states
from fuchsiamoor.daemon import upstream_lifecycle
from fuchsiamoor.ownership import lease_holder as holders
from fuchsiamoor.ownership import tables_codec
from fuchsiamoor.testing import (
    fake_store,
    members_data,
    node_data,
    ownership_data,
    virtual_time,
)
from fuchsiamoor.testing.scripted_upstream import ScriptedUpstream

DOMAIN = "stock@a"


def make_owner():
    """Return a node that owns all shards of a domain."""
    node = node_data.make_node(fake_store.make_fake_store())
    table = ownership_data.make_table((node.member.member_id,))._replace(domain=DOMAIN)
    cluster_states.adopt_table(node.cluster_state, tables_codec.encode_table(table))
    node.holders[DOMAIN] = holders.make_lease_holder(
        node.member.member_id, DOMAIN, ownership_data.TIMING
    )
    return node


def test_no_handover_without_another_member_that_can_take_the_shards():
    node = make_owner()
    cluster_states.adopt_members(
        node.cluster_state,
        [
            members_data.make_member("b-1", region="b", data_centre="b-1"),
            members_data.make_member("a-2", service="booking"),
            members_data.make_member("a-1", "earlier run"),
        ],
    )
    assert not upstream_lifecycle.has_shards_to_hand_over(node)


def test_owner_hands_over_if_another_member_can_take_its_shards():
    node = make_owner()
    cluster_states.adopt_members(node.cluster_state, [members_data.make_member("a-2")])
    assert upstream_lifecycle.has_shards_to_hand_over(node)


# The drain of an upstream that has been replaced must not close its successor.
def test_drain_of_an_upstream_that_was_replaced_leaves_its_successor_open():
    async def main():
        node = make_owner()
        node.now_ms = virtual_time.now_ms
        node_data.connect_serving(node, ScriptedUpstream())
        cluster_states.adopt_members(
            node.cluster_state, [members_data.make_member("a-2")]
        )
        node.upstream.incarnation = "first"
        draining = asyncio.ensure_future(
            upstream_lifecycle.drain_upstream(node, "first")
        )
        await asyncio.sleep(1)
        node.upstream.incarnation = "second"
        node.holders.clear()
        await draining
        assert not node.serving.closed

    virtual_time.run(main())
