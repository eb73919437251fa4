"""Builders of status and explanation reports for tests."""

from fuchsiamoor.reports import status


def make_status(instance: str = "almaty-1-a", **changes) -> status.Status:
    """Return the status of a healthy daemon with some fields replaced."""
    made = status.Status(
        instance=instance,
        member_id=f"{instance}#1",
        service="stock",
        region="almaty",
        data_centre="almaty-1",
        configuration_revision=1,
        apply_id="dana-1",
        ready=True,
        leaving=False,
        store_reachable=True,
        upstream=status.UpstreamStatus("i-1", True, 20, 3),
        domains=(make_domain_status(),),
        members=(make_member_status(instance),),
        data_centres_out=(),
        overrides=(),
    )
    return made._replace(**changes)


def make_domain_status(**changes) -> status.DomainStatus:
    """Return the status of a domain whose shards one instance owns."""
    made = status.DomainStatus(
        domain="stock@aktobe+almaty+astana",
        term=2,
        coordinator="almaty-1-a#1",
        table_revision=9,
        lease=status.LeaseState.RENEWED,
        owned_shards=256,
        pending_shards=0,
        unowned_shards=0,
        shards_by_instance={"almaty-1-a": 256},
    )
    return made._replace(**changes)


def make_member_status(
    instance: str, operator_address: str = "127.0.0.1:1"
) -> status.MemberStatus:
    """Return a member as its peers report it."""
    return status.MemberStatus(
        member_id=f"{instance}#1",
        instance=instance,
        service="stock",
        data_centre="almaty-1",
        operator_address=operator_address,
    )


def make_explanation(**changes) -> status.Explanation:
    """Return the explanation of a key that has a healthy owner."""
    made = status.Explanation(
        service="stock",
        tenant="default",
        key="chair-7",
        domain="stock@aktobe+almaty+astana",
        shard=17,
        isolated=False,
        owner="almaty-1-a#1",
        data_centre="almaty-1",
        state="owned",
        epoch=4,
        table_revision=9,
        coordinator="almaty-1-a#1",
        lease=status.LeaseState.RENEWED,
        override=None,
        loss_wait_ms=1800,
        candidates=("almaty-2-a", "astana-1-a"),
    )
    return made._replace(**changes)
