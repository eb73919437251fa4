"""What a daemon knows of the deployment: configuration, shard tables, directory.

Everything here carries a revision or a version, and only a higher one is adopted,
whether it comes from the store or from a peer. The functions are pure but for the
`ClusterState` that they change.
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
    """State that is exchanged between daemons.

    Parameters
    ----------
    configuration : Configuration
    configuration_value : bytes
        As stored, empty before the first.
    tables : dict of str to ShardTable
        By domain.
    table_values : dict of str to bytes
    directory : Directory
    on_configuration, on_table, on_directory : callable
        Told after a change; `on_table` with the domain.
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
    """Return the cluster_state of a daemon that has just started."""
    return ClusterState(configurations.make_empty_configuration())


def adopt_configuration(cluster_state: ClusterState, value: bytes) -> bool:
    """Adopt a stored configuration if its revision is higher.

    Raises
    ------
    InvalidDocumentError
        If the value cannot be read.
    """
    candidate = stored.decode_stored(value)
    if candidate.revision <= cluster_state.configuration.revision:
        return False
    cluster_state.configuration = candidate
    cluster_state.configuration_value = value
    cluster_state.on_configuration()
    return True


def adopt_table(cluster_state: ClusterState, value: bytes) -> bool:
    """Adopt a stored table if its revision is higher.

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
    """Take in registrations and return whether any is changes."""
    changes = [
        directories.add_member(cluster_state.directory, member)
        for member in registrations
    ]
    if not any(changes):
        return False
    cluster_state.on_directory()
    return True


def make_digest(cluster_state: ClusterState) -> messages.Digest:
    """Return a summary of what this daemon knows."""
    return messages.Digest(
        configuration_revision=cluster_state.configuration.revision,
        table_revisions={
            domain: table.revision for domain, table in cluster_state.tables.items()
        },
        directory_version=directories.newest_version(cluster_state.directory),
        directory_hash=directories.hash_directory(cluster_state.directory),
    )


def reply_to_digest(
    cluster_state: ClusterState, digest: messages.Digest
) -> messages.DigestReply:
    """Return what the sender of a digest lacks."""
    newer = select_newer(cluster_state, digest)
    return messages.DigestReply(
        newer.configuration, newer.tables, newer.members, make_digest(cluster_state)
    )


def select_newer(
    cluster_state: ClusterState, digest: messages.Digest
) -> messages.StatePush:
    """Return the state that is newer here than in a digest."""
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
    """Return whether a push carries nothing."""
    return not (push.configuration or push.tables or push.members)


def adopt_state(
    cluster_state: ClusterState, state: messages.StatePush | messages.DigestReply
) -> list[str]:
    """Adopt whatever is newer in a peer's state.

    Returns
    -------
    list of str
        What could not be read, one sentence each.
    """
    problems = []
    if state.configuration:
        problems += _adopt_or_report(
            adopt_configuration, cluster_state, state.configuration
        )
    for value in state.tables.values():
        problems += _adopt_or_report(adopt_table, cluster_state, value)
    registrations = []
    for value in state.members:
        try:
            registrations.append(codec.decode_member(value))
        except errors.FrameError as error:
            problems.append(str(error))
    adopt_members(cluster_state, registrations)
    return problems


def _adopt_or_report(adopt, cluster_state: ClusterState, value: bytes) -> list[str]:
    try:
        adopt(cluster_state, value)
    except errors.FuchsiamoorError as error:
        return [str(error)]
    return []
