"""The next revision of a shard table, while a coordinator composes it."""

from dataclasses import dataclass

from fuchsiamoor.core import tables


@dataclass(slots=True)
class Draft:
    """A table under change; `finish_draft` gives the revision to write."""

    base: tables.ShardTable
    revision: int
    term: int
    coordinator: str
    owners: list[str]
    epochs: list[int]
    pending: dict[int, tables.PendingShard]
    lost: dict[str, int]
    voters: tuple[tables.Voter, ...]
    previous_voters: tuple[tables.Voter, ...]
    voters_revision: int
    isolated: dict[int, int]


def make_draft(base: tables.ShardTable, coordinator: str) -> Draft:
    """Start the revision after ``base``."""
    return Draft(
        base=base,
        revision=base.revision + 1,
        term=base.term,
        coordinator=coordinator,
        owners=list(base.owners),
        epochs=list(base.epochs),
        pending=dict(base.pending),
        lost=dict(base.lost),
        voters=base.voters,
        previous_voters=base.previous_voters,
        voters_revision=base.voters_revision,
        isolated=dict(base.isolated),
    )


def raise_term(draft: Draft) -> None:
    """Start a new term, which ends every planned move not yet written."""
    draft.term = draft.base.term + 1


def assign_shard(draft: Draft, shard: int, owner: str) -> None:
    """Give a shard that nobody can serve to an owner, or to nobody."""
    draft.owners[shard] = owner
    draft.epochs[shard] = draft.revision


def reassign_unreleased_shard(draft: Draft, shard: int, owner: str) -> None:
    """Take a shard from an owner that has not released it.

    A shard that is pending already stays so on account of its first previous owner,
    as its later ones have never served it.
    """
    previous = draft.owners[shard]
    draft.lost[previous] = draft.revision
    if shard not in draft.pending:
        draft.pending[shard] = tables.PendingShard(previous, draft.revision)
    assign_shard(draft, shard, owner)


def clear_pending(draft: Draft, shard: int) -> None:
    """Let the new owner serve a shard."""
    del draft.pending[shard]


def begin_voter_change(draft: Draft, voters: tuple[tables.Voter, ...]) -> None:
    """Replace the voters; the ones of the last settled change still count.

    While a change is under way its new voters may be replaced, never the previous ones.
    """
    if not draft.previous_voters:
        draft.previous_voters = draft.voters
    draft.voters = voters
    draft.voters_revision = draft.revision


def finish_voter_change(draft: Draft) -> None:
    """End a change of voters, and forget losses that the change itself covers.

    Voters refuse every asker that knows older voters, lost or not.
    """
    draft.previous_voters = ()
    draft.lost = {
        member_id: revision
        for member_id, revision in draft.lost.items()
        if revision >= draft.voters_revision
    }


def isolate_key(draft: Draft, key_hash: int) -> int:
    """Give a key a shard of its own, with its present owner; return the shard."""
    owner = draft.owners[key_hash % draft.base.shard_count]
    used = set(draft.isolated.values())
    shard = draft.base.shard_count
    while shard in used:
        shard += 1
    if shard == len(draft.owners):
        draft.owners.append(tables.NO_OWNER)
        draft.epochs.append(0)
    draft.isolated[key_hash] = shard
    assign_shard(draft, shard, owner)
    return shard


def merge_key(draft: Draft, key_hash: int) -> None:
    """Put an isolated key back into its hashed shard, which has the same owner.

    The hashed shard's epoch rises with it, so that the key's fencing token never falls.
    """
    shard = draft.isolated.pop(key_hash)
    assign_shard(draft, shard, tables.NO_OWNER)
    hashed = key_hash % draft.base.shard_count
    assign_shard(draft, hashed, draft.owners[hashed])


def finish_draft(draft: Draft) -> tables.ShardTable:
    """Return the table to write."""
    return tables.ShardTable(
        domain=draft.base.domain,
        term=draft.term,
        coordinator=draft.coordinator,
        revision=draft.revision,
        shard_count=draft.base.shard_count,
        owners=tuple(draft.owners),
        epochs=tuple(draft.epochs),
        pending=draft.pending,
        lost=draft.lost,
        voters=draft.voters,
        previous_voters=draft.previous_voters,
        voters_revision=draft.voters_revision,
        isolated=draft.isolated,
    )


def is_changed(draft: Draft) -> bool:
    """Return whether the draft differs from its base in more than its revision."""
    return finish_draft(draft)._replace(revision=draft.base.revision) != draft.base
