"""Builders of members for tests."""

from fuchsiamoor.core import members
from fuchsiamoor.core.addresses import Address


def make_member(
    instance: str = "a-1",
    nonce: str = "1",
    version: int = 1,
    service: str = "stock",
    region: str = "a",
    data_centre: str = "a-1",
    checks_grants: bool = True,
    slots: int = 20,
) -> members.Member:
    """Return a registered member."""
    return members.Member(
        member_id=members.make_member_id(instance, nonce),
        instance=instance,
        service=service,
        region=region,
        data_centre=data_centre,
        peer_address=Address("127.0.0.1", 1001),
        caller_address=Address("127.0.0.1", 1002),
        operator_address=Address("127.0.0.1", 1003),
        checks_grants=checks_grants,
        slots=slots,
        connections=130,
        registered_version=version,
    )
