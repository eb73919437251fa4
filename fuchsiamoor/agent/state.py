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
from fuchsiamoor.routing import retry_budget
from fuchsiamoor.store import feed as feeds
from fuchsiamoor.store import port
from fuchsiamoor.traffic import admission, instance_selection, one_way_delay, upstreams
from fuchsiamoor.traffic import catalog as catalogs


@dataclass(slots=True)
class Beside:
    """The upstream beside this daemon.

    Parameters
    ----------
    incarnation : Incarnation or None
        Latest heard of.
    sequence : int
        Of its latest heartbeat.
    owner : str
        Its name as an owner of keys.
    ended : str
        Owner here that is known to hold nothing any more.
    service : str
    slots : int
    heard_ms : int
        When it last gave a sign of life.
    leaving_ms : int or None
        When its leaving was acknowledged.
    is_gone : bool
        Whether nobody listens at its address.
    gate : AdmissionQueue or None
    granting : GrantState or None
    demand : Demand or None
        What its keys are asked for.
    reported_ms : int
        When its latest heartbeat came.
    pool : Pool or None
    waiters : dict
        Futures of the requests that wait at the gate, by ticket.
    """

    incarnation: upstreams.Incarnation | None = None
    sequence: int = 0
    owner: str = ""
    ended: str = ""
    service: str = ""
    slots: int = 0
    heard_ms: int = 0
    leaving_ms: int | None = None
    is_gone: bool = False
    gate: admission.AdmissionQueue | None = None
    granting: grantings.GrantState | None = None
    demand: demands.Demand | None = None
    reported_ms: int = 0
    pool: upstream_pool.Pool | None = None
    waiters: dict[int, asyncio.Future] = field(default_factory=dict)
    last_ticket: int = 0
    room_timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class Known:
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
    is_listed : bool
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
    is_listed: bool = False
    waiting: set[asyncio.Future] = field(default_factory=set)


@dataclass(slots=True)
class Standing:
    """Registration of this run.

    Parameters
    ----------
    lease_id : str
        Empty without one.
    written : Registration or None
        As the store last confirmed it.
    evidence_until_ms : int
        Up to when the registration certainly stands.
    due : asyncio.Event
        Set when it has to be written or renewed before its next turn.
    """

    lease_id: str = ""
    written: registrations.Registration | None = None
    evidence_until_ms: int = 0
    due: asyncio.Event = field(default_factory=asyncio.Event)


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
    longest_waits : dict of str to int
        Longest time that a caller of each route waits, in milliseconds.
    stopping_ms : int or None
        When the daemon was told to stop.
    serving : set of Task
        Callers' requests that are served.
    is_ending : bool
        Whether these are ended, whatever they wait for.
    running : dict of str to Task
        Carried requests that run here, by request id.
    feed : Feed
        Changes of the store kept for other daemons.
    is_alone : bool
        Whether it found no such daemon and watched the store for itself.
    turn : int
        Counts the questions to daemons that watch the store.
    avoided_until_ms : dict of str to int
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
    beside: Beside = field(default_factory=Beside)
    known: Known = field(default_factory=Known)
    standing: Standing = field(default_factory=Standing)
    views: instance_selection.SelectionStats = field(
        default_factory=instance_selection.make_selection_stats
    )
    transits: one_way_delay.DelayEstimator = field(
        default_factory=one_way_delay.DelayEstimator
    )
    budgets: dict[str, retry_budget.Budget] = field(default_factory=dict)
    running: dict[str, asyncio.Task] = field(default_factory=dict)
    longest_waits: dict[str, int] = field(default_factory=dict)
    stopping_ms: int | None = None
    serving: set[asyncio.Task] = field(default_factory=set)
    is_ending: bool = False
    feed: feeds.Feed = field(default_factory=feeds.Feed)
    is_alone: bool = False
    turn: int = 0
    avoided_until_ms: dict[str, int] = field(default_factory=dict)
    stopped: asyncio.Event = field(default_factory=asyncio.Event)
    table_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    refresh_due: asyncio.Event = field(default_factory=asyncio.Event)
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
        agent.metrics.task_failed(task.get_name(), task.exception())


def make_place(registration: registrations.Registration) -> instance_selection.Location:
    """Return where a registered instance is."""
    return instance_selection.Location(
        registration.instance, registration.region, registration.data_centre
    )


def own_place(agent: Agent) -> instance_selection.Location:
    """Return where this daemon is."""
    settings = agent.settings
    return instance_selection.Location(
        settings.instance, settings.region, settings.data_centre
    )


def note_change(agent: Agent) -> None:
    """Wake everybody who waits for a change of what is known."""
    for waiter in agent.known.waiting:
        if not waiter.done():
            waiter.set_result(None)
    agent.known.waiting.clear()


async def wait_for_change(agent: Agent, timeout_ms: int) -> bool:
    """Wait until something known has changed; False if the time was over first."""
    waiter = asyncio.get_running_loop().create_future()
    agent.known.waiting.add(waiter)
    try:
        async with asyncio.timeout(max(timeout_ms, 1) / 1000):
            await waiter
    except TimeoutError:
        return False
    finally:
        agent.known.waiting.discard(waiter)
    return True


# Callers notice within two questions for readiness that a daemon leaves.
STOP_NOTICE_MS = 2_100
# A daemon that stops gives its upstream nothing more after this time, so that what it
# was given ends before the process does.
STOP_LAST_RUN_MS = 2_900


def has_stopped_for(agent: Agent, time_ms: int) -> bool:
    """Return whether the daemon was told to stop so long ago."""
    return (
        agent.stopping_ms is not None and agent.now_ms() >= agent.stopping_ms + time_ms
    )


def is_open(agent: Agent) -> bool:
    """Return whether the upstream beside this daemon takes new work."""
    beside = agent.beside
    return (
        beside.incarnation is not None
        and not beside.is_gone
        and beside.leaving_ms is None
        and agent.stopping_ms is None
        and agent.settings.data_centre not in agent.known.evacuated
    )


def find_terms(agent: Agent, service: str) -> catalogs.ServiceSettings | None:
    """Return what operators say of a service, None if it is unknown."""
    return agent.known.catalog.services.get(service)


def is_keyed(agent: Agent, service: str) -> bool:
    """Return whether a service's upstreams hold key ranges."""
    terms = find_terms(agent, service)
    return terms is not None and terms.is_keyed
