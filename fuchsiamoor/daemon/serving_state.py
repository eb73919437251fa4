"""State of a daemon's serving side, and the interfaces that it depends on."""

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

CACHED_ANSWERS_MAX = 8_192
CACHED_BYTES_MAX = 8 * 1024 * 1024
REQUEST_ANSWER_TTL_MS = 30_000
IDEMPOTENCY_ANSWER_TTL_MS = 600_000


class Upstream(Protocol):
    """The local upstream."""

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
            Its ``deadline_ms`` is the monotonic time until which to wait.
        shard : int
            `in_flight_runs.NO_SHARD` for a request without a key.
        epoch : int
            0 for a request without a key.
        lease_until_unix_ms : int
            0 for a request without a key.
        deadline_at_unix_ms : int
            Unix time after which the upstream must not start the request.
        """


class Metrics(Protocol):
    """Counters."""

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""


class IdempotencyId(NamedTuple):
    """An idempotency key within the service, tenant and key of its request."""

    service: str
    tenant: str
    key: str
    idempotency_key: str


@dataclass(slots=True)
class Run:
    """A request that this daemon accepted and that has not ended.

    Parameters
    ----------
    request : Request
    domain : str
        Empty for a request without a key.
    key_hash : int
    attempt : int
    fingerprint : int
        Hash of the request's content.
    waiters : dict of Future to str
        Futures that get the answer, each with the id of its request.
    task : Task or None
    sent_to_upstream : bool
        Whether the upstream may have received it.
    in_caller_task : bool
        Whether it runs in the task of its caller instead of its own.
    cancelled : bool
        Whether that caller has disconnected.
    """

    request: Request
    domain: str
    key_hash: int
    attempt: int
    fingerprint: int
    waiters: dict[Future[Answered], str] = field(default_factory=dict)
    task: Task[None] | None = None
    sent_to_upstream: bool = False
    in_caller_task: bool = False
    cancelled: bool = False


@dataclass(slots=True)
class Serving:
    """State of one daemon's serving side; made by `serving.make_serving`.

    Parameters
    ----------
    capacity : Capacity or None
        None while no upstream has announced itself.
    incarnation : str
        Incarnation of the upstream.
    leaving : bool
        Whether new requests without a key are refused.
    closed : bool
        Whether no new run may begin at this upstream.
    running : dict of str to Run
        By the ids of all requests that run or wait for a run.
    running_by_key : dict of IdempotencyId to Run
    answers, answers_by_idempotency_id : AnswerCache
        Cached answers by request id and by `IdempotencyId`.
    parking : ParkedRequests
        Requests that wait until this daemon may serve their shard.
    runs : InFlightRuns
        InFlightRuns in flight at the upstream, counted by key.
    rate_counters : dict of str to RateCounter
        Request rates by domain.
    pending_cancellations : set of Task
        Cancellations in progress at the upstream.
    drain_waiters : list of Future
        Futures that are set when the last run of any key or the last accepted request
        has ended.
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
    closed: bool = False
    running: dict[str, Run] = field(default_factory=dict)
    running_by_key: dict[IdempotencyId, Run] = field(default_factory=dict)
    answers: AnswerCache = field(
        default_factory=lambda: make_answer_cache(
            CACHED_ANSWERS_MAX, CACHED_BYTES_MAX, REQUEST_ANSWER_TTL_MS
        )
    )
    answers_by_idempotency_id: AnswerCache = field(
        default_factory=lambda: make_answer_cache(
            CACHED_ANSWERS_MAX, CACHED_BYTES_MAX, IDEMPOTENCY_ANSWER_TTL_MS
        )
    )
    parking: ParkedRequests = field(default_factory=make_parked_requests)
    runs: InFlightRuns = field(default_factory=make_in_flight_runs)
    rate_counters: dict[str, RateCounter] = field(default_factory=dict)
    pending_cancellations: set[Task[None]] = field(default_factory=set)
    drain_waiters: list[Future[None]] = field(default_factory=list)
