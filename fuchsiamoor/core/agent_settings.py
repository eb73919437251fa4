"""Settings of a daemon that serves requests by route, as plain data.

They are decoded from the deployment's own file; see ``docs/PLATFORM.md``.
"""

from typing import NamedTuple

from fuchsiamoor.core.addresses import Address


class Bounds(NamedTuple):
    """Times and ratios that the deployment guarantees to callers and upstreams.

    Parameters
    ----------
    drain_ms : int
        Time for which requests may still be sent to an upstream that is leaving.
    grace_ms : int
        Time from the signal to stop until the process must have exited.
    hold_max_ms : int
        Longest time for which an upstream accepts keys by one grant.
    cold_ratio : float
        Arrivals that a cold upstream is allowed, as a multiple of its rate.
    retry_ratio : float
        Retries allowed by all daemons together, as a share of traffic.
    retry_spare : float
        Retries allowed in each window in addition to ``retry_ratio``.
    quota_window_ms : int
        Length of a window in which all daemons together hold a quota.
    quota_ratio : float
        By which share of a quota they may exceed it in a window.
    quota_spare : float
        Requests by which they may exceed it in addition.
    """

    drain_ms: int = 2_000
    grace_ms: int = 6_000
    hold_max_ms: int = 10_000
    cold_ratio: float = 1.0
    retry_ratio: float = 0.1
    retry_spare: float = 10.0
    quota_window_ms: int = 5_000
    quota_ratio: float = 0.0
    quota_spare: float = 0.0


class AgentSettings(NamedTuple):
    """Settings that one daemon gets when it starts.

    Parameters
    ----------
    instance : str
        Unique in the deployment and unchanged by a restart.
    service : str
        Service of the upstream beside the daemon.
    region, data_centre : str
    caller_address : Address
        Where callers and the upstream send their requests.
    upstream_address : Address
    control_address : Address
        Where the upstream sends its heartbeats.
    ready_address : Address
        Where readiness is probed.
    peer_address : Address
        Where other daemons connect.
    metrics_address : Address or None
    store_address : Address
    heartbeat_ms : int
        Usual interval between two heartbeats of an upstream.
    lease_min_ms : int
        Shortest lease that the store grants.
    memory_bytes : int
        Memory of the machine that the daemon may use.
    bounds : Bounds
    descriptors : int
        Files and connections that the daemon may have open.
    learns_from_resets : bool
        Whether upstreams may reset connections when they are full.
    copies_share : float
        Second copies of slow requests that may be repeated, as a share of all requests;
        0 sends none.
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
    memory_bytes: int
    bounds: Bounds
    descriptors: int = 4_096
    learns_from_resets: bool = False
    copies_share: float = 0.0
