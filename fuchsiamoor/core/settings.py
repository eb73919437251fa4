"""Settings of a daemon, as plain data.

`fuchsiamoor.daemon.settings_file` reads and validates them.
"""

from typing import NamedTuple

from fuchsiamoor.core.addresses import Address


class Timing(NamedTuple):
    """Time parameters of the ownership protocol, equal in all daemons of a deployment.

    Parameters
    ----------
    renew_every_ms : int
        Interval between two renewals of a serving lease.
    lease_ms : int
        Duration of a serving lease.
    silence_ms : int
        Time without a renewal after which the coordinator declares a member lost.
    store_lease_ms : int
        Duration of the coordinator's lease in the store.
    drift_ratio : float
        Largest difference in the rate of two monotonic clocks.
    gossip_every_ms : int
        Interval between two digests, each sent to a random peer.
    """

    renew_every_ms: int = 200
    lease_ms: int = 600
    silence_ms: int = 600
    store_lease_ms: int = 500
    drift_ratio: float = 0.001
    gossip_every_ms: int = 500


class Settings(NamedTuple):
    """Settings that one daemon gets when it starts.

    Parameters
    ----------
    instance : str
    service : str
        Service of the upstream beside the daemon.
    region : str
    data_centre : str
    caller_address, peer_address, operator_address, announce_address : Address
        Where the daemon listens for callers, other daemons, operators, and the upstream
        beside it.
    upstream_address : Address
        Where the upstream beside it listens.
    store_url : str
    statsd_address : Address or None
    peer_keys : tuple of str
        Shared keys accepted from peers; the first one is used for sending.
    operator_keys : tuple of str
        The same for operators.
    timing : Timing
    peer_bind_address : Address or None
        Where it listens for other daemons if they reach `peer_address` through a relay
        or address translation.
    memory_bytes : int
        Memory of the machine that the daemon may use.
    """

    instance: str
    service: str
    region: str
    data_centre: str
    caller_address: Address
    peer_address: Address
    operator_address: Address
    announce_address: Address
    upstream_address: Address
    store_url: str
    statsd_address: Address | None
    peer_keys: tuple[str, ...]
    operator_keys: tuple[str, ...]
    timing: Timing
    peer_bind_address: Address | None = None
    memory_bytes: int = 300_000_000
