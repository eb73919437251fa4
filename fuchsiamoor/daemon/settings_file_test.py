import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core import errors, settings
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.daemon import settings_file
from fuchsiamoor.testing import documents_data


def _list_faults(**changes):
    text = documents_data.encode(documents_data.make_settings_document(**changes))
    with pytest.raises(errors.InvalidDocumentError) as caught:
        settings_file.read_settings(text)
    return {fault.path: fault for fault in caught.value.faults}


def test_complete_file_is_read(tmp_path):
    path = tmp_path / "settings.json"
    document = documents_data.make_settings_document(
        statsd_address="127.0.0.1:8125",
        peer_bind_address="127.0.0.1:7012",
        timing={"lease_ms": 900},
        memory_mb=200,
    )
    path.write_bytes(documents_data.encode(document))
    found = settings_file.load_settings(path)
    assert found.peer_address == Address("127.0.0.1", 7002)
    assert found.statsd_address == Address("127.0.0.1", 8125)
    assert found.peer_bind_address == Address("127.0.0.1", 7012)
    assert found.timing == settings.Timing(lease_ms=900)
    assert found.memory_bytes == 200_000_000


def test_missing_file_is_a_fault(tmp_path):
    with pytest.raises(errors.InvalidDocumentError, match="a readable file"):
        settings_file.load_settings(tmp_path / "none.json")


def test_all_faults_are_reported_at_once():
    found = _list_faults(
        instance="a#b",
        region="x+y",
        caller_address="example:80",
        store_url="ftp://x",
        timing={"lease_ms": 0, "lease_msec": 5},
        extra=1,
    )
    assert sorted(found) == [
        "caller_address",
        "extra",
        "instance",
        "region",
        "store_url",
        "timing.lease_ms",
        "timing.lease_msec",
    ]
    assert "perhaps lease_ms" in found["timing.lease_msec"].expected


def test_duplicate_address_is_a_fault():
    found = _list_faults(peer_address="127.0.0.1:7001")
    assert found["peer_address"].expected == (
        "an address other than that of caller_address"
    )


def test_peer_bind_address_must_differ_from_the_others():
    assert list(_list_faults(peer_bind_address="127.0.0.1:7001")) == [
        "peer_bind_address"
    ]


def test_renewal_interval_too_long_for_the_lease_is_a_fault():
    assert list(_list_faults(timing={"renew_every_ms": 700})) == [
        "timing.renew_every_ms"
    ]


def test_fault_in_a_shared_key_does_not_show_the_key():
    found = _list_faults(peer_keys=["short-secret"], operator_keys=["a b" * 9, 5, "x"])
    assert all("secret" in fault.value for fault in found.values())
    assert not any("short-secret" in fault.value for fault in found.values())


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@given(
    st.dictionaries(
        st.sampled_from(sorted(documents_data.make_settings_document())) | st.text(),
        JSON_VALUES,
    )
)
def test_any_document_gives_settings_or_faults(changes):
    text = documents_data.encode(documents_data.make_settings_document(**changes))
    try:
        found = settings_file.read_settings(text)
    except errors.InvalidDocumentError as error:
        assert error.faults
    else:
        assert isinstance(found, settings.Settings)


@given(st.binary(max_size=64))
def test_any_bytes_give_faults(text):
    with pytest.raises(errors.InvalidDocumentError):
        settings_file.read_settings(text)
