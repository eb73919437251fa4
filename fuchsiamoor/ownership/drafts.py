"""Mutable draft of the next revision of a shard table."""

from dataclasses import dataclass

from fuchsiamoor.core import tables


@dataclass(slots=True)
class Draft:
    """A table being edited; `finish_draft` returns the revision to write."""

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
    """Return a draft of the revision after ``base``."""
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
    """Start a new term, which aborts every planned move that is not yet written."""
    draft.term = draft.base.term + 1


def assign_shard(draft: Draft, shard: int, owner: str) -> None:
    """Assign a shard that no member can serve to an owner, or to `NO_OWNER`."""
    draft.owners[shard] = owner
    draft.epochs[shard] = draft.revision


def reassign_unreleased_shard(draft: Draft, shard: int, owner: str) -> None:
    """Reassign a shard whose owner has not released it; it becomes pending.

    A shard that is already pending keeps its first previous owner, as later owners
    have never served it.
    """
    previous = draft.owners[shard]
    draft.lost[previous] = draft.revision
    if shard not in draft.pending:
        draft.pending[shard] = tables.PendingShard(previous, draft.revision)
    assign_shard(draft, shard, owner)


def clear_pending(draft: Draft, shard: int) -> None:
    """End the pending state of a shard, so that its new owner may serve it."""
    del draft.pending[shard]


def begin_voter_change(draft: Draft, voters: tuple[tables.Voter, ...]) -> None:
    """Replace the voters; until the change is finished, the previous voters count too.

    During a change the new voters may be replaced again, but never the previous ones.
    """
    if not draft.previous_voters:
        draft.previous_voters = draft.voters
    draft.voters = voters
    draft.voters_revision = draft.revision


def finish_voter_change(draft: Draft) -> None:
    """End a change of voters, and remove the losses that the change makes redundant.

    Voters refuse every member that knows older voters, whether it lost shards or not.
    """
    draft.previous_voters = ()
    draft.lost = {
        member_id: revision
        for member_id, revision in draft.lost.items()
        if revision >= draft.voters_revision
    }


def isolate_key(draft: Draft, key_hash: int) -> int:
    """Give a key a shard of its own, with the same owner; return the shard."""
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
    """Merge an isolated key into its hashed shard, which has the same owner.

    The hashed shard gets a new epoch, so that the key's fencing epoch never decreases.
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
    """Return whether the draft changes more than the revision of its base."""
    return finish_draft(draft)._replace(revision=draft.base.revision) != draft.base
