import random

from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.membership import partners


@given(st.sets(st.text(min_size=1, max_size=4), min_size=1), st.integers())
def test_partner_is_always_another_member(member_ids, seed):
    own_id = min(member_ids)
    chosen = partners.choose_partner(own_id, sorted(member_ids), random.Random(seed))
    assert (chosen is None) == (len(member_ids) == 1)
    assert chosen != own_id


@given(st.sets(st.text(min_size=1, max_size=4), min_size=2, max_size=30), st.data())
def test_loss_of_a_member_replaces_no_other_partner(member_ids, data):
    own_id, *others = sorted(member_ids)
    lost = data.draw(st.sampled_from(others))
    before = set(partners.list_partners(own_id, member_ids))
    after = set(partners.list_partners(own_id, member_ids - {lost}))
    assert before - {lost} <= after
