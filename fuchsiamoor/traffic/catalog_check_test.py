import pytest

from fuchsiamoor.testing import organisations_data, traffic_data
from fuchsiamoor.traffic import catalog, catalog_check, organisations
from fuchsiamoor.traffic.catalog_check import Severity


def _find(made, path):
    return [found for found in catalog_check.list_findings(made) if found.path == path]


def _make(**changes):
    keyed = traffic_data.make_route("keyed", traffic_data.KEYED_SERVICE)
    return traffic_data.make_catalog(1, traffic_data.make_route(**changes), keyed)


def test_a_sound_catalog_has_no_findings():
    assert catalog_check.list_findings(traffic_data.make_catalog()) == []


def test_a_route_behind_one_with_the_same_prefix_never_matches():
    made = traffic_data.make_catalog(
        1,
        traffic_data.make_route("first", path_prefix="/a/"),
        traffic_data.make_route("second", path_prefix="/a/"),
    )
    (found,) = _find(made, "routes.second")
    assert "never matches" in found.problem
    assert "first" in found.problem


def test_a_longer_prefix_hides_nothing():
    made = traffic_data.make_catalog(
        1,
        traffic_data.make_route("short", path_prefix="/a/"),
        traffic_data.make_route("long", path_prefix="/a/b/"),
        traffic_data.make_route("keyed", traffic_data.KEYED_SERVICE),
    )
    assert catalog_check.list_findings(made) == []


@pytest.mark.parametrize(
    ("changes", "path", "severity"),
    [
        ({"path_prefix": "/a"}, "routes.read.path_prefix", Severity.FAULT),
        ({"shares": ()}, "routes.read.shares", Severity.FAULT),
        ({"timeout_ms": 0}, "routes.read", Severity.FAULT),
        (
            {"shares": (catalog.ServiceShare("none", 1.0),)},
            "routes.read.shares",
            Severity.FAULT,
        ),
        (
            {"target_latency_ms": 3_000, "timeout_ms": 2_000},
            "routes.read.target_latency_ms",
            Severity.WARNING,
        ),
        ({"is_idempotent": False}, "routes.read.attempts_max", Severity.WARNING),
    ],
)
def test_a_route_is_checked(changes, path, severity):
    (found,) = _find(_make(**changes), path)
    assert found.severity is severity


def test_a_service_without_a_route_is_told():
    made = traffic_data.make_catalog(1, traffic_data.make_route())
    (found,) = catalog_check.list_findings(made)
    assert found.path == f"services.{traffic_data.KEYED_SERVICE}"


def test_a_cold_start_without_a_rate_is_told():
    made = traffic_data.make_catalog()
    service = traffic_data.make_service_settings(cold_per_s=0.0)
    made.services[service.name] = service
    (found,) = _find(made, f"services.{service.name}.cold_per_s")
    assert found.severity is Severity.WARNING


def test_limits_that_end_a_connection_in_the_wrong_order_are_told():
    limits = catalog.CallerLimits(header_timeout_ms=9_000, idle_timeout_ms=5_000)
    made = traffic_data.make_catalog()._replace(limits=limits)
    (found,) = catalog_check.list_findings(made)
    assert found.path == "limits.header_timeout_ms"


def test_faults_come_before_warnings():
    made = _make(is_idempotent=False, timeout_ms=0)
    severities = [found.severity for found in catalog_check.list_findings(made)]
    assert severities[0] is Severity.FAULT
    assert severities[-1] is Severity.WARNING


def test_added_removed_and_changed_fields_are_listed():
    before = traffic_data.make_catalog(4, traffic_data.make_route("old"))
    after = traffic_data.make_catalog(
        5, traffic_data.make_route("new", home_regions=frozenset({"south", "north"}))
    )
    after = after._replace(limits=catalog.CallerLimits(header_bytes=8_192))
    found = {
        difference.path: (difference.before, difference.after)
        for difference in catalog_check.list_differences(before, after)
    }
    assert found["version"] == ("4", "5")
    assert found["routes.old.host"] == ("shop.example", "")
    assert found["routes.new.home_regions"] == ("", "north, south")
    assert found["limits.header_bytes"] == ("16384", "8192")
    assert not any(path.startswith("services.") for path in found)


def test_an_organisation_without_a_common_region_with_a_route_is_told():
    abroad = organisations_data.make_organisation(home_regions=frozenset({"south"}))
    made = organisations_data.make_catalog(abroad, home_regions=frozenset({"north"}))
    (found,) = _find(made, f"organisations.{abroad.name}.home_regions")
    assert "route read" in found.problem


def test_an_organisation_without_a_key_is_told():
    silent = organisations_data.make_organisation("silent")._replace(
        key_digests=frozenset()
    )
    (found,) = _find(
        organisations_data.make_catalog(silent), "organisations.silent.key_digests"
    )
    assert found.severity is Severity.WARNING


def test_a_changed_quota_and_key_are_listed_without_the_key():
    quota = organisations.Quota(rate_per_s=50.0, burst=10.0)
    before = organisations_data.make_catalog()
    after = organisations_data.make_catalog(
        organisations_data.make_organisation("lab", b"new-key", quota=quota)
    )
    found = {
        difference.path: difference.after
        for difference in catalog_check.list_differences(before, after)
    }
    assert found["organisations.lab.quota"] == "50 a second, burst 10"
    assert (
        found["organisations.lab.key_digests"]
        == (organisations.digest_key(b"new-key").hex()[: catalog_check.DIGEST_DIGITS])
    )
