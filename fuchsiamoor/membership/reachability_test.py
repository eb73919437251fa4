from fuchsiamoor.membership import reachability


def test_a_coordinator_that_never_heard_anybody_is_deaf_once_its_calls_are_answered():
    reach = reachability.make_history()
    heard_ms = {"a#1": 5_000, "b#1": 1_150, "c#1": 1_150}
    assert not reachability.has_lost_inbound(reach, heard_ms, "a#1", 1_600)
    reachability.record_answer(reach, "b#1", 1_550)
    assert reachability.has_lost_inbound(reach, heard_ms, "a#1", 1_600)


def test_nobody_is_deaf_while_one_member_is_heard_or_none_answers():
    reach = reachability.make_history()
    reachability.record_answer(reach, "b#1", 1_000)
    assert not reachability.has_lost_inbound(
        reach, {"b#1": 100, "c#1": 900}, "a#1", 1_000
    )
    assert not reachability.has_lost_inbound(reach, {"c#1": 100}, "a#1", 1_000)
    assert not reachability.has_lost_inbound(reach, {}, "a#1", 1_000)


def test_a_member_that_stops_answering_is_reached_no_more_until_it_answers_again():
    reach = reachability.make_history()
    assert reachability.record_due_probe(reach, "b#1", 0)
    assert not reachability.is_reachable(
        reach, "b#1", reachability.UNREACHABLE_AFTER_MS + 1
    )
    reachability.record_answer(reach, "b#1", 2_000)
    assert reachability.is_reachable(
        reach, "b#1", 2_000 + reachability.UNREACHABLE_AFTER_MS
    )
