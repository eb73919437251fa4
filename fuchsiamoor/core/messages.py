"""Messages between daemons, one `NamedTuple` each.

On the wire a message is a CBOR array: the number of its kind, then its fields in
order. `fuchsiamoor.peers.codec` does the translation, from the table `KINDS`.
"""

from typing import NamedTuple

from fuchsiamoor.core.carried import CarriedAnswer, CarriedRequest
from fuchsiamoor.core.requests import Answer, Request


class Forward(NamedTuple):
    """A request on its way to the owner of its key.

    Parameters
    ----------
    request : Request
        With ``deadline_ms`` replaced by the time that remains, in milliseconds.
    domain : str
        Empty for a request without a key.
    table_revision : int
        Revision by which the sender chose the receiver.
    attempt : int
        1 for the first sending.
    hops : int
        Peer links passed so far, this one included.
    configuration_revision : int
        In force at the sender.
    """

    request: Request
    domain: str
    table_revision: int
    attempt: int
    hops: int
    configuration_revision: int


class Answered(NamedTuple):
    """The ending of a forwarded request.

    Parameters
    ----------
    answer : Answer
    owner_hint : str
        Member that the answering daemon takes for the owner, when it is not itself.
    table_revision : int
        Revision by which it refused, 0 if it did not.
    """

    answer: Answer
    owner_hint: str
    table_revision: int


class Cancel(NamedTuple):
    """The caller of a forwarded request has gone."""

    request_id: str


class MemberLoad(NamedTuple):
    """What a member tells with each renewal.

    Parameters
    ----------
    upstream_ready : bool
        Whether the upstream beside it has announced itself and may be given work.
    leaving : bool
        Whether it wants to hand everything over.
    in_flight : int
    limit : int
        Concurrency in force, ramp included.
    latency_us : int
        Moving average of the upstream's answers as the daemon measured it.
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
    """Asks the coordinator for another serving lease, and shows a sign of life.

    Parameters
    ----------
    domain : str
    member_id : str
    revision : int
        Table revision under which the member owns.
    configuration_revision : int
    load : MemberLoad
    """

    domain: str
    member_id: str
    revision: int
    configuration_revision: int
    load: MemberLoad


class Renewed(NamedTuple):
    """Grants a lease that runs from the asker's own sending of `Renew`."""

    domain: str
    term: int
    revision: int
    configuration_revision: int


class RenewRefused(NamedTuple):
    """No lease.

    Parameters
    ----------
    domain : str
    coordinator : str
        Member taken for the coordinator, empty if none is known.
    revision : int
        Newest table revision known to the refusing member.
    """

    domain: str
    coordinator: str
    revision: int


class Vouch(NamedTuple):
    """Asks a voter whether it knows of a revision that takes from the asker."""

    domain: str
    member_id: str
    revision: int
    voters_revision: int


class Vouched(NamedTuple):
    """The voter knows of none; counts from the asker's own sending of `Vouch`."""

    domain: str
    revision: int


class VouchRefused(NamedTuple):
    """The voter knows of one, or may not vouch."""

    domain: str
    revision: int


class TablePush(NamedTuple):
    """A table revision, as the store confirmed it."""

    domain: str
    revision: int
    table: bytes


class TableAcked(NamedTuple):
    """The receiver now knows this revision or a newer one."""

    domain: str
    revision: int


class FetchTable(NamedTuple):
    """Asks for the newest table known."""

    domain: str


class Prepare(NamedTuple):
    """Asks an owner to finish its work on shards and give them up, for a planned move.

    Answered with `Released` once nothing of them runs, or `ReleaseRefused`.
    """

    domain: str
    term: int
    move_id: int
    shards: tuple[int, ...]


class Released(NamedTuple):
    """The owner serves these shards no more under this term."""

    domain: str
    term: int
    move_id: int
    shards: tuple[int, ...]


class ReleaseRefused(NamedTuple):
    """The owner keeps the shards."""

    domain: str
    move_id: int


class AbortMove(NamedTuple):
    """The coordinator gave the move up before writing it: the owner may serve on."""

    domain: str
    term: int
    move_id: int


class Digest(NamedTuple):
    """What the sender knows, for the exchange of newer state.

    Parameters
    ----------
    configuration_revision : int
    table_revisions : dict of str to int
        Per domain.
    directory_version : int
        Highest registration version known.
    directory_hash : int
        Hash of all registrations known.
    """

    configuration_revision: int
    table_revisions: dict[str, int]
    directory_version: int
    directory_hash: int


class DigestReply(NamedTuple):
    """What the receiver of a digest knows better, and what it wants.

    Parameters
    ----------
    configuration : bytes
        Stored configuration, empty if not newer.
    tables : dict of str to bytes
        Newer tables.
    members : tuple of bytes
        Encoded members, when the directories differ.
    digest : Digest
        The receiver's own, so that the sender can push back.
    """

    configuration: bytes
    tables: dict[str, bytes]
    members: tuple[bytes, ...]
    digest: Digest


class StatePush(NamedTuple):
    """State that the sender holds newer, sent after a `DigestReply`."""

    configuration: bytes
    tables: dict[str, bytes]
    members: tuple[bytes, ...]


class Ping(NamedTuple):
    """Asks whether the receiver can be called; answered with `Done`."""


class Done(NamedTuple):
    """Acknowledges a message that has no answer of its own."""


class StoreCall(NamedTuple):
    """Asks a peer to call the store, which turns the sender away.

    Parameters
    ----------
    name : str
        Of the store port's function.
    arguments : bytes
        In CBOR.
    """

    name: str
    arguments: bytes


class StoreAnswer(NamedTuple):
    """What came of a `StoreCall`.

    Parameters
    ----------
    outcome : str
        ``done``, ``refused``, ``unknown`` or ``forgotten``.
    content : bytes
        The answer or the error's text, in CBOR.
    """

    outcome: str
    content: bytes


class AskUtilization(NamedTuple):
    """Asks what the upstream beside the receiver is asked for."""


class Utilization(NamedTuple):
    """What one owner of keys is asked for.

    Parameters
    ----------
    owner : str
        Empty while the upstream is unknown.
    asked_percent : int
        Work asked for, as a share of what its slots can do; over 100 is too much.
    slots : int
    work_percent : int
        How long work takes there, on average; 100 is usual.
    takes_keys : bool
        Whether it is open and warm.
    report_in_ms : int
        When its next heartbeat is due, with which it can be granted keys.
    """

    owner: str
    asked_percent: int
    slots: int
    work_percent: int
    takes_keys: bool
    report_in_ms: int


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
}
