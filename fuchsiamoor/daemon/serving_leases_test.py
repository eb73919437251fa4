import pytest
from loguru import logger

from fuchsiamoor.core import messages
from fuchsiamoor.daemon import loop_pauses, serving_leases
from fuchsiamoor.ownership import lease_holder
from fuchsiamoor.testing import fake_store, node_data, ownership_data


@pytest.fixture
def lines():
    found = []
    sink = logger.add(lambda message: found.append(message.record), level="INFO")
    yield found
    logger.remove(sink)


@pytest.fixture
def owner():
    """Return a node that owns all shards and has a lease, and its lease holder."""
    node = node_data.make_node(fake_store.make_fake_store())
    node.now_ms = lambda: 0
    own_id = node.member.member_id
    holder = lease_holder.make_lease_holder(
        own_id, ownership_data.DOMAIN, ownership_data.TIMING
    )
    lease_holder.adopt_table(holder, ownership_data.make_table((own_id,) * 8), 0)
    renew(holder, 0)
    return node, holder


def renew(holder, sent_ms):
    granted = messages.Renewed(ownership_data.DOMAIN, 1, 1, 1)
    lease_holder.record_renewed(holder, "a#1", granted, sent_ms)


def test_lapse_of_a_lease_is_logged_once_with_the_pause_that_explains_it(owner, lines):
    node, holder = owner
    loop_pauses.record_delay(node.pause_history, 900, 950)
    node.now_ms = lambda: 1_000
    serving_leases.log_lapse(node, holder)
    serving_leases.log_lapse(node, holder)
    [line] = lines
    assert line["message"] == "serving lease lapsed"
    assert line["extra"]["loop_pause_ms"] == 900
    assert line["extra"]["loop_pause_ended_before_ms"] == 50


def test_renewal_after_a_lapse_is_logged(owner, lines):
    node, holder = owner
    node.now_ms = lambda: 1_000
    serving_leases.log_lapse(node, holder)
    renew(holder, 1_000)
    serving_leases.log_lapse(node, holder)
    assert [line["message"] for line in lines][1:] == ["serving lease renewed"]


def test_lease_in_force_is_not_logged(owner, lines):
    serving_leases.log_lapse(*owner)
    assert lines == []
