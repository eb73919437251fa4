import pytest

from fuchsiamoor.quotas import rings

DAEMONS = {f"10.{i % 3}.0.{i}": f"region-{i % 3}" for i in range(60)}
NAMES = [f"org-{i}" for i in range(72)]


def test_each_region_has_one_allocator_of_its_own():
    found = rings.find_allocators(rings.make_rings(DAEMONS), "lab", 3)
    assert len(found) == 3
    assert all(DAEMONS[instance] == region for region, instance in found.items())


@pytest.mark.parametrize("parts", [1, 2])
def test_a_small_quota_has_fewer_allocators_and_all_daemons_find_the_same(parts):
    found = rings.find_allocators(rings.make_rings(DAEMONS), "lab", parts)
    backwards = dict(reversed(DAEMONS.items()))
    assert len(found) == parts
    assert found == rings.find_allocators(rings.make_rings(backwards), "lab", parts)


def test_a_daemon_that_leaves_moves_only_what_it_allocated():
    before = rings.make_rings(DAEMONS)
    lost = rings.find_allocators(before, "lab", 3)["region-0"]
    left = {name: region for name, region in DAEMONS.items() if name != lost}
    after = rings.make_rings(left)
    for name in NAMES:
        old = rings.find_allocators(before, name, 3)
        new = rings.find_allocators(after, name, 3)
        assert lost not in new.values()
        assert all(new[r] == i for r, i in old.items() if i != lost)


def test_positions_count_all_daemons_once():
    made = rings.make_rings(DAEMONS)
    found = {rings.find_position(made, "lab", instance) for instance in DAEMONS}
    assert found == set(range(60))
    assert rings.find_position(made, "lab", "unknown") is None
