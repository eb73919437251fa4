from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import tables
from fuchsiamoor.ownership import balance, overrides, placement
from fuchsiamoor.testing import ownership_data as builders

NAMES = ("a", "b", "c", "d", "e")
PLACES = ("almaty-1", "almaty-2", "astana-1", "astana-2", "almaty-1")
NO_HOLDS = overrides.DomainHolds((), {}, ())
OWNERS = st.lists(st.sampled_from(NAMES), min_size=1, max_size=60).map(tuple)
TARGETS = st.sets(st.sampled_from(NAMES), min_size=1)
WEIGHTS = st.lists(st.integers(1, 20), min_size=5, max_size=5)


def make_layout(owners, targets=NAMES, weights=(20,) * 5, holds=NO_HOLDS, **fields):
    return placement.Layout(
        owners,
        tuple(
            placement.Target(name, name, place.rpartition("-")[0], place, weight)
            for name, place, weight in zip(NAMES, PLACES, weights, strict=True)
            if name in targets
        ),
        holds,
        fields.pop("isolated_keys", {}),
        **fields,
    )


def hold_all(hold) -> overrides.DomainHolds:
    return overrides.DomainHolds(
        (configurations.Override("stock", "", "", hold),), {}, ()
    )


@given(OWNERS, TARGETS, WEIGHTS)
def test_a_loss_moves_only_the_shards_of_the_lost_members(owners, targets, weights):
    layout = make_layout(owners, targets, weights)
    lost = set(NAMES) - targets
    moves = placement.plan_losses(layout, lost)
    assert [move.shard for move in moves] == [
        shard for shard, owner in enumerate(owners) if owner in lost
    ]
    assert {move.target for move in moves} <= targets


@given(OWNERS, TARGETS)
def test_a_loss_is_spread_evenly(owners, targets):
    layout = make_layout(owners, targets)
    before = Counter(owner for owner in owners if owner in targets)
    after = Counter(
        placement.apply_moves(
            layout, placement.plan_losses(layout, set(NAMES) - targets)
        ).owners
    )
    filled = [after[name] for name in targets if after[name] > before[name]]
    if filled:
        assert max(filled) <= min(after[name] for name in targets) + 1


def test_a_newer_run_of_the_instance_is_preferred():
    layout = make_layout(("a", "a", "b"), ("b", "c"))
    moves = placement.plan_losses(layout, ["a"], {"a": "c"})
    assert {move.target for move in moves} == {"c"}


@given(OWNERS, TARGETS, WEIGHTS, st.integers(0, 20))
def test_balance_respects_its_limit_and_never_increases_imbalance(
    owners, targets, weights, limit
):
    layout = make_layout(owners, targets, weights)
    moves = balance.plan_balance(layout, limit)
    assert len(moves) <= limit
    assert len({move.shard for move in moves}) == len(moves)
    if any(owner in targets for owner in owners):
        after = placement.apply_moves(layout, moves)
        before = balance.compute_imbalance(layout)
        assert balance.compute_imbalance(after) <= before + 1e-6


@given(OWNERS, TARGETS, WEIGHTS)
def test_balance_converges(owners, targets, weights):
    layout = make_layout(owners, targets, weights)
    moves = balance.plan_balance(layout, 1_000)
    assert balance.plan_balance(placement.apply_moves(layout, moves), 1_000) == []


def test_a_returned_member_gets_no_more_than_its_share():
    layout = make_layout(("a", "b", "c", "d") * 25)
    moves = balance.plan_balance(layout, 1_000)
    assert {move.target for move in moves} == {"e"}
    assert 19 <= len(moves) <= 20


def test_a_member_in_cold_start_gets_only_its_weight():
    layout = make_layout(("a", "b", "c", "d") * 25, weights=(20, 20, 20, 20, 2))
    assert len(balance.plan_balance(layout, 1_000)) <= 3


def test_shards_are_evacuated_from_members_that_are_not_targets():
    layout = make_layout(("a", "b", "c"), ("b", "c"))
    assert placement.plan_evacuations(layout, ["b", "c"]) == []
    (move,) = placement.plan_evacuations(layout, ["a", "b", "c"])
    assert (move.shard, move.source) == (0, "a")
    nowhere = make_layout(("a",), ())
    (move,) = placement.plan_evacuations(nowhere, ["a"])
    assert move.target == tables.NO_OWNER


def test_a_hold_moves_every_shard_and_precedes_balance():
    holds = hold_all(configurations.HoldToDataCentre("almaty-1"))
    layout = make_layout(("a", "b", "c", "e") * 5, holds=holds)
    moves = placement.plan_overrides(layout)
    after = placement.apply_moves(layout, moves)
    assert set(after.owners) == {"a", "e"}
    assert len(moves) == 10
    assert balance.plan_balance(after, 100) == []
    assert placement.plan_overrides(after) == []


def test_a_hold_that_no_target_satisfies_moves_nothing():
    holds = hold_all(configurations.HoldToInstance("a"))
    layout = make_layout(("b", "c"), ("b", "c"), holds=holds)
    assert placement.plan_overrides(layout) == []


def test_a_hold_of_a_key_precedes_the_hold_of_its_service():
    key_hash = 77
    of_key = configurations.Override(
        "stock", "dala", "k", configurations.HoldToInstance("d")
    )
    holds = hold_all(configurations.HoldToRegion("almaty"))._replace(
        keys={key_hash: (of_key,)}
    )
    layout = make_layout(("a", "a"), holds=holds, isolated_keys={1: key_hash})
    assert placement.plan_overrides(layout) == [placement.Move(1, "a", "d")]


def test_overrides_that_cannot_be_met_are_reported_with_a_reason():
    tenants = {
        "dala": frozenset({"almaty", "astana"}),
        "depot": frozenset({"almaty", "astana"}),
        "other": frozenset({"almaty"}),
    }
    listed = (
        configurations.Override(
            "stock", "dala", "", configurations.HoldToRegion("almaty")
        ),
        configurations.Override("stock", "", "", configurations.HoldToRegion("aktobe")),
        configurations.Override(
            "stock", "", "", configurations.HoldToDataCentre("astana-2")
        ),
        configurations.Override(
            "stock", "other", "", configurations.HoldToRegion("almaty")
        ),
        configurations.Override(
            "stock", "depot", "k", configurations.HoldToInstance("a")
        ),
    )
    configuration = builders.make_configuration(
        overrides=listed, tenants=tenants, data_centres_out=frozenset({"astana-2"})
    )
    holds = overrides.resolve_holds(configuration, builders.DOMAIN)
    reasons = {unmet.override: unmet.reason for unmet in holds.unmet}
    assert reasons == {
        listed[0]: "shares its shards with depot: hold the service, or single keys",
        listed[1]: "region aktobe is outside the home regions",
        listed[2]: "data centre astana-2 is out of service",
    }
    assert list(holds.keys.values()) == [(listed[4],)]
    alone = overrides.resolve_holds(configuration, "stock@almaty")
    assert listed[3] in alone.shards
