"""What is known of one caller's request while it is served."""

from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core.carried import CarriedAnswer
from fuchsiamoor.core.verdicts import MayHaveRun


class Deadlines(NamedTuple):
    """Until when a request is worth anything.

    Parameters
    ----------
    arrived_ms : int
    answer_by_ms : int
        The caller has an answer by then, whatever it is.
    in_time_by_ms : int
        An answer is in time up to then.
    """

    arrived_ms: int
    answer_by_ms: int
    in_time_by_ms: int


@dataclass(slots=True)
class Attempts:
    """What has been tried for one request.

    Parameters
    ----------
    arrivals : int
        Upstreams that were sent it.
    tried : set of str
        Instances.
    may_have_run : MayHaveRun or None
    last : CarriedAnswer or None
    retry_after_ms : int
        Shortest time after which an instance expects room.
    ownerless_ms : int
        Time spent without anybody to send it to.
    target : str
        Instance that was sent it last.
    is_sent_on : bool
        Whether an instance has it now.
    """

    arrivals: int = 0
    tried: set[str] = field(default_factory=set)
    may_have_run: MayHaveRun | None = None
    last: CarriedAnswer | None = None
    refusals: int = 0
    retry_after_ms: int = 0
    ownerless_ms: int = 0
    target: str = ""
    is_sent_on: bool = False
