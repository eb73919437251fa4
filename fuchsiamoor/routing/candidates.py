"""Candidates: the members that may serve a request without a key."""

from fuchsiamoor.core.configuration import (
    Configuration,
    Hold,
    HoldToDataCentre,
    HoldToInstance,
    HoldToRegion,
    Override,
)
from fuchsiamoor.core.members import Member
from fuchsiamoor.core.requests import Request


def list_candidates(
    configuration: Configuration, members: list[Member], request: Request
) -> list[Member]:
    """Return the members that the configuration allows for a request without a key.

    Parameters
    ----------
    configuration : Configuration
    members : list of Member
        Ready members; those of other services are left out.
    request : Request
    """
    home_regions = configuration.tenants.get(request.tenant, frozenset())
    hold = find_hold(configuration.overrides, request.service, request.tenant)
    return [
        member
        for member in members
        if member.service == request.service
        and member.region in home_regions
        and member.data_centre not in configuration.data_centres_out
        and (hold is None or is_allowed_by(hold, member))
    ]


def find_hold(
    overrides: tuple[Override, ...], service: str, tenant: str
) -> Hold | None:
    """Return the hold on a tenant's requests without a key.

    A hold on the tenant overrides one on all tenants, and a later one overrides an
    earlier one.
    """
    found = None
    found_tenant = ""
    for override in overrides:
        if override.service != service or override.key:
            continue
        if override.tenant not in ("", tenant):
            continue
        if override.tenant == "" and found_tenant:
            continue
        found, found_tenant = override.hold, override.tenant
    return found


def is_allowed_by(hold: Hold, member: Member) -> bool:
    """Return whether a hold allows a member.

    Examples
    --------
    >>> from fuchsiamoor.testing import requests_data
    >>> is_allowed_by(HoldToRegion("north"), requests_data.make_member("a"))
    True
    """
    match hold:
        case HoldToInstance(instance):
            return member.instance == instance
        case HoldToDataCentre(data_centre):
            return member.data_centre == data_centre
        case HoldToRegion(region):
            return member.region == region
