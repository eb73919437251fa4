"""The node: state shared by all components of one daemon.

It is plain data. Each component is a module of functions that operate on the node and
keep no state elsewhere.
"""

import asyncio
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fuchsiamoor.core import clock, keys, members, messages, settings, tables
from fuchsiamoor.daemon import cluster_state as cluster_states
from fuchsiamoor.daemon import loop_pauses, store_metrics
from fuchsiamoor.daemon import metrics as metrics_module
from fuchsiamoor.daemon import serving as servings
from fuchsiamoor.ownership.lease_holder import LeaseHolder


@dataclass(slots=True)
class UpstreamState:
    """The local upstream, as it announced itself.

    Parameters
    ----------
    incarnation : str
        Empty until the first announcement.
    slots, connections : int
    checks_grants : bool
    last_seen_ms : int
        Monotonic time of its last announcement or answered probe.
    leaving : bool
        Whether it has requested a drain.
    """

    incarnation: str = ""
    slots: int = 0
    connections: int = 0
    checks_grants: bool = False
    last_seen_ms: int = 0
    leaving: bool = False


@dataclass(slots=True)
class Node:
    """One daemon.

    Parameters
    ----------
    settings : Settings
    member : Member
        This run of the instance; its ``registered_version`` is 0 until the store has
        confirmed the registration.
    cluster_state : ClusterState
    store : CountedStore
    links : Links
        Connections to peers; set during startup.
    metrics : Metrics
    holders : dict of str to LeaseHolder
        Lease holder of each domain in which this daemon may own shards.
    lapsed_domains : set of str
        Domains in which this daemon owns shards and its lease has ended.
    coordinator_roles : dict of str to CoordinatorRole
        Role in each domain that this daemon coordinates.
    coordinator_hints : dict of str to str
        Last coordinator read from the store or reported by a peer, by domain.
    candidacy_paused_ms : dict of str to int
        Monotonic time at which this daemon last gave up the role of a domain's
        coordinator to leave it to others, by domain.
    upstream : UpstreamState
    serving, entry, client : object
        Owner's side of requests, callers' side, and client of the upstream; set during
        startup.
    leaving : bool
        Whether the daemon is handing over its shards and roles before it stops.
    draining_callers : bool
        Whether answers ask callers to close their connections.
    open_servers : int
        Number of HTTP servers that are running.
    closing : asyncio.Event
        Set when the HTTP servers should close.
    stopped : asyncio.Event
        Set when the shutdown is complete and the supervisor tree may end.
    superseded : bool
        Whether a later run has registered the instance.
    handle_message : callable
        Handles a message from a peer and returns the reply.
    renew_now : asyncio.Event
        Set when leases should be renewed without waiting for the next interval.
    upstream_suspect : asyncio.Event
        Set when the upstream refused a connection, to have it probed at once.
    register_now : asyncio.Event
        Set when the registration may be outdated and should be checked.
    last_exchange_ms : int
        Monotonic time of the last gossip exchange with a peer.
    pause_history : PauseHistory
        Recent pauses of the event loop.
    rng : random.Random
    now_ms : callable
        Returns monotonic time.
    tasks : set of asyncio.Task
        Running background tasks; the reference keeps them from being collected.
    """

    settings: settings.Settings
    member: members.Member
    cluster_state: cluster_states.ClusterState
    store: store_metrics.CountedStore
    metrics: metrics_module.Metrics
    links: Any = None
    holders: dict[str, LeaseHolder] = field(default_factory=dict)
    lapsed_domains: set[str] = field(default_factory=set)
    coordinator_roles: dict[str, Any] = field(default_factory=dict)
    coordinator_hints: dict[str, str] = field(default_factory=dict)
    candidacy_paused_ms: dict[str, int] = field(default_factory=dict)
    upstream: UpstreamState = field(default_factory=UpstreamState)
    serving: Any = None
    entry: Any = None
    client: Any = None
    handle_message: Any = None
    leaving: bool = False
    draining_callers: bool = False
    open_servers: int = 0
    closing: asyncio.Event = field(default_factory=asyncio.Event)
    stopped: asyncio.Event = field(default_factory=asyncio.Event)
    superseded: bool = False
    renew_now: asyncio.Event = field(default_factory=asyncio.Event)
    upstream_suspect: asyncio.Event = field(default_factory=asyncio.Event)
    register_now: asyncio.Event = field(default_factory=asyncio.Event)
    last_exchange_ms: int = 0
    pause_history: loop_pauses.PauseHistory = field(
        default_factory=loop_pauses.make_history
    )
    rng: random.Random = field(default_factory=random.Random)
    now_ms: Callable[[], int] = clock.read_clock_ms
    tasks: set[asyncio.Task] = field(default_factory=set)


def make_node(
    config: settings.Settings,
    store: store_metrics.CountedStore,
    metrics: metrics_module.Metrics,
) -> Node:
    """Return the node of a daemon that has not started."""
    return Node(
        settings=config,
        member=make_member(config),
        cluster_state=cluster_states.make_cluster_state(),
        store=store,
        metrics=metrics,
    )


def make_member(config: settings.Settings) -> members.Member:
    """Return the member record of this run, with a new random id."""
    return members.Member(
        member_id=members.make_member_id(config.instance, secrets.token_hex(4)),
        instance=config.instance,
        service=config.service,
        region=config.region,
        data_centre=config.data_centre,
        peer_address=config.peer_address,
        caller_address=config.caller_address,
        operator_address=config.operator_address,
        checks_grants=False,
        slots=0,
        connections=0,
    )


def spawn(node: Node, coroutine, name: str) -> asyncio.Task:
    """Run a coroutine as a background task; a failure is counted."""
    task = asyncio.create_task(coroutine, name=name)
    node.tasks.add(task)
    task.add_done_callback(lambda done: _handle_task_end(node, done))
    return task


def _handle_task_end(node: Node, task: asyncio.Task) -> None:
    node.tasks.discard(task)
    if not task.cancelled() and task.exception() is not None:
        node.metrics.count("task.failed")


def find_member(node: Node, member_id: str) -> members.Member | None:
    """Return a member by id, or None if it is unknown or superseded.

    This daemon finds itself even before it is registered.
    """
    if member_id == node.member.member_id:
        return node.member
    return node.cluster_state.directory.by_id.get(member_id)


def list_members(node: Node, service: str) -> list[members.Member]:
    """Return the registered members of a service."""
    return [
        member
        for member in node.cluster_state.directory.by_instance.values()
        if member.service == service
    ]


def list_candidates(node: Node, domain: str) -> list[members.Member]:
    """Return the registered members that may own shards of a domain."""
    service, regions = keys.split_domain_id(domain)
    data_centres_out = node.cluster_state.configuration.data_centres_out
    return [
        member
        for member in list_members(node, service)
        if member.region in regions and member.data_centre not in data_centres_out
    ]


def find_table(node: Node, domain: str) -> tables.ShardTable | None:
    """Return the newest known table of a domain."""
    return node.cluster_state.tables.get(domain)


def make_load(node: Node, domain: str) -> messages.MemberLoad:
    """Return the load that this daemon reports to the coordinator of a domain."""
    leaving = node.leaving or node.upstream.leaving
    return servings.compute_load(node.serving, domain, leaving)
