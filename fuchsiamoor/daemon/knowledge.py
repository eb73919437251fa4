"""What a daemon knows of the deployment: configuration, shard tables, directory.

Everything here carries a revision or a version, and only a higher one is adopted,
whether it comes from the store or from a peer. The functions are pure but for the
`Knowledge` that they change.
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
class Knowledge:
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


def make_knowledge() -> Knowledge:
    """Return the knowledge of a daemon that has just started."""
    return Knowledge(configurations.make_empty_configuration())


def adopt_configuration(knowledge: Knowledge, value: bytes) -> bool:
    """Adopt a stored configuration if its revision is higher.

    Raises
    ------
    InvalidDocumentError
        If the value cannot be read.
    """
    candidate = stored.decode_configuration(value)
    if candidate.revision <= knowledge.configuration.revision:
        return False
    knowledge.configuration = candidate
    knowledge.configuration_value = value
    knowledge.on_configuration()
    return True


def adopt_table(knowledge: Knowledge, value: bytes) -> bool:
    """Adopt a stored table if its revision is higher.

    Raises
    ------
    FrameError
        If the value cannot be read.
    """
    candidate = tables_codec.decode_table(value)
    known = knowledge.tables.get(candidate.domain)
    if known is not None and not shard_tables.is_newer(candidate, known):
        return False
    knowledge.tables[candidate.domain] = candidate
    knowledge.table_values[candidate.domain] = value
    knowledge.on_table(candidate.domain)
    return True


def adopt_members(
    knowledge: Knowledge, found: list[members.Member] | tuple[members.Member, ...]
) -> bool:
    """Take in registrations and return whether any is news."""
    news = [directories.add_member(knowledge.directory, member) for member in found]
    if not any(news):
        return False
    knowledge.on_directory()
    return True


def make_digest(knowledge: Knowledge) -> messages.Digest:
    """Return a summary of what this daemon knows."""
    return messages.Digest(
        configuration_revision=knowledge.configuration.revision,
        table_revisions={
            domain: table.revision for domain, table in knowledge.tables.items()
        },
        directory_version=directories.newest_version(knowledge.directory),
        directory_hash=directories.hash_directory(knowledge.directory),
    )


def reply_to_digest(
    knowledge: Knowledge, digest: messages.Digest
) -> messages.DigestReply:
    """Return what the sender of a digest lacks."""
    newer = select_newer(knowledge, digest)
    return messages.DigestReply(
        newer.configuration, newer.tables, newer.members, make_digest(knowledge)
    )


def select_newer(knowledge: Knowledge, digest: messages.Digest) -> messages.StatePush:
    """Return the state that is newer here than in a digest."""
    configuration = b""
    if knowledge.configuration.revision > digest.configuration_revision:
        configuration = knowledge.configuration_value
    newer_tables = {
        domain: knowledge.table_values[domain]
        for domain, table in knowledge.tables.items()
        if table.revision > digest.table_revisions.get(domain, 0)
    }
    encoded: tuple[bytes, ...] = ()
    if directories.hash_directory(knowledge.directory) != digest.directory_hash:
        encoded = tuple(
            codec.encode_member(member)
            for member in knowledge.directory.by_instance.values()
        )
    return messages.StatePush(configuration, newer_tables, encoded)


def is_empty(push: messages.StatePush) -> bool:
    """Return whether a push carries nothing."""
    return not (push.configuration or push.tables or push.members)


def take_state(
    knowledge: Knowledge, state: messages.StatePush | messages.DigestReply
) -> list[str]:
    """Adopt whatever is newer in a peer's state.

    Returns
    -------
    list of str
        What could not be read, one sentence each.
    """
    problems = []
    if state.configuration:
        problems += _try(adopt_configuration, knowledge, state.configuration)
    for value in state.tables.values():
        problems += _try(adopt_table, knowledge, value)
    found = []
    for value in state.members:
        try:
            found.append(codec.decode_member(value))
        except errors.FrameError as error:
            problems.append(str(error))
    adopt_members(knowledge, found)
    return problems


def _try(adopt, knowledge: Knowledge, value: bytes) -> list[str]:
    try:
        adopt(knowledge, value)
    except errors.FuchsiamoorError as error:
        return [str(error)]
    return []
