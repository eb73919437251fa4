import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core import errors
from fuchsiamoor.daemon import cluster_state as cluster_states
from fuchsiamoor.ownership import tables_codec
from fuchsiamoor.testing import members_data, ownership_data

DOMAINS = ("stock@a", "stock@a+b")
revisions = st.dictionaries(st.sampled_from(DOMAINS), st.integers(1, 5))
versions = st.dictionaries(st.sampled_from(["x", "y", "z"]), st.integers(1, 9))


def _encode_table(domain, revision):
    table = ownership_data.make_table(("a#1",), revision=revision)._replace(
        domain=domain
    )
    return tables_codec.encode_table(table)


def _make_cluster_state(known_revisions, known_versions):
    state = cluster_states.make_cluster_state()
    for domain, revision in known_revisions.items():
        cluster_states.adopt_table(state, _encode_table(domain, revision))
    cluster_states.adopt_members(
        state,
        [
            members_data.make_member(instance, str(version), version)
            for instance, version in known_versions.items()
        ],
    )
    return state


def _exchange_state(initiator, responder):
    reply = cluster_states.reply_to_digest(
        responder, cluster_states.make_digest(initiator)
    )
    assert cluster_states.adopt_state(initiator, reply) == []
    push = cluster_states.select_newer(initiator, reply.digest)
    assert cluster_states.adopt_state(responder, push) == []


def _merge_highest(first, second):
    return {
        name: max(first.get(name, 0), second.get(name, 0)) for name in {*first, *second}
    }


@given(revisions, versions, revisions, versions)
def test_one_exchange_brings_both_sides_to_the_newest_state(
    first_revisions, first_versions, second_revisions, second_versions
):
    first = _make_cluster_state(first_revisions, first_versions)
    second = _make_cluster_state(second_revisions, second_versions)
    _exchange_state(first, second)
    for state in (first, second):
        table_revisions = {
            domain: table.revision for domain, table in state.tables.items()
        }
        assert table_revisions == _merge_highest(first_revisions, second_revisions)
        registered = {
            instance: member.registered_version
            for instance, member in state.directory.by_instance.items()
        }
        assert registered == _merge_highest(first_versions, second_versions)
    assert cluster_states.make_digest(first) == cluster_states.make_digest(second)
    reply = cluster_states.reply_to_digest(second, cluster_states.make_digest(first))
    assert cluster_states.is_empty(cluster_states.select_newer(second, reply.digest))


@given(st.lists(st.integers(1, 9), min_size=1))
def test_adopted_table_revision_never_decreases(seen):
    state = cluster_states.make_cluster_state()
    notified = []
    state.on_table = lambda domain: notified.append(state.tables[domain].revision)
    for revision in seen:
        cluster_states.adopt_table(state, _encode_table("stock@a", revision))
    assert state.tables["stock@a"].revision == max(seen)
    assert notified == sorted(set(notified))


@given(st.binary(max_size=40))
def test_unreadable_state_is_reported_and_changes_nothing(garbage):
    state = _make_cluster_state({"stock@a": 3}, {"x": 1})
    before = cluster_states.make_digest(state)
    push = cluster_states.select_newer(
        state, cluster_states.make_digest(state)
    )._replace(tables={"stock@a": garbage}, members=(garbage,), configuration=garbage)
    problems = cluster_states.adopt_state(state, push)
    assert len(problems) >= 2
    assert cluster_states.make_digest(state) == before


def test_value_that_is_not_a_table_raises():
    with pytest.raises(errors.FrameError):
        cluster_states.adopt_table(cluster_states.make_cluster_state(), b"no table")
