"""What one daemon knows of the quotas of all organisations."""

from dataclasses import dataclass, field

from fuchsiamoor.quotas import allocation, spending
from fuchsiamoor.quotas import rings as daemon_rings
from fuchsiamoor.traffic.organisations import Quota


@dataclass(slots=True)
class Allotment:
    """The allocators of one organisation, by the present rings.

    Parameters
    ----------
    quota : Quota
    part : Quota
    allocators : tuple of str
        Instances, that of the own region first.
    own_share : int
        Requests that this daemon may run in a window without asking.
    """

    quota: Quota
    part: Quota
    allocators: tuple[str, ...]
    own_share: int


@dataclass(slots=True)
class QuotaState:
    """State of the quotas at one daemon.

    Parameters
    ----------
    sources : tuple of int
        Revision of the directory and version of the catalog from which this was made.
    expires_ms : int or None
        Time at which the next lapsed registration leaves the rings.
    rings : Rings
    rings_since_ms : int
        Time since which the rings are these.
    allotments : dict of str to Allotment
        By organisation, made anew when rings or quota change.
    allocator_since_ms : dict of str to int
        Time since which this daemon is an allocator of each organisation.
    allocations : dict of str to Allocation
    spendings : dict of str to Spending
    unreached_until_ms : dict of str to int
        Time until which an instance that did not answer is not asked.
    """

    sources: tuple[int, int] = (-1, -1)
    expires_ms: int | None = None
    rings: daemon_rings.Rings = field(
        default_factory=lambda: daemon_rings.make_rings({})
    )
    rings_since_ms: int = 0
    allotments: dict[str, Allotment] = field(default_factory=dict)
    allocator_since_ms: dict[str, int] = field(default_factory=dict)
    allocations: dict[str, allocation.Allocation] = field(default_factory=dict)
    spendings: dict[str, spending.Spending] = field(default_factory=dict)
    unreached_until_ms: dict[str, int] = field(default_factory=dict)
