import pytest

from fuchsiamoor.core import keys, tables
from fuchsiamoor.documents import reader
from fuchsiamoor.reports import override_status
from fuchsiamoor.testing import documents_data, requests_data
from fuchsiamoor.testing.documents_data import make_override

WHOLE = "stock@aktobe+almaty+astana"
ASTANA = "stock@astana"
MEMBERS = {
    f"{data_centre}-a#1": requests_data.make_member(f"{data_centre}-a", data_centre)
    for data_centre in ("almaty-1", "almaty-2", "astana-1")
}


def _make_table(domain, *owners, isolated=None):
    table = tables.make_empty_table(domain, 2)
    return table._replace(
        owners=tuple(f"{owner}-a#1" if owner else "" for owner in owners),
        isolated=isolated or {},
    )


def _evaluate(override, *found, **fields):
    document = documents_data.make_configuration_document(
        overrides=[override], **fields
    )
    known = {table.domain: table for table in found}
    [evaluated] = override_status.evaluate_overrides(
        reader.read_value(document), known, MEMBERS.get
    )
    return evaluated.met, evaluated.reason


IN_ALMATY = _make_table(WHOLE, "almaty-1", "almaty-2")
IN_ASTANA = _make_table(ASTANA, "astana-1", "astana-1")
KEY_HASH = keys.hash_key(keys.KeyId("stock", "default", "k"))


@pytest.mark.parametrize(
    ("override", "found", "expected"),
    [
        (
            make_override("region", "almaty", tenant="default"),
            [IN_ALMATY],
            (True, ""),
        ),
        (
            make_override("data_centre", "almaty-1", tenant="default"),
            [IN_ALMATY],
            (False, f"1 of 2 shards of {WHOLE} are elsewhere"),
        ),
        (
            make_override("region", "almaty", tenant="default"),
            [],
            (False, f"no table of {WHOLE} is known yet"),
        ),
        (
            make_override("region", "astana"),
            [IN_ALMATY, IN_ASTANA],
            (False, f"2 of 2 shards of {WHOLE} are elsewhere"),
        ),
        (
            make_override("region", "astana", tenant="default", key="k"),
            [
                _make_table(
                    WHOLE, "almaty-1", "almaty-1", "astana-1", isolated={KEY_HASH: 2}
                )
            ],
            (True, ""),
        ),
        (
            make_override("instance", "x", tenant="default", key="k"),
            [_make_table(WHOLE, "", "")],
            (False, "owned by nobody"),
        ),
    ],
)
def test_override_state_follows_from_the_shard_owners(override, found, expected):
    assert _evaluate(override, *found) == expected


def test_reason_names_a_data_centre_out_of_service():
    override = make_override("data_centre", "almaty-1", tenant="default")
    met, reason = _evaluate(override, IN_ALMATY, data_centres_out=["almaty-1"])
    assert not met
    assert "out of service" in reason


def test_key_held_elsewhere_does_not_make_its_service_override_unmet():
    document = documents_data.make_configuration_document(
        tenants={"default": {"home_regions": ["almaty", "astana", "aktobe"]}},
        overrides=[
            make_override("region", "almaty"),
            make_override("region", "astana", tenant="default", key="k"),
        ],
    )
    table = _make_table(
        WHOLE, "almaty-1", "almaty-2", "astana-1", isolated={KEY_HASH: 2}
    )
    evaluated = override_status.evaluate_overrides(
        reader.read_value(document), {WHOLE: table}, MEMBERS.get
    )
    assert [found.met for found in evaluated] == [True, True]


@pytest.mark.parametrize(
    ("key", "tenant", "name"),
    [
        ("k", "default", "one"),
        ("k", "clinics", "two"),
        ("j", "clinics", "three"),
        ("j", "default", "four"),
    ],
)
def test_most_specific_override_applies_to_a_key(key, tenant, name):
    document = documents_data.make_configuration_document(
        overrides=[
            make_override("instance", "four"),
            make_override("instance", "one", tenant="default", key="k"),
            make_override("instance", "two", key="k"),
            make_override("instance", "three", tenant="clinics"),
        ]
    )
    key_id = keys.KeyId("stock", tenant, key)
    found = override_status.find_override(reader.read_value(document), key_id)
    assert found.hold.instance == name
