import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core import configuration, errors
from fuchsiamoor.documents import model, reader, stored
from fuchsiamoor.testing import documents_data
from fuchsiamoor.testing.documents_data import make_override


def _read(**changes):
    document = documents_data.make_configuration_document(**changes)
    return reader.read_document(documents_data.encode(document))


def _faults_of(**changes):
    with pytest.raises(errors.InvalidDocumentError) as caught:
        _read(**changes)
    return {fault.path: fault.expected for fault in caught.value.faults}


def test_defaults_are_filled_in():
    service = _read().services["stock"]
    assert (service.key_required, service.shard_count) == (False, 256)
    assert service.idempotent_methods == frozenset({"GET", "HEAD", "OPTIONS"})
    assert service.objective == configuration.Objective(0.999, 250, 0.99, 30)


def test_all_schema_faults_are_reported_together():
    found = _faults_of(
        services={"booking": {"shards": 0, "shrads": 3}, "a/b": {}},
        regions={"almaty": {"data_centres": []}},
        overrides=[{"service": "stock", "hold_to": {}}],
        moves_per_minute="5",
        other=1,
    )
    assert sorted(found) == [
        "moves_per_minute",
        "other",
        "overrides[0].hold_to",
        "regions.almaty.data_centres",
        "services.a/b (its name)",
        "services.booking.shards",
        "services.booking.shrads",
    ]
    assert "perhaps shards" in found["services.booking.shrads"]


def test_all_reference_faults_are_reported_together():
    found = _faults_of(
        data_centres_out=["nowhere-1", "astana-1", "astana-2"],
        tenants={
            "default": {"home_regions": ["almaty", "moon"]},
            "clinics": {"home_regions": ["astana"]},
        },
        overrides=[
            make_override("region", "moon"),
            make_override("data_centre", "moon-1", service="none"),
            make_override("instance", "x", tenant="nobody"),
            make_override("data_centre", "almaty-1", tenant="clinics"),
            make_override("region", "astana", tenant="clinics"),
        ],
    )
    assert sorted(found) == [
        "data_centres_out[0]",
        "overrides[0].hold_to.region",
        "overrides[1].hold_to.data_centre",
        "overrides[1].service",
        "overrides[2].tenant",
        "overrides[3].hold_to.data_centre",
        "overrides[4]",
        "tenants.clinics.home_regions",
        "tenants.default.home_regions[1]",
    ]


def test_an_override_for_all_tenants_must_fit_the_home_regions_of_each():
    found = _faults_of(overrides=[make_override("region", "almaty")])
    assert found == {
        "overrides[0].hold_to.region": "a place in the home regions of tenant clinics"
    }


@given(
    st.permutations(
        [
            make_override("instance", "a"),
            make_override("instance", "b", service="booking"),
            make_override("instance", "c", tenant="clinics"),
            make_override("instance", "d", key="k"),
            make_override("instance", "e", tenant="clinics", key="k"),
        ]
    )
)
def test_the_order_of_overrides_in_a_file_does_not_matter(overrides):
    held = [found.hold.instance for found in _read(overrides=overrides).overrides]
    assert held == ["b", "a", "c", "d", "e"]


def test_a_data_centre_cannot_be_in_two_regions():
    found = _faults_of(
        regions={"astana": {"data_centres": ["x"]}, "almaty": {"data_centres": ["x"]}},
        tenants={},
    )
    assert list(found) == ["regions.almaty.data_centres[0]"]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b'{"a": 1, "a": 2}', "each field of an object once"),
        (b'{"a": NaN}', "valid JSON"),
        (b'{"a": 1e999}', "valid JSON"),
        (b'"\\ud800"', "JSON in UTF-8"),
        (b"\xff", "JSON in UTF-8"),
        (b"[" * 100_000, "fewer levels"),
        (b"9" * 5_000, "valid JSON"),
        (b" " * (model.MAX_DOCUMENT_BYTES + 1), "at most 524288 bytes"),
    ],
)
def test_text_that_is_not_strict_json_gives_one_fault(text, expected):
    with pytest.raises(errors.InvalidDocumentError) as caught:
        reader.read_document(text)
    assert [fault.expected for fault in caught.value.faults] == [expected]


NAMES = st.sampled_from(["a", "b", "almaty", "almaty-1", "astana-2", "stock", "a/b"])
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9)
NUMBERS = st.integers(-1, 20_000) | st.floats(-0.5, 1.5)
HOLDS = st.dictionaries(st.sampled_from(["instance", "data_centre", "region"]), NAMES)
NAME_LISTS = st.lists(NAMES, max_size=3)
SERVICES = st.fixed_dictionaries(
    {},
    optional={
        "key": st.sampled_from(["required", "optional", "none"]),
        "shards": NUMBERS,
        "idempotent_methods": st.lists(st.sampled_from(["GET", "PUT", "x"])),
        "longest_run_ms": NUMBERS,
        "retry_ratio": NUMBERS,
        "cold_start": st.fixed_dictionaries({}, optional={"ramp_ms": NUMBERS}),
        "objective": st.fixed_dictionaries({}, optional={"latency_ratio": NUMBERS}),
    },
)
OVERRIDES = st.fixed_dictionaries(
    {"service": NAMES, "hold_to": HOLDS},
    optional={"tenant": NAMES, "key": st.text(max_size=9)},
)
FIELDS = {
    "services": st.dictionaries(NAMES, SERVICES, max_size=3),
    "regions": st.dictionaries(
        NAMES, st.fixed_dictionaries({"data_centres": NAME_LISTS}), max_size=3
    ),
    "tenants": st.dictionaries(
        NAMES, st.fixed_dictionaries({"home_regions": NAME_LISTS}), max_size=3
    ),
    "data_centres_out": NAME_LISTS,
    "overrides": st.lists(OVERRIDES, max_size=3),
    "moves_per_minute": NUMBERS,
}
DOCUMENTS = st.fixed_dictionaries(
    {}, optional={name: strategy | SCALARS for name, strategy in FIELDS.items()}
)


def _check_round_trip(document):
    try:
        read = reader.read_document(json.dumps(document).encode())
    except errors.InvalidDocumentError as error:
        assert error.faults
        assert all("\n" not in fault.path for fault in error.faults)
        return
    assert reader.read_value(reader.write_document(read)) == read
    following = stored.make_next_stored(stored.make_initial_stored(), "id", read)
    assert (
        stored.decode_stored_configuration(stored.encode_stored(following)) == following
    )


@given(DOCUMENTS)
def test_any_document_gives_a_configuration_or_faults(document):
    _check_round_trip(document)


@given(st.fixed_dictionaries({}, optional=FIELDS))
def test_a_nearly_valid_document_gives_a_configuration_or_faults(changes):
    _check_round_trip(documents_data.make_configuration_document(**changes))


@given(
    st.recursive(SCALARS, lambda inner: st.lists(inner) | st.dictionaries(NAMES, inner))
)
def test_any_json_gives_faults(document):
    with pytest.raises(errors.InvalidDocumentError):
        reader.read_document(json.dumps(document).encode())


@given(st.binary(max_size=80))
def test_any_bytes_in_the_store_give_faults(value):
    with pytest.raises(errors.InvalidDocumentError):
        stored.decode_configuration(value)
