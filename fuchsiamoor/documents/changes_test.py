from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core.configuration import make_empty_configuration
from fuchsiamoor.documents import changes, reader
from fuchsiamoor.testing import documents_data
from fuchsiamoor.testing.documents_data import make_override


def _read(**fields):
    return reader.read_value(documents_data.make_configuration_document(**fields))


def _paths(found):
    return [fault.path for fault in found]


def test_shard_count_and_home_regions_cannot_change():
    new = _read(
        services={"booking": {"shards": 17}, "stock": {"key": "optional"}},
        tenants={"default": {"home_regions": ["almaty"]}},
    )
    assert _paths(changes.check_change(_read(), new)) == [
        "services.booking.shards",
        "tenants.default.home_regions",
    ]


def test_shard_count_cannot_change_after_a_removal():
    first, without = _read(), _read(services={}, tenants={})
    known = changes.collect_identities(changes.NO_IDENTITIES, first)
    assert changes.check_change(first, without, known) == []
    known = changes.collect_identities(known, without)
    assert changes.check_change(without, first, known) == []
    other = _read(services={"booking": {"shards": 17}})
    assert _paths(changes.check_change(without, other, known)) == [
        "services.booking.shards"
    ]


def test_a_data_centre_cannot_change_its_region():
    regions = {
        "almaty": {"data_centres": ["almaty-1", "astana-1"]},
        "astana": {"data_centres": ["astana-2"]},
        "aktobe": {"data_centres": ["aktobe-1"]},
    }
    found = changes.check_change(_read(), _read(regions=regions))
    assert _paths(found) == ["regions.almaty.data_centres"]


def test_differences_list_added_and_changed_values():
    old = _read(overrides=[make_override("instance", "a", key="k.1")])
    new = _read(
        data_centres_out=["almaty-2"],
        overrides=[
            make_override("region", "astana", key="k.1", tenant="clinics"),
            make_override("instance", "b", key="k.1"),
        ],
        moves_per_minute=5,
    )
    assert [changes.format_difference(found) for found in changes.diff(old, new)] == [
        '+ data_centres_out: "almaty-2"',
        "~ moves_per_minute: 30 -> 5",
        '~ overrides of {"service": "stock", "key": "k.1"}: '
        '{"instance": "a"} -> {"instance": "b"}',
        '+ overrides of {"service": "stock", "tenant": "clinics", "key": "k.1"}: '
        '{"region": "astana"}',
    ]


CONFIGURATIONS = st.builds(
    _read,
    data_centres_out=st.lists(st.sampled_from(["almaty-1", "astana-2"]), unique=True),
    overrides=st.lists(
        st.sampled_from(["k.1", "k.2", "ü"]).flatmap(
            lambda key: st.sampled_from(["a", "b"]).map(
                lambda name: make_override("instance", name, key=key)
            )
        ),
        unique_by=lambda override: override["key"],
    ),
    moves_per_minute=st.integers(0, 3),
) | st.just(make_empty_configuration())


@given(CONFIGURATIONS, CONFIGURATIONS)
def test_no_difference_means_equivalent_configurations(old, new):
    same = old._replace(overrides=()) == new._replace(overrides=())
    same = same and set(old.overrides) == set(new.overrides)
    assert (changes.diff(old, new) == []) == same
    assert len(changes.diff(old, new)) == len(changes.diff(new, old))
