import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core import errors, tables
from fuchsiamoor.ownership import tables_codec

NAMES = st.sampled_from(["", "a#1", "b#2", "c#3"])
NUMBERS = st.integers(0, (1 << 64) - 1)
VOTERS = st.lists(st.builds(tables.Voter, NAMES, st.integers(1, 6))).map(tuple)


@st.composite
def any_table(draw) -> tables.ShardTable:
    owners = tuple(draw(st.lists(NAMES, max_size=300)))
    count = len(owners)
    epochs = st.lists(NUMBERS, min_size=count, max_size=count).map(tuple)
    entries = st.builds(tables.PendingShard, NAMES, NUMBERS)
    return tables.ShardTable(
        domain=draw(st.text()),
        term=draw(NUMBERS),
        coordinator=draw(NAMES),
        revision=draw(NUMBERS),
        shard_count=count,
        owners=owners,
        epochs=draw(epochs),
        pending=draw(st.dictionaries(st.integers(0, 400), entries)),
        lost=draw(st.dictionaries(NAMES, NUMBERS)),
        voters=draw(VOTERS),
        previous_voters=draw(VOTERS),
        voters_revision=draw(NUMBERS),
        isolated=draw(st.dictionaries(NUMBERS, st.integers(0, 400))),
    )


@given(any_table())
def test_decoding_an_encoded_table_returns_it(table):
    assert tables_codec.decode_table(tables_codec.encode_table(table)) == table


@pytest.mark.parametrize("data", [b"", b"\x80", b"\x01", b"\x81\x02", b"\xff" * 9])
def test_invalid_bytes_raise_a_frame_error(data):
    with pytest.raises(errors.FrameError):
        tables_codec.decode_table(data)


def test_a_large_table_stays_far_below_the_stores_limit():
    names = [f"almaty-1-{number:03}#0123456789ab" for number in range(250)]
    table = tables.make_empty_table("results@bogota+cali+medellin", 4096)._replace(
        owners=tuple(names[shard % 250] for shard in range(4096)),
        epochs=tuple(1_000_000 + shard for shard in range(4096)),
        lost=dict.fromkeys(names, 1000000),
    )
    assert len(tables_codec.encode_table(table)) < 40_000
