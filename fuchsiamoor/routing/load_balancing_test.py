"""Which members are candidates, and which candidate is chosen."""

import random

from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core.configuration import (
    HoldToDataCentre,
    HoldToInstance,
    HoldToRegion,
    Override,
)
from fuchsiamoor.routing import candidates, load_balancing
from fuchsiamoor.testing import requests_data

DATA_CENTRES = ("north-1", "north-2", "south-1", "west-1")
MEMBERS = [
    requests_data.make_member(f"{data_centre}-{number}", data_centre)
    for data_centre in DATA_CENTRES
    for number in (1, 2)
]
OWN = MEMBERS[0]
HOLDS = st.one_of(
    st.builds(HoldToInstance, st.sampled_from(MEMBERS).map(lambda each: each.instance)),
    st.builds(HoldToDataCentre, st.sampled_from(DATA_CENTRES)),
    st.builds(HoldToRegion, st.sampled_from(["north", "south", "west"])),
)
OVERRIDES = st.builds(
    Override,
    service=st.sampled_from(["stock", "booking"]),
    tenant=st.sampled_from(["", "clinic", "depot"]),
    key=st.sampled_from(["", "chair-1"]),
    hold=HOLDS,
)


@given(
    st.lists(OVERRIDES, max_size=3),
    st.sets(st.sampled_from(DATA_CENTRES)),
    st.sets(st.sampled_from(["north", "south", "west"])),
)
def test_candidates_match_home_regions_data_centres_in_service_and_holds(
    overrides, out, homes
):
    configuration = requests_data.make_configuration(
        data_centres_out=frozenset(out),
        tenants={"clinic": frozenset(homes)},
        overrides=tuple(overrides),
    )
    request = requests_data.make_request(key="")
    allowed = candidates.list_candidates(configuration, MEMBERS, request)
    hold = candidates.find_hold(configuration.overrides, "stock", "clinic")
    for member in MEMBERS:
        expected = member.region in homes and member.data_centre not in out
        if hold is not None:
            expected = expected and candidates.is_allowed_by(hold, member)
        assert (member in allowed) == expected


def test_hold_on_a_tenant_overrides_a_hold_on_all_tenants():
    on_tenant = Override("stock", "clinic", "", HoldToRegion("south"))
    on_all = Override("stock", "", "", HoldToRegion("north"))
    for overrides in ((on_tenant, on_all), (on_all, on_tenant)):
        found = candidates.find_hold(overrides, "stock", "clinic")
        assert found == HoldToRegion("south")
        assert candidates.find_hold(overrides, "stock", "depot") == on_all.hold


@given(
    st.sets(st.sampled_from(MEMBERS)),
    st.sets(st.sampled_from(MEMBERS)),
    st.dictionaries(st.sampled_from(MEMBERS), st.integers(1, 500)),
    st.integers(0, 1_000),
)
def test_an_untried_candidate_is_chosen_as_long_as_there_is_one(
    allowed, tried, latencies, seed
):
    measurements = load_balancing.make_measurements()
    for member, latency_ms in latencies.items():
        load_balancing.record_latency(measurements, member.member_id, latency_ms, 0)
        load_balancing.mark_full(measurements, member.member_id, latency_ms)
    ordered = sorted(allowed)
    tried_ids = {member.member_id for member in tried}
    chosen = load_balancing.choose_member(
        measurements,
        OWN,
        load_balancing.split_candidates(OWN, ordered),
        tried_ids,
        100,
        random.Random(seed),
    )
    untried = [member for member in ordered if member.member_id not in tried_ids]
    assert chosen in untried if untried else chosen is None


def test_expected_time_of_a_slow_member_falls_until_it_is_tried_again():
    measurements = load_balancing.make_measurements()
    slow, fast = MEMBERS[0], MEMBERS[1]
    for latency_ms in (10, 500, 500):
        load_balancing.record_latency(measurements, slow.member_id, latency_ms, 0)
    load_balancing.record_latency(measurements, fast.member_id, 12, 0)
    expected = [
        load_balancing.compute_expected_ms(measurements, OWN, slow, now_ms)
        for now_ms in (0, 1_000, 10_000)
    ]
    assert expected == sorted(expected, reverse=True)
    assert expected[-1] < 12
