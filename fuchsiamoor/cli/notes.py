"""Warnings about a configuration, derived from the members of the deployment."""

from collections.abc import Sequence

from fuchsiamoor.core.configuration import Configuration, HoldToInstance
from fuchsiamoor.reports.status import MemberStatus


def list_notes(new: Configuration, members: Sequence[MemberStatus]) -> list[str]:
    """Return warnings for an operator who is about to apply a configuration.

    Parameters
    ----------
    new : Configuration
    members : sequence of MemberStatus
        All daemons of the deployment.
    """
    return [
        f"note: {text}"
        for text in [
            *_list_unknown_instances(new, members),
            *_list_unserved_tenants(new, members),
        ]
    ]


def _list_unknown_instances(
    new: Configuration, members: Sequence[MemberStatus]
) -> list[str]:
    known = {member.instance for member in members}
    return [
        f"override for {override.service}: no daemon knows instance "
        f"{override.hold.instance}"
        for override in new.overrides
        if isinstance(override.hold, HoldToInstance)
        and override.hold.instance not in known
    ]


def _list_unserved_tenants(
    new: Configuration, members: Sequence[MemberStatus]
) -> list[str]:
    regions = {
        data_centre: region
        for region, data_centres in new.regions.items()
        for data_centre in data_centres - new.data_centres_out
    }
    served = {
        (member.service, regions[member.data_centre])
        for member in members
        if member.data_centre in regions
    }
    return [
        f"tenant {tenant}: no daemon of service {service} in its home regions"
        for tenant, home_regions in sorted(new.tenants.items())
        for service in sorted(new.services)
        if not any((service, region) in served for region in home_regions)
    ]
