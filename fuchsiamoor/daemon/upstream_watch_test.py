from fuchsiamoor.core import settings
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.daemon import knowledge as knowledges
from fuchsiamoor.daemon import metrics, store_metrics, upstream_watch
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.ownership import lease_holder as holders
from fuchsiamoor.ownership import tables_codec
from fuchsiamoor.testing import fake_store, members_data, ownership_data

DOMAIN = "stock@a"


def make_owner():
    """Return a node that owns all of a domain."""
    config = settings.Settings(
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
    counted = metrics.make_metrics(None)
    store = fake_store.FakeStore(fake_store.VirtualClock())
    node = nodes.make_node(
        config, store_metrics.make_counted_store(store, counted), counted
    )
    table = ownership_data.make_table((node.member.member_id,))._replace(domain=DOMAIN)
    knowledges.adopt_table(node.knowledge, tables_codec.encode_table(table))
    node.holders[DOMAIN] = holders.make_lease_holder(
        node.member.member_id, DOMAIN, ownership_data.TIMING
    )
    return node


def test_the_only_member_of_a_domain_has_nothing_to_wait_for_at_a_stop():
    node = make_owner()
    knowledges.adopt_members(
        node.knowledge,
        [
            members_data.make_member("b-1", region="b", data_centre="b-1"),
            members_data.make_member("a-2", service="booking"),
            members_data.make_member("a-1", "earlier run"),
        ],
    )
    assert not upstream_watch.has_shards_to_hand_over(node)


def test_an_owner_hands_over_while_another_member_could_take_its_shards():
    node = make_owner()
    knowledges.adopt_members(node.knowledge, [members_data.make_member("a-2")])
    assert upstream_watch.has_shards_to_hand_over(node)
