from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core import tables
from fuchsiamoor.ownership import drafts

SHARDS = 4
KEY_HASHES = (1, 5, 6)
steps = st.lists(
    st.tuples(
        st.sampled_from(["isolate", "merge", "move"]),
        st.sampled_from(KEY_HASHES),
        st.sampled_from(["a", "b"]),
    ),
    max_size=20,
)


def _make_owned_table():
    draft = drafts.make_draft(tables.make_empty_table("stock@a", SHARDS), "a")
    for shard in range(SHARDS):
        drafts.assign_shard(draft, shard, "a")
    return drafts.finish_draft(draft)


def _apply(table, step, key_hash, owner):
    draft = drafts.make_draft(table, "a")
    hashed = key_hash % SHARDS
    match step:
        case "isolate" if key_hash not in table.isolated:
            drafts.isolate_key(draft, key_hash)
        case "merge" if key_hash in table.isolated:
            drafts.assign_shard(draft, table.isolated[key_hash], draft.owners[hashed])
            drafts.merge_key(draft, key_hash)
        case "move":
            drafts.assign_shard(draft, tables.find_shard(table, key_hash), owner)
    return drafts.finish_draft(draft)


@given(steps)
def test_the_fencing_epoch_of_a_key_never_decreases(taken):
    table = _make_owned_table()
    highest = dict.fromkeys(KEY_HASHES, 0)
    for step, key_hash, owner in taken:
        table = _apply(table, step, key_hash, owner)
        for known in KEY_HASHES:
            epoch = table.epochs[tables.find_shard(table, known)]
            assert epoch >= highest[known]
            highest[known] = epoch
