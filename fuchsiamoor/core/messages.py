"""Messages between daemons, one `NamedTuple` each.

On the wire a message is a CBOR array: the number of its kind, then its fields in
order. `fuchsiamoor.peers.codec` encodes and decodes messages by the table `KINDS`.
"""

from typing import NamedTuple

from fuchsiamoor.core.carried import CarriedAnswer, CarriedRequest, Load
from fuchsiamoor.core.requests import Answer, Request


class Forward(NamedTuple):
    """A request forwarded to the daemon that shall serve it.

    Parameters
    ----------
    request : Request
        With ``deadline_ms`` replaced by the remaining time, in milliseconds.
    domain : str
        Empty for a request without a key.
    table_revision : int
        Table revision by which the sender chose the receiver.
    attempt : int
        1 for the first attempt.
    hops : int
        Number of peer links passed, including this one.
    configuration_revision : int
        Revision in force at the sender.
    """

    request: Request
    domain: str
    table_revision: int
    attempt: int
    hops: int
    configuration_revision: int


class Answered(NamedTuple):
    """The result of a forwarded request.

    Parameters
    ----------
    answer : Answer
    owner_hint : str
        Owner by the answering daemon's table, if that is another member.
    table_revision : int
        Table revision by which it refused, 0 if it did not refuse.
    """

    answer: Answer
    owner_hint: str
    table_revision: int


class Cancel(NamedTuple):
    """The caller of a forwarded request has disconnected."""

    request_id: str


class MemberLoad(NamedTuple):
    """Load of a member, reported with each lease renewal.

    Parameters
    ----------
    upstream_ready : bool
        Whether the upstream beside it has announced itself and accepts requests.
    leaving : bool
        Whether it is leaving and hands over all its shards.
    in_flight : int
    limit : int
        Current concurrency limit, including the ramp.
    latency_us : int
        Moving average of the upstream's latency, as measured by the daemon.
    shard_rates : dict of int to int
        Requests per second of the busiest shards.
    hot_keys : dict of int to int
        Requests per second of the busiest key hashes.
    """

    upstream_ready: bool
    leaving: bool
    in_flight: int
    limit: int
    latency_us: int
    shard_rates: dict[int, int]
    hot_keys: dict[int, int]


class Renew(NamedTuple):
    """Asks the coordinator to renew the serving lease; also serves as a heartbeat.

    Parameters
    ----------
    domain : str
    member_id : str
    revision : int
        Table revision by which the member owns its shards.
    configuration_revision : int
    load : MemberLoad
    """

    domain: str
    member_id: str
    revision: int
    configuration_revision: int
    load: MemberLoad


class Renewed(NamedTuple):
    """Grants a lease that starts when the requester sent `Renew`."""

    domain: str
    term: int
    revision: int
    configuration_revision: int


class RenewRefused(NamedTuple):
    """Refuses a lease.

    Parameters
    ----------
    domain : str
    coordinator : str
        Current coordinator as known here, empty if unknown.
    revision : int
        Newest table revision that the refusing member has.
    """

    domain: str
    coordinator: str
    revision: int


class Vouch(NamedTuple):
    """Asks a voter whether a newer table takes shards from the requester."""

    domain: str
    member_id: str
    revision: int
    voters_revision: int


class Vouched(NamedTuple):
    """Vouches that the voter has no newer table that takes shards from the requester.

    The vouch counts from when the requester sent `Vouch`.
    """

    domain: str
    revision: int


class VouchRefused(NamedTuple):
    """Refuses to vouch.

    The voter has a newer table that takes shards from the requester, or may not vouch.
    """

    domain: str
    revision: int


class TablePush(NamedTuple):
    """Sends a table revision that the store has confirmed."""

    domain: str
    revision: int
    table: bytes


class TableAcked(NamedTuple):
    """Acknowledges that the receiver has this revision or a newer one."""

    domain: str
    revision: int


class FetchTable(NamedTuple):
    """Asks for the newest table that the receiver has."""

    domain: str


class Prepare(NamedTuple):
    """Asks an owner to drain and release shards for a planned move.

    Answered with `Released` once no request of theirs runs, or with `ReleaseRefused`.
    """

    domain: str
    term: int
    move_id: int
    shards: tuple[int, ...]


class Released(NamedTuple):
    """The owner no longer serves these shards in this term."""

    domain: str
    term: int
    move_id: int
    shards: tuple[int, ...]


class ReleaseRefused(NamedTuple):
    """The owner keeps the shards."""

    domain: str
    move_id: int


class AbortMove(NamedTuple):
    """Aborts a move before the coordinator writes it; the owner may keep serving."""

    domain: str
    term: int
    move_id: int


class Digest(NamedTuple):
    """Revisions of the sender's state, to find out which side has newer state.

    Parameters
    ----------
    configuration_revision : int
    table_revisions : dict of str to int
        Table revision by domain.
    directory_version : int
        Highest version of any registration.
    directory_hash : int
        Hash of all registrations.
    """

    configuration_revision: int
    table_revisions: dict[str, int]
    directory_version: int
    directory_hash: int


class DigestReply(NamedTuple):
    """Newer state of the receiver of a digest, and its own digest.

    Parameters
    ----------
    configuration : bytes
        Stored configuration, empty if not newer.
    tables : dict of str to bytes
        Newer tables by domain.
    members : tuple of bytes
        Encoded members, if the directories differ.
    digest : Digest
        The receiver's own, so that the sender can push what is newer there.
    """

    configuration: bytes
    tables: dict[str, bytes]
    members: tuple[bytes, ...]
    digest: Digest


class StatePush(NamedTuple):
    """State that is newer at the sender, sent after a `DigestReply`."""

    configuration: bytes
    tables: dict[str, bytes]
    members: tuple[bytes, ...]


class Ping(NamedTuple):
    """Checks whether the receiver is reachable; answered with `Done`."""


class Done(NamedTuple):
    """Acknowledges a message that has no answer of its own."""


class StoreCall(NamedTuple):
    """Asks a peer to call the store, since the store refuses the sender.

    Parameters
    ----------
    name : str
        Name of the store port's function.
    arguments : bytes
        Arguments in CBOR.
    """

    name: str
    arguments: bytes


class StoreAnswer(NamedTuple):
    """The result of a `StoreCall`.

    Parameters
    ----------
    outcome : str
        ``done``, ``dated``, ``refused``, ``unknown`` or ``forgotten``.
    content : bytes
        The answer or the error message, in CBOR; after ``dated`` the store's era and
        the answer.
    """

    outcome: str
    content: bytes


class AskUtilization(NamedTuple):
    """Asks for the utilization of the upstream beside the receiver."""


class Utilization(NamedTuple):
    """Demand on one owner of keys.

    Parameters
    ----------
    owner : str
        Empty while the upstream is unknown.
    asked_percent : int
        Demand as a percentage of what its slots can serve; over 100 is an overload.
    slots : int
    work_percent : int
        Average duration of runs there, as a percentage of the usual one.
    takes_keys : bool
        Whether it accepts requests and is warm.
    report_in_ms : int
        Time until its next heartbeat, with which keys can be granted to it.
    """

    owner: str
    asked_percent: int
    slots: int
    work_percent: int
    takes_keys: bool
    report_in_ms: int


class AskLoad(NamedTuple):
    """Asks for the load of the upstream beside the receiver."""


class LoadReport(NamedTuple):
    """The load of the upstream beside the sender."""

    load: Load


class AskTransfer(NamedTuple):
    """Asks whether the body of a request may be sent.

    Parameters
    ----------
    request : CarriedRequest
        The request, without its body.
    body_bytes : int
    """

    request: CarriedRequest
    body_bytes: int


class TransferGranted(NamedTuple):
    """The body may be sent now; a request that is refused gets a `CarriedAnswer`."""


class BodyPart(NamedTuple):
    """A part of a body that was granted; the request follows after the last one.

    Parameters
    ----------
    request_id : str
    offset_bytes : int
    content : bytes
    """

    request_id: str
    offset_bytes: int
    content: bytes


class KeepLeave(NamedTuple):
    """Asks to keep an upstream's leave until the store holds it.

    Answered with `LeaveKept`, or with `Done` if the receiver is about to exit.

    Parameters
    ----------
    owner : str
        Incarnation that leaves, as an owner of keys.
    """

    owner: str


class LeaveKept(NamedTuple):
    """The leave is kept and will be written to the store."""


class AskQuota(NamedTuple):
    """Asks an allocator for one credit of an organisation.

    Parameters
    ----------
    organisation : str
    returned : tuple of int
        Stamps of credits of this allocator whose requests have not run.
    """

    organisation: str
    returned: tuple[int, ...]


class QuotaGiven(NamedTuple):
    """One credit.

    Parameters
    ----------
    stamp_ms : int
        Time of the allocator.
    """

    stamp_ms: int


class QuotaExhausted(NamedTuple):
    """There is no credit now.

    Parameters
    ----------
    retry_after_ms : int
        Time after which there may be some for the asker.
    """

    retry_after_ms: int


Message = (
    Forward
    | Answered
    | Cancel
    | Renew
    | Renewed
    | RenewRefused
    | Vouch
    | Vouched
    | VouchRefused
    | TablePush
    | TableAcked
    | FetchTable
    | Prepare
    | Released
    | ReleaseRefused
    | AbortMove
    | Digest
    | DigestReply
    | StatePush
    | Done
    | Ping
    | CarriedRequest
    | CarriedAnswer
    | StoreCall
    | StoreAnswer
    | AskUtilization
    | Utilization
    | AskLoad
    | LoadReport
    | AskTransfer
    | TransferGranted
    | BodyPart
    | KeepLeave
    | LeaveKept
    | AskQuota
    | QuotaGiven
    | QuotaExhausted
)

KINDS: dict[int, type] = {
    2: Forward,
    3: Answered,
    4: Cancel,
    5: Renew,
    6: Renewed,
    7: RenewRefused,
    8: Vouch,
    9: Vouched,
    10: VouchRefused,
    11: TablePush,
    12: TableAcked,
    13: FetchTable,
    14: Prepare,
    15: Released,
    16: ReleaseRefused,
    17: AbortMove,
    18: Digest,
    19: DigestReply,
    20: StatePush,
    21: Done,
    22: Ping,
    23: CarriedRequest,
    24: CarriedAnswer,
    25: StoreCall,
    26: StoreAnswer,
    27: AskUtilization,
    28: Utilization,
    29: AskLoad,
    30: LoadReport,
    31: AskTransfer,
    32: TransferGranted,
    33: BodyPart,
    34: KeepLeave,
    35: LeaveKept,
    50: AskQuota,
    51: QuotaGiven,
    52: QuotaExhausted,
}
