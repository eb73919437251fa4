import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core import errors
from fuchsiamoor.daemon import knowledge as knowledges
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


def _make_knowledge(known_revisions, known_versions):
    made = knowledges.make_knowledge()
    for domain, revision in known_revisions.items():
        knowledges.adopt_table(made, _encode_table(domain, revision))
    knowledges.adopt_members(
        made,
        [
            members_data.make_member(instance, str(version), version)
            for instance, version in known_versions.items()
        ],
    )
    return made


def _exchange(asking, answering):
    reply = knowledges.reply_to_digest(answering, knowledges.make_digest(asking))
    assert knowledges.take_state(asking, reply) == []
    push = knowledges.select_newer(asking, reply.digest)
    assert knowledges.take_state(answering, push) == []


def _highest(first, second):
    return {
        name: max(first.get(name, 0), second.get(name, 0)) for name in {*first, *second}
    }


@given(revisions, versions, revisions, versions)
def test_one_exchange_gives_both_the_newest_of_everything(
    first_revisions, first_versions, second_revisions, second_versions
):
    first = _make_knowledge(first_revisions, first_versions)
    second = _make_knowledge(second_revisions, second_versions)
    _exchange(first, second)
    for known in (first, second):
        found = {domain: table.revision for domain, table in known.tables.items()}
        assert found == _highest(first_revisions, second_revisions)
        registered = {
            instance: member.registered_version
            for instance, member in known.directory.by_instance.items()
        }
        assert registered == _highest(first_versions, second_versions)
    assert knowledges.make_digest(first) == knowledges.make_digest(second)
    reply = knowledges.reply_to_digest(second, knowledges.make_digest(first))
    assert knowledges.is_empty(knowledges.select_newer(second, reply.digest))


@given(st.lists(st.integers(1, 9), min_size=1))
def test_a_table_never_goes_back(seen):
    made = knowledges.make_knowledge()
    told = []
    made.on_table = lambda domain: told.append(made.tables[domain].revision)
    for revision in seen:
        knowledges.adopt_table(made, _encode_table("stock@a", revision))
    assert made.tables["stock@a"].revision == max(seen)
    assert told == sorted(set(told))


@given(st.binary(max_size=40))
def test_unreadable_state_is_told_and_changes_nothing(garbage):
    made = _make_knowledge({"stock@a": 3}, {"x": 1})
    before = knowledges.make_digest(made)
    state = knowledges.select_newer(made, knowledges.make_digest(made))._replace(
        tables={"stock@a": garbage}, members=(garbage,), configuration=garbage
    )
    problems = knowledges.take_state(made, state)
    assert len(problems) >= 2
    assert knowledges.make_digest(made) == before


def test_a_value_that_is_no_table_is_refused():
    with pytest.raises(errors.FrameError):
        knowledges.adopt_table(knowledges.make_knowledge(), b"no table")
