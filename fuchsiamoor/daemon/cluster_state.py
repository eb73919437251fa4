"""A daemon's copy of the cluster state: configuration, shard tables and directory.

The configuration and each table have a revision, and a registration has the version at
which the store holds it. A newer item replaces the current one, whether it comes from
the store or from a peer; an older one is ignored. Apart from changing the given
`ClusterState` and calling its callbacks, the functions have no side effects.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import errors, members, messages
from fuchsiamoor.core import tables as shard_tables
from fuchsiamoor.documents import stored
from fuchsiamoor.membership import directory as directories
from fuchsiamoor.ownership import tables_codec
from fuchsiamoor.peers import codec


@dataclass(slots=True)
class ClusterState:
    """Cluster state that daemons replicate to each other by gossip.

    Parameters
    ----------
    configuration : Configuration
    configuration_value : bytes
        Encoded as in the store; empty until the first configuration is adopted.
    tables : dict of str to ShardTable
        By domain.
    table_values : dict of str to bytes
        Encoded as in the store, by domain.
    directory : Directory
    on_configuration, on_table, on_directory : callable
        Called after a change; `on_table` with the domain.
    """

    configuration: configurations.Configuration
    configuration_value: bytes = b""
    tables: dict[str, shard_tables.ShardTable] = field(default_factory=dict)
    table_values: dict[str, bytes] = field(default_factory=dict)
    directory: directories.Directory = field(default_factory=directories.make_directory)
    on_configuration: Callable[[], None] = lambda: None
    on_table: Callable[[str], None] = lambda domain: None
    on_directory: Callable[[], None] = lambda: None


def make_cluster_state() -> ClusterState:
    """Return the empty state of a daemon that has just started."""
    return ClusterState(configurations.make_empty_configuration())


def adopt_configuration(cluster_state: ClusterState, value: bytes) -> bool:
    """Adopt a stored configuration if its revision is higher.

    Raises
    ------
    InvalidDocumentError
        If the value cannot be read.
    """
    candidate = stored.decode_configuration(value)
    if candidate.revision <= cluster_state.configuration.revision:
        return False
    cluster_state.configuration = candidate
    cluster_state.configuration_value = value
    cluster_state.on_configuration()
    return True


def adopt_table(cluster_state: ClusterState, value: bytes) -> bool:
    """Adopt a stored table if its domain has none yet or its revision is higher.

    Raises
    ------
    FrameError
        If the value cannot be read.
    """
    candidate = tables_codec.decode_table(value)
    current = cluster_state.tables.get(candidate.domain)
    if current is not None and not shard_tables.is_newer(candidate, current):
        return False
    cluster_state.tables[candidate.domain] = candidate
    cluster_state.table_values[candidate.domain] = value
    cluster_state.on_table(candidate.domain)
    return True


def adopt_members(
    cluster_state: ClusterState,
    registrations: list[members.Member] | tuple[members.Member, ...],
) -> bool:
    """Add registrations to the directory and return whether any changed it."""
    changes = [
        directories.add_member(cluster_state.directory, member)
        for member in registrations
    ]
    if not any(changes):
        return False
    cluster_state.on_directory()
    return True


def make_digest(cluster_state: ClusterState) -> messages.Digest:
    """Return the revisions and the directory hash, for comparison by a peer."""
    return messages.Digest(
        configuration_revision=cluster_state.configuration.revision,
        table_revisions={
            domain: table.revision for domain, table in cluster_state.tables.items()
        },
        directory_version=directories.find_newest_version(cluster_state.directory),
        directory_hash=directories.hash_directory(cluster_state.directory),
    )


def reply_to_digest(
    cluster_state: ClusterState, digest: messages.Digest
) -> messages.DigestReply:
    """Return the state that the sender of a digest lacks, and this daemon's digest."""
    newer = select_newer(cluster_state, digest)
    return messages.DigestReply(
        newer.configuration, newer.tables, newer.members, make_digest(cluster_state)
    )


def select_newer(
    cluster_state: ClusterState, digest: messages.Digest
) -> messages.StatePush:
    """Return the state that is newer than that of a digest.

    All members are included if the directory hashes differ.
    """
    configuration = b""
    if cluster_state.configuration.revision > digest.configuration_revision:
        configuration = cluster_state.configuration_value
    newer_tables = {
        domain: cluster_state.table_values[domain]
        for domain, table in cluster_state.tables.items()
        if table.revision > digest.table_revisions.get(domain, 0)
    }
    encoded_members: tuple[bytes, ...] = ()
    if directories.hash_directory(cluster_state.directory) != digest.directory_hash:
        encoded_members = tuple(
            codec.encode_member(member)
            for member in cluster_state.directory.by_instance.values()
        )
    return messages.StatePush(configuration, newer_tables, encoded_members)


def is_empty(push: messages.StatePush) -> bool:
    """Return whether a push contains no state."""
    return not (push.configuration or push.tables or push.members)


def adopt_state(
    cluster_state: ClusterState, state: messages.StatePush | messages.DigestReply
) -> list[str]:
    """Adopt the parts of a peer's state that are newer.

    Returns
    -------
    list of str
        Decoding errors, one for each part that could not be read.
    """
    problems = []
    if state.configuration:
        problems += adopt_or_report(
            adopt_configuration, cluster_state, state.configuration
        )
    for value in state.tables.values():
        problems += adopt_or_report(adopt_table, cluster_state, value)
    registrations = []
    for value in state.members:
        try:
            registrations.append(codec.decode_member(value))
        except errors.FrameError as error:
            problems.append(str(error))
    adopt_members(cluster_state, registrations)
    return problems


def adopt_or_report(
    adopt: Callable[[ClusterState, bytes], bool],
    cluster_state: ClusterState,
    value: bytes,
) -> list[str]:
    """Adopt a stored value; return the error if it cannot be, as others may hold."""
    try:
        adopt(cluster_state, value)
    except errors.FuchsiamoorError as error:
        return [str(error)]
    return []
