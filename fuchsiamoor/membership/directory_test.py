from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.membership import directory as directories
from fuchsiamoor.testing import members_data

instances = st.sampled_from(["a", "b", "c"])


@st.composite
def histories(draw):
    """Store histories: each version registers or deletes one instance."""
    return [
        (version, draw(instances), draw(st.booleans()))
        for version in range(1, draw(st.integers(1, 12)) + 1)
    ]


def _list_registered(history, upto):
    registered = {}
    for version, instance, registers in history:
        if version > upto:
            break
        registered.pop(instance, None)
        if registers:
            registered[instance] = members_data.make_member(
                instance, str(version), version
            )
    return registered


@given(histories(), st.data())
def test_listing_wins_over_gossip_before_and_after_it(history, data):
    last = history[-1][0]
    directory = directories.make_directory()
    gossiped = [
        members_data.make_member(instance, str(version), version)
        for version, instance, registers in history
        if registers
    ]
    before = data.draw(st.lists(st.sampled_from(gossiped)) if gossiped else st.just([]))
    after = data.draw(st.lists(st.sampled_from(gossiped)) if gossiped else st.just([]))
    for member in before:
        directories.add_member(directory, member)
    directories.apply_listing(directory, last, _list_registered(history, last).values())
    for member in after:
        directories.add_member(directory, member)
    assert directory.by_instance == _list_registered(history, last)
    assert set(directory.by_id) == {m.member_id for m in directory.by_instance.values()}


@given(histories())
def test_older_listing_changes_nothing(history):
    last = history[-1][0]
    directory = directories.make_directory()
    directories.apply_listing(directory, last, _list_registered(history, last).values())
    for upto in range(last):
        directories.apply_listing(
            directory, upto, _list_registered(history, upto).values()
        )
    assert directory.by_instance == _list_registered(history, last)


def test_earlier_run_of_an_instance_is_superseded_by_the_later_one():
    directory = directories.make_directory()
    first = members_data.make_member("a", "1", 4)
    second = members_data.make_member("a", "2", 7)
    directories.add_member(directory, second)
    directories.add_member(directory, first)
    assert directories.is_superseded(directory, first)
    assert not directories.is_superseded(directory, second)


def test_unregistered_member_is_not_superseded_by_its_predecessor():
    directory = directories.make_directory()
    directories.add_member(directory, members_data.make_member("a", "2", 7))
    starting = members_data.make_member("a", "3", 0)
    assert not directories.is_superseded(directory, starting)
