"""The node: what the parts of one daemon share.

It is plain data. Each part is a module of functions over it; none keeps state of its
own outside it.
"""

import asyncio
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fuchsiamoor.core import clock, keys, members, messages, settings, tables
from fuchsiamoor.daemon import knowledge as knowledges
from fuchsiamoor.daemon import metrics as metrics_module
from fuchsiamoor.daemon import serving as servings
from fuchsiamoor.daemon import store_metrics
from fuchsiamoor.ownership.lease_holder import LeaseHolder


@dataclass(slots=True)
class UpstreamState:
    """The upstream beside this daemon, as it announced itself.

    Parameters
    ----------
    incarnation : str
        Empty until the first announcement.
    slots, connections : int
    checks_grants : bool
    answered_ms : int
        Monotonic time of its last announcement or answer to a probe.
    leaving : bool
        Whether it asked to be drained.
    """

    incarnation: str = ""
    slots: int = 0
    connections: int = 0
    checks_grants: bool = False
    answered_ms: int = 0
    leaving: bool = False


@dataclass(slots=True)
class Node:
    """One daemon.

    Parameters
    ----------
    settings : Settings
    member : Member
        This run; its ``registered_version`` is 0 until the store has confirmed it.
    knowledge : Knowledge
    store : CountedStore
    links : Links
        Set once the peer server is made.
    metrics : Metrics
    holders : dict of str to LeaseHolder
        One for each domain in which this daemon may own shards.
    coordinating : dict of str to Coordination
        One for each domain that this daemon coordinates.
    coordinator_hints : dict of str to str
        Last coordinator read from the store or told by a peer, by domain.
    resigned_ms : dict of str to int
        When this daemon last gave up coordinating a domain.
    upstream : UpstreamState
    serving, entry, client : object
        Owner's side, entry side, and client of the upstream; set while starting.
    leaving : bool
        Whether the daemon hands everything over before it stops.
    draining_callers : bool
        Whether answers ask callers to close their connections.
    open_surfaces : int
        Number of HTTP servers that still run.
    closing : asyncio.Event
        Set when the HTTP servers are to close.
    stopped : asyncio.Event
        Set when everything may end.
    superseded : bool
        Whether a later registration holds the instance.
    handle_message : callable
        Answers a peer's message.
    renew_now : asyncio.Event
        Set when leases are to be renewed before their next turn.
    upstream_suspect : asyncio.Event
        Set when a connection to the upstream was refused.
    register_now : asyncio.Event
        Set when the registration may have to change.
    last_exchange_ms : int
        Monotonic time of the last exchange of state with a peer.
    rng : random.Random
    now_ms : callable
    """

    settings: settings.Settings
    member: members.Member
    knowledge: knowledges.Knowledge
    store: store_metrics.CountedStore
    metrics: metrics_module.Metrics
    links: Any = None
    holders: dict[str, LeaseHolder] = field(default_factory=dict)
    coordinating: dict[str, Any] = field(default_factory=dict)
    coordinator_hints: dict[str, str] = field(default_factory=dict)
    resigned_ms: dict[str, int] = field(default_factory=dict)
    upstream: UpstreamState = field(default_factory=UpstreamState)
    serving: Any = None
    entry: Any = None
    client: Any = None
    handle_message: Any = None
    leaving: bool = False
    draining_callers: bool = False
    open_surfaces: int = 0
    closing: asyncio.Event = field(default_factory=asyncio.Event)
    stopped: asyncio.Event = field(default_factory=asyncio.Event)
    superseded: bool = False
    renew_now: asyncio.Event = field(default_factory=asyncio.Event)
    upstream_suspect: asyncio.Event = field(default_factory=asyncio.Event)
    register_now: asyncio.Event = field(default_factory=asyncio.Event)
    last_exchange_ms: int = 0
    rng: random.Random = field(default_factory=random.Random)
    now_ms: Callable[[], int] = clock.read_clock_ms
    tasks: set[asyncio.Task] = field(default_factory=set)


def make_node(
    config: settings.Settings,
    store: store_metrics.CountedStore,
    metrics: metrics_module.Metrics,
) -> Node:
    """Return a node that has not started."""
    return Node(
        settings=config,
        member=make_member(config),
        knowledge=knowledges.make_knowledge(),
        store=store,
        metrics=metrics,
    )


def make_member(config: settings.Settings) -> members.Member:
    """Return this run's member, with a fresh nonce."""
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
    """Run a coroutine in the background and count its failure."""
    task = asyncio.create_task(coroutine, name=name)
    node.tasks.add(task)
    task.add_done_callback(lambda done: _forget_task(node, done))
    return task


def _forget_task(node: Node, task: asyncio.Task) -> None:
    node.tasks.discard(task)
    if not task.cancelled() and task.exception() is not None:
        node.metrics.count("task.failed")


def find_member(node: Node, member_id: str) -> members.Member | None:
    """Return a member by id, itself included, None if it is unknown or superseded."""
    if member_id == node.member.member_id:
        return node.member
    return node.knowledge.directory.by_id.get(member_id)


def list_members(node: Node, service: str) -> list[members.Member]:
    """Return the registered members of a service."""
    return [
        member
        for member in node.knowledge.directory.by_instance.values()
        if member.service == service
    ]


def list_candidates(node: Node, domain: str) -> list[members.Member]:
    """Return the registered members that could own shards of a domain."""
    service, regions = keys.split_domain_id(domain)
    out = node.knowledge.configuration.data_centres_out
    return [
        member
        for member in list_members(node, service)
        if member.region in regions and member.data_centre not in out
    ]


def find_table(node: Node, domain: str) -> tables.ShardTable | None:
    """Return the newest table known of a domain."""
    return node.knowledge.tables.get(domain)


def make_load(node: Node, domain: str) -> messages.MemberLoad:
    """Return what this daemon tells the coordinator of a domain."""
    leaving = node.leaving or node.upstream.leaving
    return servings.compute_load(node.serving, domain, leaving)
