"""The state of one daemon that serves by routes; each part is functions over it."""

import asyncio
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fuchsiamoor.agent import dialect as dialects
from fuchsiamoor.agent import event_log, registrations
from fuchsiamoor.core import agent_settings, clock
from fuchsiamoor.daemon import upstream_pool
from fuchsiamoor.ranges import demand as demands
from fuchsiamoor.ranges import granting as grantings
from fuchsiamoor.ranges import table as range_tables
from fuchsiamoor.routing import budget
from fuchsiamoor.store import feed as feeds
from fuchsiamoor.store import port
from fuchsiamoor.traffic import catalog as catalogs
from fuchsiamoor.traffic import gate as gates
from fuchsiamoor.traffic import spread, transit, upstreams


@dataclass(slots=True)
class UpstreamState:
    """The upstream beside this daemon.

    Parameters
    ----------
    incarnation : Incarnation or None
        Latest heard of.
    sequence : int
        Of its latest heartbeat.
    owner : str
        Its name as an owner of keys.
    ended_owner : str
        Owner here that is known to hold nothing any more.
    service : str
    slots : int
    last_seen_ms : int
        When it last gave a sign of life.
    draining_since_ms : int or None
        When its leaving was acknowledged.
    is_down : bool
        Whether nobody listens at its address.
    admission_queue : Gate or None
    granting : Granting or None
    demand : Demand or None
        What its keys are asked for.
    last_heartbeat_ms : int
        When its latest heartbeat came.
    pool : Pool or None
    waiters : dict
        Futures of the requests that wait at the gate, by ticket.
    """

    incarnation: upstreams.Incarnation | None = None
    sequence: int = 0
    owner: str = ""
    ended_owner: str = ""
    service: str = ""
    slots: int = 0
    last_seen_ms: int = 0
    draining_since_ms: int | None = None
    is_down: bool = False
    admission_queue: gates.Gate | None = None
    granting: grantings.Granting | None = None
    demand: demands.Demand | None = None
    last_heartbeat_ms: int = 0
    pool: upstream_pool.Pool | None = None
    waiters: dict[int, asyncio.Future] = field(default_factory=dict)
    last_ticket: int = 0
    admission_timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class StoreCache:
    """What this daemon has learnt from the store.

    Parameters
    ----------
    catalog : Catalog
    evacuated : set of str
        Data centres out of service.
    directory : Directory
    tables : dict of str to RangeTable
        By service.
    table_versions : dict of str to int
        Store version of each.
    absent_since_ms : dict of str to int
        Owners in tables that no registration names, since when.
    seen_since_ms : dict of str to int
        Owners, and when each was seen first.
    is_loaded : bool
        Whether the store was listed once.
    waiting : set of Future
        Of those who wait for a change.
    """

    catalog: catalogs.Catalog = field(default_factory=catalogs.make_empty_catalog)
    evacuated: set[str] = field(default_factory=set)
    directory: registrations.Directory = field(default_factory=registrations.Directory)
    tables: dict[str, range_tables.RangeTable] = field(default_factory=dict)
    table_versions: dict[str, int] = field(default_factory=dict)
    absent_since_ms: dict[str, int] = field(default_factory=dict)
    seen_since_ms: dict[str, int] = field(default_factory=dict)
    is_loaded: bool = False
    waiting: set[asyncio.Future] = field(default_factory=set)


@dataclass(slots=True)
class RegistrationState:
    """Registration of this run.

    Parameters
    ----------
    lease_id : str
        Empty without one.
    confirmed : Registration or None
        As the store last confirmed it.
    valid_until_ms : int
        Up to when the registration certainly stands.
    update_due : asyncio.Event
        Set when it has to be written or renewed before its next turn.
    """

    lease_id: str = ""
    confirmed: registrations.Registration | None = None
    valid_until_ms: int = 0
    update_due: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class Agent:
    """One daemon.

    Parameters
    ----------
    settings : AgentSettings
    dialect : Dialect
    store : TransactionalStore
    run : str
        Nonce of this run.
    events : EventLog
    links : Links
        Set once the peer server is made.
    ask_health : callable
        ``async ask_health(agent)`` asks the upstream beside for its health.
    metrics : Metrics
    longest_wait_ms : dict of str to int
        Longest time that a caller of each route waits, in milliseconds.
    stopping_since_ms : int or None
        When the daemon was told to stop.
    caller_tasks : set of Task
        Callers' requests that are served.
    is_aborting : bool
        Whether these are ended, whatever they wait for.
    carried_tasks : dict of str to Task
        Carried requests that run here, by request id.
    feed : Feed
        Changes of the store kept for other daemons.
    watches_directly : bool
        Whether it found no such daemon and watched the store for itself.
    next_watcher : int
        Counts the questions to daemons that watch the store.
    avoid_watchers_until_ms : dict of str to int
        Runs of such daemons that failed, and until when they are not asked.
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
    selection_stats: spread.Views = field(default_factory=spread.make_views)
    delay_estimator: transit.Transit = field(default_factory=transit.Transit)
    retry_budgets: dict[str, budget.Budget] = field(default_factory=dict)
    carried_tasks: dict[str, asyncio.Task] = field(default_factory=dict)
    longest_wait_ms: dict[str, int] = field(default_factory=dict)
    stopping_since_ms: int | None = None
    caller_tasks: set[asyncio.Task] = field(default_factory=set)
    is_aborting: bool = False
    feed: feeds.Feed = field(default_factory=feeds.Feed)
    watches_directly: bool = False
    next_watcher: int = 0
    avoid_watchers_until_ms: dict[str, int] = field(default_factory=dict)
    stopped: asyncio.Event = field(default_factory=asyncio.Event)
    table_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    catalog_refresh_due: asyncio.Event = field(default_factory=asyncio.Event)
    tasks: set[asyncio.Task] = field(default_factory=set)
    rng: random.Random = field(default_factory=random.Random)
    now_ms: Callable[[], int] = clock.read_clock_ms


def spawn(agent: Agent, coroutine, name: str) -> asyncio.Task:
    """Run a coroutine in the background; its failure is counted and logged."""
    task = asyncio.create_task(coroutine, name=name)
    agent.tasks.add(task)
    task.add_done_callback(lambda done: _forget(agent, done))
    return task


def _forget(agent: Agent, task: asyncio.Task) -> None:
    agent.tasks.discard(task)
    if not task.cancelled() and task.exception() is not None:
        agent.metrics.record_task_failure(task.get_name(), task.exception())


def make_location(registration: registrations.Registration) -> spread.Place:
    """Return where a registered instance is."""
    return spread.Place(
        registration.instance, registration.region, registration.data_centre
    )


def make_own_location(agent: Agent) -> spread.Place:
    """Return where this daemon is."""
    settings = agent.settings
    return spread.Place(settings.instance, settings.region, settings.data_centre)


def notify_change(agent: Agent) -> None:
    """Wake everybody who waits for a change of what is known."""
    for waiter in agent.cache.waiting:
        if not waiter.done():
            waiter.set_result(None)
    agent.cache.waiting.clear()


async def wait_for_change(agent: Agent, timeout_ms: int) -> bool:
    """Wait until something known has changed; False if the time was over first."""
    waiter = asyncio.get_running_loop().create_future()
    agent.cache.waiting.add(waiter)
    try:
        async with asyncio.timeout(max(timeout_ms, 1) / 1000):
            await waiter
    except TimeoutError:
        return False
    finally:
        agent.cache.waiting.discard(waiter)
    return True


# Callers notice within two questions for readiness that a daemon leaves.
STOP_NOTICE_MS = 2_100
# A daemon that stops gives its upstream nothing more after this time, so that what it
# was given ends before the process does.
STOP_SENDING_MS = 2_900


def has_been_stopping_for(agent: Agent, time_ms: int) -> bool:
    """Return whether the daemon was told to stop so long ago."""
    return (
        agent.stopping_since_ms is not None
        and agent.now_ms() >= agent.stopping_since_ms + time_ms
    )


def is_open(agent: Agent) -> bool:
    """Return whether the upstream beside this daemon takes new work."""
    upstream = agent.upstream
    return (
        upstream.incarnation is not None
        and not upstream.is_down
        and upstream.draining_since_ms is None
        and agent.stopping_since_ms is None
        and agent.settings.data_centre not in agent.cache.evacuated
    )


def find_service_settings(agent: Agent, service: str) -> catalogs.ServiceTerms | None:
    """Return what operators say of a service, None if it is unknown."""
    return agent.cache.catalog.services.get(service)


def is_keyed(agent: Agent, service: str) -> bool:
    """Return whether a service's upstreams hold key ranges."""
    terms = find_service_settings(agent, service)
    return terms is not None and terms.is_keyed
