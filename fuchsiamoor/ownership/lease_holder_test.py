from fuchsiamoor.core import messages
from fuchsiamoor.ownership import lease_holder as holders
from fuchsiamoor.testing import ownership_data as builders

TIMING = builders.TIMING._replace(drift_ratio=0.0)
RENEWED = messages.Renewed(builders.DOMAIN, 1, 1, 1)
VOUCHED = messages.Vouched(builders.DOMAIN, 1)
PREPARE = messages.Prepare(builders.DOMAIN, 1, 7, (0,))


def make_holder(**fields) -> holders.LeaseHolder:
    holder = holders.make_lease_holder("a#1", builders.DOMAIN, TIMING)
    table = builders.make_table(("a#1", "b#1"), voters=("a#1", "b#1", "c#1"), **fields)
    holders.adopt_table(holder, table, 0)
    return holder


def renew(holder, sent_ms=0):
    holders.record_renewed(holder, "a#1", RENEWED, sent_ms)


def test_a_lease_runs_from_the_sending_of_the_request():
    holder = make_holder()
    renew(holder, sent_ms=100)
    assert holders.check_serve(holder, 0, 899) == holders.MayServe(1, 900)
    assert holders.check_serve(holder, 0, 900) == holders.Wait("no lease")


def test_a_check_of_another_members_shard_returns_its_owner():
    holder = make_holder()
    renew(holder)
    assert holders.check_serve(holder, 1, 1) == holders.NotOwner("b#1")


def test_a_lease_by_vouches_needs_a_majority_and_runs_from_its_oldest_vouch():
    holder = make_holder()
    holders.record_vouched(holder, "b#1", VOUCHED, 50)
    assert holders.lease_until_ms(holder) == holders.NO_LEASE_MS
    holders.record_vouched(holder, "c#1", VOUCHED, 20)
    assert holders.lease_until_ms(holder) == 820


def test_voters_are_asked_only_when_the_coordinator_stays_silent():
    holder = make_holder(coordinator="b#1")
    renew(holder, sent_ms=0)
    load = builders.make_load()
    early = holders.list_due_requests(holder, 250, load, 1)
    assert [type(request.message) for request in early] == [messages.Renew]
    assert holders.compute_next_request_ms(holder) == 500
    late = holders.list_due_requests(holder, 500, load, 1)
    asked = {
        request.member_id
        for request in late
        if isinstance(request.message, messages.Vouch)
    }
    assert asked == {"b#1", "c#1"}


def test_voters_are_asked_at_once_after_a_refusal():
    holder = make_holder(coordinator="b#1")
    renew(holder, sent_ms=0)
    refused = messages.RenewRefused(builders.DOMAIN, "", 1)
    holders.record_refused(holder, refused)
    assert holders.compute_next_request_ms(holder) == 0
    requests = holders.list_due_requests(holder, 100, builders.make_load(), 1)
    assert {request.member_id for request in requests} == {"b#1", "c#1"}
    renew(holder, sent_ms=100)
    assert holders.compute_next_request_ms(holder) == 350


def test_a_released_shard_waits_until_the_move_is_aborted():
    holder = make_holder()
    renew(holder)
    assert holders.begin_release(holder, PREPARE) == holders.ReleaseBegun((0,))
    assert isinstance(holders.check_serve(holder, 0, 1), holders.Wait)
    assert isinstance(holders.finish_release(holder, PREPARE), messages.Released)
    assert (
        holders.abort_release(holder, messages.AbortMove(builders.DOMAIN, 1, 8)) == ()
    )
    holders.abort_release(holder, messages.AbortMove(builders.DOMAIN, 1, 7))
    assert isinstance(holders.check_serve(holder, 0, 1), holders.MayServe)


def test_an_aborted_move_cannot_begin_again():
    holder = make_holder()
    holders.abort_release(holder, messages.AbortMove(builders.DOMAIN, 1, 7))
    refused = holders.begin_release(holder, PREPARE)
    assert refused == messages.ReleaseRefused(builders.DOMAIN, 7)


def test_a_release_ends_with_a_higher_term_or_another_assignment():
    for change in ({"term": 2}, {"epochs": (2, 1)}):
        holder = make_holder()
        renew(holder)
        holders.begin_release(holder, PREPARE)
        newer = holder.table._replace(revision=2)
        holders.adopt_table(holder, newer, 1)
        assert isinstance(holders.check_serve(holder, 0, 1), holders.Wait)
        holders.adopt_table(holder, newer._replace(revision=3, **change), 1)
        assert isinstance(holders.check_serve(holder, 0, 1), holders.MayServe)
        refused = messages.ReleaseRefused(builders.DOMAIN, 7)
        assert holders.finish_release(holder, PREPARE) == refused


def test_a_release_is_refused_for_shards_of_others_and_other_terms():
    refused = messages.ReleaseRefused(builders.DOMAIN, 7)
    holder = make_holder()
    assert holders.begin_release(holder, PREPARE._replace(shards=(0, 1))) == refused
    assert holders.begin_release(holder, PREPARE._replace(term=2)) == refused
    assert holder.releases == {}


def test_a_retired_holder_serves_nothing_and_reports_only_while_it_is_a_voter():
    holder = make_holder()
    renew(holder)
    holders.retire(holder, 10)
    renew(holder, sent_ms=20)
    assert holders.check_serve(holder, 0, 21) == holders.Wait("no lease")
    requests = holders.list_due_requests(holder, 1_000, builders.make_load(), 1)
    assert [type(request.message) for request in requests] == [messages.Renew]
    assert requests[0].message.load.leaving
    newer = holder.table._replace(revision=2, voters=())
    holders.adopt_table(holder, newer, 1_000)
    assert holders.list_due_requests(holder, 2_000, builders.make_load(), 1) == []
