from fuchsiamoor.core import messages, tables
from fuchsiamoor.ownership import coordinator as coordinators
from fuchsiamoor.ownership import events
from fuchsiamoor.testing import ownership_data as builders

TIMING = builders.TIMING
MEMBERS = (
    builders.make_member("a", "almaty-1"),
    builders.make_member("b", "almaty-2"),
    builders.make_member("c", "astana-1"),
)


def make_coordinator_with_term(**fields) -> coordinators.Coordinator:
    """Return a coordinator whose first write, revision 10, is confirmed."""
    fields = {"owners": ("a#1", "b#1", "c#1"), "voters": ("a#1", "b#1", "c#1")} | fields
    table = builders.make_table(revision=9, **fields)
    machine = coordinators.make_coordinator(
        builders.DOMAIN, "a#1", TIMING, table, 90, 0
    )
    coordinators.handle_event(machine, events.MembersChanged(MEMBERS), 0)
    configured = events.ConfigurationChanged(builders.make_configuration())
    coordinators.handle_event(machine, configured, 0)
    write, *_ = coordinators.handle_event(machine, events.StoreLeaseRenewed(0), 0)
    assert write.table == table._replace(revision=10, term=2)
    coordinators.handle_event(machine, events.TableWritten(10, 100), 0)
    return machine


def make_renew(member_id: str, revision: int = 10, **load) -> messages.Renew:
    return messages.Renew(
        builders.DOMAIN, member_id, revision, 1, builders.make_load(**load)
    )


def is_renewed(machine, renew, now_ms=0) -> bool:
    answer = coordinators.answer_renew(machine, renew, now_ms)
    return isinstance(answer, messages.Renewed)


def test_no_member_is_renewed_before_the_first_write_is_confirmed():
    table = builders.make_table(("a#1",))
    machine = coordinators.make_coordinator(builders.DOMAIN, "a#1", TIMING, table, 1, 0)
    coordinators.handle_event(machine, events.MembersChanged(MEMBERS), 0)
    coordinators.handle_event(machine, events.StoreLeaseRenewed(0), 0)
    assert not is_renewed(machine, make_renew("a#1", 1))
    coordinators.handle_event(machine, events.TableWritten(2, 2), 0)
    assert is_renewed(machine, make_renew("a#1", 1))


def test_no_member_is_renewed_after_the_store_lease_expires():
    machine = make_coordinator_with_term()
    assert is_renewed(machine, make_renew("b#1"), 599 - 1)
    assert not is_renewed(machine, make_renew("b#1"), 600)


def test_a_member_that_does_not_know_of_its_lost_shard_is_refused():
    machine = make_coordinator_with_term(lost={"b#1": 8})
    assert not is_renewed(machine, make_renew("b#1", 7))
    assert is_renewed(machine, make_renew("b#1", 8))


def test_a_member_that_does_not_know_the_voters_is_refused():
    for previous_voters in ((), ("c#1",)):
        machine = make_coordinator_with_term(
            voters_revision=6, previous_voters=previous_voters
        )
        assert not is_renewed(machine, make_renew("b#1", 5))
        assert is_renewed(machine, make_renew("b#1", 6))


def test_members_that_are_superseded_or_unknown_are_refused():
    machine = make_coordinator_with_term()
    newer = builders.make_member("b", "almaty-2", nonce="2", registered_version=2)
    coordinators.handle_event(machine, events.MembersChanged((*MEMBERS, newer)), 0)
    assert not is_renewed(machine, make_renew("b#1"))
    assert not is_renewed(machine, make_renew("x#1"))
    assert is_renewed(machine, make_renew("b#2"))


def test_a_superseded_voters_renewal_counts_as_its_acknowledgement():
    machine = make_coordinator_with_term(
        voters=("b#1",), pending={0: tables.PendingShard("b#1", 9)}
    )
    newer = builders.make_member(
        "b", "almaty-2", nonce="2", registered_version=2, host="x"
    )
    coordinators.handle_event(machine, events.MembersChanged((*MEMBERS, newer)), 0)
    assert machine.acks.acknowledged_ms == {}
    coordinators.handle_event(machine, events.RenewReceived(make_renew("b#1")), 0)
    assert machine.acks.acknowledged_ms == {9: 0}
    assert "b#1" not in machine.roster.last_heard_ms
