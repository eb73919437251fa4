"""What a coordinator is told, and what it asks its shell to do."""

from typing import NamedTuple

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import members as members_
from fuchsiamoor.core import messages, tables


class MembersChanged(NamedTuple):
    """The directory of registered members, whole."""

    members: tuple[members_.Member, ...]


class ConfigurationChanged(NamedTuple):
    """The configuration in force."""

    configuration: configurations.Configuration


class RenewReceived(NamedTuple):
    """A member showed a sign of life."""

    renew: messages.Renew


class StoreLeaseRenewed(NamedTuple):
    """The store granted or extended the coordinator's lease.

    Parameters
    ----------
    sent_ms : int
        When the store was asked, on the coordinator's clock, in milliseconds.
    """

    sent_ms: int


class StoreLeaseLost(NamedTuple):
    """The store said that the coordinator's lease has lapsed."""


class TableWritten(NamedTuple):
    """The store confirmed the table in flight, at once or when read back."""

    revision: int
    version: int


class TableConflict(NamedTuple):
    """The store holds another table than the one in flight.

    Parameters
    ----------
    version : int
        The store's version of it.
    table : ShardTable or None
    """

    version: int
    table: tables.ShardTable | None


class TableNotWritten(NamedTuple):
    """The store refused the table in flight, certainly without effect."""

    revision: int


class TableOutcomeUnknown(NamedTuple):
    """The store's answer was lost; the shell reads back and tells the outcome."""

    revision: int


class TableAckReceived(NamedTuple):
    """A member knows this revision, or a newer one."""

    member_id: str
    revision: int


class ReleasedReceived(NamedTuple):
    """An owner has given shards up."""

    member_id: str
    released: messages.Released


class ReleaseFailed(NamedTuple):
    """An owner refused to give shards up, or did not answer in time."""

    member_id: str
    move_id: int


class Tick(NamedTuple):
    """Time has passed."""


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
    """Swap the table in, if the store still holds ``expected_version``."""

    table: tables.ShardTable
    expected_version: int


class PushTable(NamedTuple):
    """Send a confirmed table to members, in this order."""

    table: tables.ShardTable
    member_ids: tuple[str, ...]


class AskRelease(NamedTuple):
    """Send a `Prepare` and report its answer, or a failure after ``timeout_ms``."""

    member_id: str
    prepare: messages.Prepare
    timeout_ms: int


class SendAbort(NamedTuple):
    """Tell an owner that its shards stay with it."""

    member_id: str
    abort: messages.AbortMove


class Resign(NamedTuple):
    """Give the role up: revoke the store lease and campaign no more for a while."""

    reason: str


Action = WriteTable | PushTable | AskRelease | SendAbort | Resign
