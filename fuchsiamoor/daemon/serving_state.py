"""State of the serving side of a daemon, and the ports that it is given."""

from asyncio import Future, Task
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.core.members import Member
from fuchsiamoor.core.messages import Answered
from fuchsiamoor.core.requests import Answer, Request
from fuchsiamoor.core.tables import ShardTable
from fuchsiamoor.ownership.lease_holder import MayServe, NotOwner, Wait
from fuchsiamoor.routing.answer_cache import AnswerCache, make_answer_cache
from fuchsiamoor.routing.capacity import Capacity
from fuchsiamoor.routing.in_flight_runs import InFlightRuns, make_in_flight_runs
from fuchsiamoor.routing.parked_requests import ParkedRequests, make_parked_requests
from fuchsiamoor.routing.request_rates import RateCounter

REMEMBERED_MAX = 8_192
REMEMBERED_BYTES_MAX = 8 * 1024 * 1024
REQUEST_KEEP_MS = 30_000
IDEMPOTENCY_KEEP_MS = 600_000


class Upstream(Protocol):
    """The upstream beside this daemon."""

    async def run(
        self,
        request: Request,
        shard: int,
        epoch: int,
        lease_until_unix_ms: int,
        deadline_at_unix_ms: int,
        domain: str = "",
    ) -> Answer:
        """Run a request; raises nothing but `asyncio.CancelledError`.

        Parameters
        ----------
        request : Request
            Its ``deadline_ms`` is the time to wait until, monotonic.
        shard : int
            `in_flight_runs.NO_SHARD` for a request without a key.
        epoch : int
            0 for a request without a key.
        lease_until_unix_ms : int
            0 for a request without a key.
        deadline_at_unix_ms : int
            After which the upstream may not start it.
        """


class Metrics(Protocol):
    """Counters."""

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""


class IdempotencyName(NamedTuple):
    """An idempotency key as its owner knows it."""

    service: str
    tenant: str
    key: str
    idempotency_key: str


@dataclass(slots=True)
class Run:
    """A request that this daemon took, until it has ended.

    Parameters
    ----------
    request : Request
    domain : str
        Empty for a request without a key.
    key_hash : int
    attempt : int
    fingerprint : int
        Hash of what was asked.
    waiters : dict of Future to str
        Whom the ending goes to, with the request ids that they asked under.
    task : Task or None
    handed_over : bool
        Whether the upstream may have seen it.
    alone : bool
        Whether it runs in the task of its own caller.
    cancelled : bool
        Whether that caller has gone.
    """

    request: Request
    domain: str
    key_hash: int
    attempt: int
    fingerprint: int
    waiters: dict[Future[Answered], str] = field(default_factory=dict)
    task: Task[None] | None = None
    handed_over: bool = False
    alone: bool = False
    cancelled: bool = False


@dataclass(slots=True)
class Serving:
    """The serving side of one daemon; made by `serving.make_serving`.

    Parameters
    ----------
    capacity : Capacity or None
        None while no upstream has announced itself.
    incarnation : str
        Of the upstream.
    leaving : bool
    running : dict of str to Run
        By the request ids that run or wait for a run.
    running_by_key : dict of IdempotencyName to Run
    ended, ended_by_key : AnswerCache
        Endings by request id and by `IdempotencyName`.
    parking : ParkedRequests
        Requests that wait for the right to serve their shard.
    runs : InFlightRuns
    heat : dict of str to RateCounter
        By domain.
    pending_cancellations : set of Task
        Cancellations under way at the upstream.
    drain_waiters : list of Future
        Set when the last run of any shard has ended.
    """

    get_configuration: Callable[[], Configuration]
    get_table: Callable[[str], ShardTable | None]
    own_member: Callable[[], Member]
    check_serve: Callable[[str, int], MayServe | Wait | NotOwner]
    upstream: Upstream
    metrics: Metrics
    now_ms: Callable[[], int]
    unix_ms: Callable[[], int]
    cancel_run: Callable[[str], Awaitable[bool]]
    capacity: Capacity | None = None
    incarnation: str = ""
    leaving: bool = False
    running: dict[str, Run] = field(default_factory=dict)
    running_by_key: dict[IdempotencyName, Run] = field(default_factory=dict)
    ended: AnswerCache = field(
        default_factory=lambda: make_answer_cache(
            REMEMBERED_MAX, REMEMBERED_BYTES_MAX, REQUEST_KEEP_MS
        )
    )
    ended_by_key: AnswerCache = field(
        default_factory=lambda: make_answer_cache(
            REMEMBERED_MAX, REMEMBERED_BYTES_MAX, IDEMPOTENCY_KEEP_MS
        )
    )
    parking: ParkedRequests = field(default_factory=make_parked_requests)
    runs: InFlightRuns = field(default_factory=make_in_flight_runs)
    heat: dict[str, RateCounter] = field(default_factory=dict)
    pending_cancellations: set[Task[None]] = field(default_factory=set)
    drain_waiters: list[Future[None]] = field(default_factory=list)
