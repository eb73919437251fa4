"""Settings of a daemon that serves by routes, as plain data.

What fills them in decodes the deployment's own file; see ``docs/PLATFORM.md``.
"""

from typing import NamedTuple

from fuchsiamoor.core.addresses import Address


class Bounds(NamedTuple):
    """Times and shares that the deployment promises to its callers and upstreams.

    Parameters
    ----------
    drain_ms : int
        Time for which a leaving upstream may still be sent requests.
    grace_ms : int
        Time between the request to stop and the end of the process.
    hold_max_ms : int
        Longest time for which an upstream accepts keys at once.
    cold_ratio : float
        Arrivals at a cold upstream that are borne, as a multiple of its rate.
    retry_ratio : float
        Repeats allowed for each request, as a share of traffic, all daemons together.
    retry_spare : float
        Repeats allowed on top of that in a window.
    """

    drain_ms: int = 2_000
    grace_ms: int = 6_000
    hold_max_ms: int = 10_000
    cold_ratio: float = 1.0
    retry_ratio: float = 0.1
    retry_spare: float = 10.0


class AgentSettings(NamedTuple):
    """Everything that one daemon is told at its start.

    Parameters
    ----------
    instance : str
        Unique in the deployment, and the same after a restart.
    service : str
        Service of the upstream beside it.
    region, data_centre : str
    caller_address : Address
        Where callers and the upstream send requests.
    upstream_address : Address
    control_address : Address
        Where the upstream sends its heartbeats.
    ready_address : Address
        Where readiness is asked for.
    peer_address : Address
        Where other daemons connect.
    metrics_address : Address or None
    store_address : Address
    heartbeat_ms : int
        Usual time between two heartbeats of an upstream.
    lease_min_ms : int
        Shortest lease that the store grants.
    bounds : Bounds
    """

    instance: str
    service: str
    region: str
    data_centre: str
    caller_address: Address
    upstream_address: Address
    control_address: Address
    ready_address: Address
    peer_address: Address
    metrics_address: Address | None
    store_address: Address
    heartbeat_ms: int
    lease_min_ms: int
    bounds: Bounds
