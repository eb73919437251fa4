from fuchsiamoor.core import settings
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.daemon import cluster_state as cluster_states
from fuchsiamoor.daemon import metrics, store_metrics, upstream_lifecycle
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.ownership import lease_holder as holders
from fuchsiamoor.ownership import tables_codec
from fuchsiamoor.testing import fake_store, members_data, ownership_data

DOMAIN = "stock@a"


def make_owner():
    """Return a node that owns all shards of a domain."""
    node_settings = settings.Settings(
        "a-1",
        "stock",
        "a",
        "a-1",
        *[Address("127.0.0.1", 1)] * 5,
        "",
        None,
        (),
        (),
        ownership_data.TIMING,
    )
    made_metrics = metrics.make_metrics(None)
    store = fake_store.FakeStore(fake_store.VirtualClock())
    node = nodes.make_node(
        node_settings,
        store_metrics.make_counted_store(store, made_metrics),
        made_metrics,
    )
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
