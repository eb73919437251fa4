"""State of one daemon that routes requests; the other modules are functions over it."""

import asyncio
import math
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from fuchsiamoor.agent import dialect as dialects
from fuchsiamoor.agent import event_log, nested_calls, registrations
from fuchsiamoor.agent import transfers as body_transfers
from fuchsiamoor.core import agent_settings, byte_account, clock
from fuchsiamoor.daemon import upstream_pool
from fuchsiamoor.quotas import local_state as quota_state
from fuchsiamoor.ranges import demand as demands
from fuchsiamoor.ranges import granting as grantings
from fuchsiamoor.ranges import table as range_tables
from fuchsiamoor.routing import hedging, retry_budget
from fuchsiamoor.store import feed as feeds
from fuchsiamoor.store import port
from fuchsiamoor.traffic import admission, instance_selection, one_way_delay, upstreams
from fuchsiamoor.traffic import catalog as catalogs


@dataclass(slots=True)
class UpstreamState:
    """State of the local upstream: the instance that this daemon runs beside.

    Parameters
    ----------
    incarnation : Incarnation or None
        Latest incarnation that sent a heartbeat.
    sequence : int
        Sequence number of its latest heartbeat.
    owner : str
        Name of the incarnation as an owner of keys.
    ended_owner : str
        Name of an earlier or the present incarnation that certainly holds no keys
        any more; empty if there is none.
    service : str
    reports_ranges : bool
        Whether its first heartbeat named the ranges held and released.
    slots : int
        Requests that it runs at a time.
    last_seen_ms : int
        Time of its latest heartbeat, answer or health check.
    draining_since_ms : int or None
        Time at which its announcement to leave was acknowledged.
    is_down : bool
        Whether its process has ended, or its holds expired while it was silent.
    admission_queue : AdmissionQueue or None
        Requests that run or wait.
    granting : GrantState or None
        Key ranges granted to it.
    demand : Demand or None
        Recent requests for its keys.
    last_heartbeat_ms : int
        Arrival time of its latest heartbeat.
    pool : Pool or None
        Connections to it.
    waiters : dict of int to Future
        Futures of the queued requests, by ticket.
    last_ticket : int
        Ticket of the latest request.
    admission_timer : TimerHandle or None
        Next attempt to admit queued requests to a cold upstream.
    """

    incarnation: upstreams.Incarnation | None = None
    sequence: int = 0
    owner: str = ""
    ended_owner: str = ""
    service: str = ""
    reports_ranges: bool = True
    slots: int = 0
    last_seen_ms: int = 0
    draining_since_ms: int | None = None
    is_down: bool = False
    admission_queue: admission.AdmissionQueue | None = None
    granting: grantings.GrantState | None = None
    demand: demands.Demand | None = None
    last_heartbeat_ms: int = 0
    pool: upstream_pool.Pool | None = None
    waiters: dict[int, asyncio.Future] = field(default_factory=dict)
    last_ticket: int = 0
    admission_timer: asyncio.TimerHandle | None = None


class Absence(NamedTuple):
    """Time for which an owner has had no registration.

    Parameters
    ----------
    since_ms : int
    run_version : int
        Store version of the instance's run record up to which this is known: each
        registration is written together with a new record.
    """

    since_ms: int
    run_version: int


@dataclass(slots=True)
class StoreCache:
    """Local copy of what this daemon reads from the store.

    Parameters
    ----------
    catalog : Catalog
    catalog_entry : Entry or None
        The entry that holds it, None before the first one.
    evacuated : set of str
        Data centres out of service.
    directory : Directory
        Registrations of all instances.
    tables : dict of str to RangeTable
        Range table of each service.
    table_versions : dict of str to int
        Store version of each service's table.
    unreadable_tables : set of str
        Services whose table in the store cannot be decoded; the latest one that could
        be is in ``tables``, and is to be written again.
    copied_tables : dict of str to RangeTable
        Tables of an earlier era that a copy of the store has brought back, of services
        without any other; never in force.
    absences : dict of str to Absence
        Absence of each owner that a table names and that has no registration.
    first_seen_ms : dict of str to int
        Time at which each owner was first seen.
    is_loaded : bool
        Whether the whole store has been listed at least once.
    revision : int
        Number of changes of the copy so far.
    change_waiters : set of Future
        Resolved at the next change of the copy.
    """

    catalog: catalogs.Catalog = field(default_factory=catalogs.make_empty_catalog)
    catalog_entry: port.Entry | None = None
    evacuated: set[str] = field(default_factory=set)
    directory: registrations.Directory = field(default_factory=registrations.Directory)
    tables: dict[str, range_tables.RangeTable] = field(default_factory=dict)
    table_versions: dict[str, int] = field(default_factory=dict)
    unreadable_tables: set[str] = field(default_factory=set)
    copied_tables: dict[str, range_tables.RangeTable] = field(default_factory=dict)
    absences: dict[str, Absence] = field(default_factory=dict)
    first_seen_ms: dict[str, int] = field(default_factory=dict)
    is_loaded: bool = False
    revision: int = 0
    change_waiters: set[asyncio.Future] = field(default_factory=set)


class CandidateSet(NamedTuple):
    """The instances that may serve a route, and what they were derived from.

    Parameters
    ----------
    directory_revision : int
    evacuated : frozenset of str
    candidates : Candidates
    """

    directory_revision: int
    evacuated: frozenset[str]
    candidates: instance_selection.Candidates


@dataclass(slots=True)
class RegistrationState:
    """State of this daemon process's registration in the store.

    Parameters
    ----------
    lease_id : str
        Lease in the store; empty without one.
    confirmed : Registration or None
        Registration as the store last confirmed it.
    valid_until_ms : int
        Time until which the registration is certainly in the store.
    update_due : asyncio.Event
        Set when it must be written or renewed before the next regular renewal.
    """

    lease_id: str = ""
    confirmed: registrations.Registration | None = None
    valid_until_ms: int = 0
    update_due: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class LeaveState:
    """Leaves that are to be written to the store.

    Parameters
    ----------
    unrecorded : dict of str to str
        Owner that leaves, by instance; also for other daemons.
    kept_owner : str
        Owner at this instance whose leave other daemons keep; empty if there is none.
    write_due : asyncio.Event
        Set when there is one to write.
    """

    unrecorded: dict[str, str] = field(default_factory=dict)
    kept_owner: str = ""
    write_due: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class EraState:
    """Eras of the store, as this daemon knows them.

    Parameters
    ----------
    era : int
        Latest era that is known.
    since_ms : int
        Time at which this daemon learned of it.
    was_watcher : bool
        Whether this daemon was a watcher then.
    listed_era : int
        Era of the latest listing of the store.
    granted_owner : str
        Owner whose registration the era of the cached table confirmed; empty if none.
    grants_until_ms : int
        Time until which that registration is certainly valid.
    tried_versions : dict of str to int
        Highest version of each service's table that this daemon may have written.
    kept_evacuated : dict of str to int
        Data centres whose evacuation the store has lost, with the time until which they
        stay out of service.
    changed : asyncio.Event
        Set when an era begins, until the store is listed in it.
    """

    era: int = 0
    since_ms: int = 0
    was_watcher: bool = False
    listed_era: int = 0
    granted_owner: str = ""
    grants_until_ms: int = 0
    tried_versions: dict[str, int] = field(default_factory=dict)
    kept_evacuated: dict[str, int] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class HedgingState:
    """What this daemon's second copies of slow requests depend on.

    Parameters
    ----------
    latencies : dict of str to LatencyWindow
        Latencies of answers from other daemons, by route.
    budgets : dict of str to Budget
        Copies that may be sent, by service.
    refused_ms : dict of str to int
        When each service last refused a request of this daemon.
    """

    latencies: dict[str, hedging.LatencyWindow] = field(default_factory=dict)
    budgets: dict[str, retry_budget.Budget] = field(default_factory=dict)
    refused_ms: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Agent:
    """State of one daemon.

    Parameters
    ----------
    settings : AgentSettings
    dialect : Dialect
    store : TransactionalStore
    metrics : Metrics
    run : str
        Nonce that identifies this daemon process.
    events : EventLog
    links : Links
        Links to other daemons; set once the peer server is made.
    ask_health : callable
        ``async ask_health(agent)`` sends a health check to the local upstream.
    upstream : UpstreamState
    cache : StoreCache
    registration : RegistrationState
    leaves : LeaveState
    eras : EraState
    selection_stats : SelectionStats
        Measurements of instances, by which one is chosen.
    candidates : dict of (str, frozenset) to CandidateSet
        Instances of each service that may serve a route, by service and home regions.
    delay_estimator : DelayEstimator
        Estimates the delays of messages from other daemons.
    retry_budgets : dict of str to Budget
        Retry budget of each service.
    hedging : HedgingState
    carried_tasks : dict of str to Task
        Requests forwarded by other daemons that run here, by request id.
    longest_wait_ms : dict of str to int
        Longest time that a caller of each route waits, in milliseconds.
    runs : dict of str to ParentRun
        Runs of the local upstream, by request id.
    transfers : Transfers
        Large bodies that other daemons are sending to this one.
    accounts : Accounts
        Received bytes that are held now.
    stopping_since_ms : int or None
        Time at which a stop was requested.
    stop_requested : asyncio.Event
        Set with it.
    has_ended_admission : bool
        Whether no more requests are sent to the upstream because the daemon ends.
    caller_tasks : set of Task
        Requests of callers being served.
    is_aborting : bool
        Whether all of `caller_tasks` are being cancelled because the daemon stops.
    feed : Feed
        Recent changes of the store, kept for other daemons.
    watches_directly : bool
        Whether the latest watch went to the store because no watcher answered.
    source_heard_ms : int
        Time of the latest result of a watch, with or without changes.
    next_watcher : int
        Round-robin counter over the watchers of the region.
    avoid_watchers_until_ms : dict of str to int
        For each run of a watcher that failed, the time until which it is not asked.
    quotas : QuotaState
        Quotas of organisations.
    stopped : asyncio.Event
        Set when background tasks must end.
    table_lock : asyncio.Lock
        Held while this daemon writes a range table.
    catalog_refresh_due : asyncio.Event
        Set when another daemon has a newer catalog than this one.
    known_catalog_version : int
        Latest version of which another daemon has told.
    tasks : set of Task
        Background tasks.
    rng : Random
    now_ms : callable
        Clock, in milliseconds.
    started_ms : int
        Time at which the background tasks started.
    """

    settings: agent_settings.AgentSettings
    dialect: dialects.Dialect
    store: port.TransactionalStore
    metrics: Any
    run: str = field(default_factory=lambda: secrets.token_hex(4))
    events: event_log.EventLog | None = None
    links: Any = None
    ask_health: Any = None
    upstream: UpstreamState = field(default_factory=UpstreamState)
    cache: StoreCache = field(default_factory=StoreCache)
    registration: RegistrationState = field(default_factory=RegistrationState)
    leaves: LeaveState = field(default_factory=LeaveState)
    eras: EraState = field(default_factory=EraState)
    selection_stats: instance_selection.SelectionStats = field(
        default_factory=instance_selection.make_selection_stats
    )
    candidates: dict[tuple[str, frozenset[str]], CandidateSet] = field(
        default_factory=dict
    )
    delay_estimator: one_way_delay.DelayEstimator = field(
        default_factory=one_way_delay.DelayEstimator
    )
    retry_budgets: dict[str, retry_budget.Budget] = field(default_factory=dict)
    hedging: HedgingState = field(default_factory=HedgingState)
    carried_tasks: dict[str, asyncio.Task] = field(default_factory=dict)
    longest_wait_ms: dict[str, int] = field(default_factory=dict)
    runs: nested_calls.Runs = field(default_factory=dict)
    transfers: body_transfers.Transfers = field(
        default_factory=body_transfers.Transfers
    )
    accounts: byte_account.Accounts = field(
        default_factory=lambda: byte_account.make_accounts(0)
    )
    stopping_since_ms: int | None = None
    stop_requested: asyncio.Event = field(default_factory=asyncio.Event)
    has_ended_admission: bool = False
    caller_tasks: set[asyncio.Task] = field(default_factory=set)
    is_aborting: bool = False
    feed: feeds.Feed = field(default_factory=feeds.Feed)
    watches_directly: bool = False
    source_heard_ms: int = 0
    next_watcher: int = 0
    avoid_watchers_until_ms: dict[str, int] = field(default_factory=dict)
    quotas: quota_state.QuotaState = field(default_factory=quota_state.QuotaState)
    stopped: asyncio.Event = field(default_factory=asyncio.Event)
    table_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    catalog_refresh_due: asyncio.Event = field(default_factory=asyncio.Event)
    known_catalog_version: int = 0
    tasks: set[asyncio.Task] = field(default_factory=set)
    rng: random.Random = field(default_factory=random.Random)
    now_ms: Callable[[], int] = clock.read_clock_ms
    started_ms: int = 0


def spawn(agent: Agent, coroutine, name: str) -> asyncio.Task:
    """Start a background task whose failure is counted and logged."""
    task = asyncio.create_task(coroutine, name=name)
    agent.tasks.add(task)
    task.add_done_callback(lambda done: _finish_task(agent, done))
    return task


def _finish_task(agent: Agent, task: asyncio.Task) -> None:
    agent.tasks.discard(task)
    if not task.cancelled() and task.exception() is not None:
        agent.metrics.record_task_failure(task.get_name(), task.exception())


def make_location(
    registration: registrations.Registration,
) -> instance_selection.Location:
    """Return the location of a registered instance."""
    return instance_selection.Location(
        registration.instance, registration.region, registration.data_centre
    )


def make_own_location(agent: Agent) -> instance_selection.Location:
    """Return the location of this daemon."""
    settings = agent.settings
    return instance_selection.Location(
        settings.instance, settings.region, settings.data_centre
    )


def note_catalog_version(agent: Agent, version: int) -> None:
    """Let the catalog be read again if another daemon has a newer one."""
    agent.known_catalog_version = max(agent.known_catalog_version, version)
    if version > agent.cache.catalog.version:
        agent.catalog_refresh_due.set()


def notify_change(agent: Agent) -> None:
    """Count a change of the cache, and wake all tasks that wait for one."""
    agent.cache.revision += 1
    for waiter in agent.cache.change_waiters:
        if not waiter.done():
            waiter.set_result(None)
    agent.cache.change_waiters.clear()


async def wait_for_change(agent: Agent, timeout_ms: int) -> bool:
    """Wait until the cache changes; return False on a timeout."""
    waiter = asyncio.get_running_loop().create_future()
    agent.cache.change_waiters.add(waiter)
    try:
        async with asyncio.timeout(max(timeout_ms, 1) / 1000):
            await waiter
    except TimeoutError:
        return False
    finally:
        agent.cache.change_waiters.discard(waiter)
    return True


async def wait_until_loaded(agent: Agent, timeout_ms: int) -> None:
    """Wait until the store has been listed once, or for the given time."""
    ends_by_ms = agent.now_ms() + timeout_ms
    while not agent.cache.is_loaded and agent.now_ms() < ends_by_ms:
        await wait_for_change(agent, ends_by_ms - agent.now_ms())


# Callers see within two readiness checks that a daemon is stopping.
STOP_NOTICE_MS = 2_100
# A stopping daemon sends its upstream no more requests after this time, so that those
# already sent end before the process exits.
STOP_SENDING_MS = 2_900
# Share of the grace period after which requests that still run are cancelled.
STOP_DEADLINE_SHARE = 5 / 6


def has_been_stopping_for(agent: Agent, time_ms: int) -> bool:
    """Return whether at least `time_ms` have passed since a stop was requested."""
    return (
        agent.stopping_since_ms is not None
        and agent.now_ms() >= agent.stopping_since_ms + time_ms
    )


def find_end_ms(agent: Agent) -> float:
    """Return when a stopping daemon ends all requests; infinity if none is stopping."""
    if agent.stopping_since_ms is None:
        return math.inf
    grace_ms = agent.settings.bounds.grace_ms
    return agent.stopping_since_ms + int(grace_ms * STOP_DEADLINE_SHARE)


def is_open(agent: Agent) -> bool:
    """Return whether the local upstream accepts new requests."""
    upstream = agent.upstream
    return (
        upstream.incarnation is not None
        and not upstream.is_down
        and upstream.draining_since_ms is None
        and agent.stopping_since_ms is None
        and agent.settings.data_centre not in agent.cache.evacuated
    )


def find_service_settings(
    agent: Agent, service: str
) -> catalogs.ServiceSettings | None:
    """Return a service's settings in the catalog, None if it has none."""
    return agent.cache.catalog.services.get(service)


def is_keyed(agent: Agent, service: str) -> bool:
    """Return whether a service's upstreams own key ranges."""
    service_settings = find_service_settings(agent, service)
    return service_settings is not None and service_settings.is_keyed
