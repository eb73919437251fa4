"""Events that a coordinator handles, and actions that its driver carries out."""

from typing import NamedTuple

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import members as members_
from fuchsiamoor.core import messages, tables


class MembersChanged(NamedTuple):
    """The directory of registered members changed; carries all of them."""

    members: tuple[members_.Member, ...]


class ConfigurationChanged(NamedTuple):
    """Another configuration is in force."""

    configuration: configurations.Configuration


class RenewReceived(NamedTuple):
    """A member asked for a renewal of its lease, which shows that it is alive."""

    renew: messages.Renew


class StoreLeaseRenewed(NamedTuple):
    """The store granted or extended the coordinator's lease.

    Parameters
    ----------
    sent_ms : int
        Time of the request to the store, on the coordinator's clock, in milliseconds.
    """

    sent_ms: int


class StoreLeaseLost(NamedTuple):
    """The store reported that the coordinator's lease has expired."""


class TableWritten(NamedTuple):
    """The store confirmed the table in flight, in its answer or by a read-back."""

    revision: int
    version: int


class TableConflict(NamedTuple):
    """The store holds a table other than the one in flight.

    Parameters
    ----------
    version : int
        The store's version of its table.
    table : ShardTable or None
    """

    version: int
    table: tables.ShardTable | None


class TableNotWritten(NamedTuple):
    """The store rejected the write of the table in flight; it had no effect."""

    revision: int


class TableOutcomeUnknown(NamedTuple):
    """The store's answer was lost; the driver reads back and reports the outcome."""

    revision: int


class TableAckReceived(NamedTuple):
    """A member has adopted this revision or a newer one."""

    member_id: str
    revision: int


class ReleasedReceived(NamedTuple):
    """An owner has released shards for a planned move."""

    member_id: str
    released: messages.Released


class ReleaseFailed(NamedTuple):
    """An owner refused to release shards, or did not answer in time."""

    member_id: str
    move_id: int


class Tick(NamedTuple):
    """Periodic timer event."""


Event = (
    MembersChanged
    | ConfigurationChanged
    | RenewReceived
    | StoreLeaseRenewed
    | StoreLeaseLost
    | TableWritten
    | TableConflict
    | TableNotWritten
    | TableOutcomeUnknown
    | TableAckReceived
    | ReleasedReceived
    | ReleaseFailed
    | Tick
)


class WriteTable(NamedTuple):
    """Compare-and-swap the table into the store.

    It applies only if the store still holds ``expected_version``.
    """

    table: tables.ShardTable
    expected_version: int


class PushTable(NamedTuple):
    """Send a confirmed table to members, in the given order."""

    table: tables.ShardTable
    member_ids: tuple[str, ...]


class AskRelease(NamedTuple):
    """Send a `Prepare` and report the answer, or a failure after ``timeout_ms``."""

    member_id: str
    prepare: messages.Prepare
    timeout_ms: int


class SendAbort(NamedTuple):
    """Tell an owner that a move was aborted and that it keeps the shards."""

    member_id: str
    abort: messages.AbortMove


class Resign(NamedTuple):
    """Resign as coordinator and revoke the store lease.

    Parameters
    ----------
    reason : str
    pauses_candidacy : bool
        Whether this daemon leaves the role to others for a while, as it would have to
        resign again.
    """

    reason: str
    pauses_candidacy: bool


Action = WriteTable | PushTable | AskRelease | SendAbort | Resign
