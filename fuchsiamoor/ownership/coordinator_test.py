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


def keep_renewing(machine, from_ms, until_ms):
    """Renew the store lease and all members' leases; return all actions."""
    actions = []
    for now_ms in range(from_ms, until_ms, 100):
        actions += coordinators.handle_event(
            machine, events.StoreLeaseRenewed(now_ms), now_ms
        )
        for name in ("a#1", "b#1", "c#1"):
            renew = make_renew(name, machine.table.revision)
            actions += coordinators.handle_event(
                machine, events.RenewReceived(renew), now_ms
            )
        actions += confirm_write(machine, now_ms)
    return actions


def confirm_write(machine, now_ms):
    """Confirm the write in flight, if there is one; return the actions."""
    written = machine.in_flight
    if written is None:
        return []
    confirmed = events.TableWritten(written.revision, written.revision * 10)
    return coordinators.handle_event(machine, confirmed, now_ms)


def take_out(machine, data_centre, now_ms):
    """Take a data centre out of service; return the actions."""
    configuration = builders.make_configuration(2, frozenset({data_centre}))
    return coordinators.handle_event(
        machine, events.ConfigurationChanged(configuration), now_ms
    )


def list_actions(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def make_coordinator_that_moves_away(data_centre):
    """Return a coordinator that asked for the shards of a data centre, and the ask."""
    machine = make_coordinator_with_term()
    keep_renewing(machine, 0, 300)
    actions = take_out(machine, data_centre, 300)
    actions += confirm_write(machine, 300)
    [ask] = list_actions(actions, events.AskRelease)
    return machine, ask


def release(machine, ask, now_ms):
    """Answer that the owner has released its shards."""
    prepare = ask.prepare
    released = messages.Released(
        prepare.domain, prepare.term, prepare.move_id, prepare.shards
    )
    return coordinators.handle_event(
        machine, events.ReleasedReceived(ask.member_id, released), now_ms
    )


def test_a_released_shard_is_given_back_when_the_store_refuses_its_move():
    machine, ask = make_coordinator_that_moves_away("astana-1")
    [write] = list_actions(release(machine, ask, 320), events.WriteTable)
    refused = events.TableNotWritten(write.table.revision)
    coordinators.handle_event(machine, refused, 330)
    [abort] = coordinators.handle_event(machine, events.Tick(), 900)
    assert (abort.member_id, abort.abort.move_id) == ("c#1", ask.prepare.move_id)
    write, *_ = list_actions(keep_renewing(machine, 1_000, 1_100), events.WriteTable)
    assert write.table.term == 3
    assert "c#1" in write.table.owners


def test_a_release_whose_write_may_have_taken_effect_is_not_given_back():
    machine, ask = make_coordinator_that_moves_away("astana-1")
    [write] = list_actions(release(machine, ask, 320), events.WriteTable)
    unknown = events.TableOutcomeUnknown(write.table.revision)
    coordinators.handle_event(machine, unknown, 330)
    assert coordinators.handle_event(machine, events.Tick(), 900) == []


def test_evacuation_is_asked_for_again_soon_after_a_release_failed():
    machine, ask = make_coordinator_that_moves_away("astana-1")
    failed = events.ReleaseFailed("c#1", ask.prepare.move_id)
    coordinators.handle_event(machine, failed, 350)
    confirm_write(machine, 350)
    actions = keep_renewing(machine, 400, 1_000)
    assert [again.member_id for again in list_actions(actions, events.AskRelease)] == [
        "c#1"
    ]
